"""Recorder: batching, concurrent writes, resending and fencing of progress writes."""

import pytest
import trio
from heronthread_dispatch.keystore import CommitOutcome, Committed, Put, Transaction
from heronthread_dispatch.model import JobSpec, Queue, Resources, StepSpec
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.recorder import (
    JOBS_PER_TRANSACTION,
    RETRY_PAUSE_S,
    Deposed,
    Recorder,
    progress_key,
)
from heronthread_dispatch.relay import StoreRelay
from heronthread_emulator import captured_events
from heronthread_emulator.store import EmulatedStore, StoreView

Clock = trio.testing.MockClock
OWNER_KEY = "cell/0/owner"
QUEUE = Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0)
LATENCY_S = 0.1


def _make_jobs(count: int) -> list[JobState]:
    step = StepSpec(1, Resources(100, 100, 1), 1.0)
    specs = [JobSpec(f"{n:016x}", QUEUE, "t", "", (step,), 0.0) for n in range(count)]
    return [make_job(spec, 0.0) for spec in specs]


def _make_recorder(nursery: trio.Nursery) -> tuple[Recorder, EmulatedStore]:
    store = EmulatedStore()
    store.latency_s = LATENCY_S
    revision = store.put(OWNER_KEY, b"me")
    return Recorder(StoreView(store, nursery), (OWNER_KEY, revision)), store


async def test_many_jobs_are_recorded_in_the_time_of_one_answer(autojump_clock: Clock) -> None:
    async with trio.open_nursery() as nursery:
        recorder, store = _make_recorder(nursery)
        nursery.start_soon(recorder.run)
        jobs = _make_jobs(JOBS_PER_TRANSACTION * 10)
        for job in jobs:
            recorder.mark(job)
        began = trio.current_time()
        await recorder.wait_recorded()
        assert trio.current_time() - began < 2 * LATENCY_S
        assert all(progress_key(job.spec.id) in store.items for job in jobs)
        assert {job.recorded for job in jobs} == {JobStatus.PENDING}
        nursery.cancel_scope.cancel()


async def test_jobs_marked_during_a_round_are_in_the_next_one(autojump_clock: Clock) -> None:
    async with trio.open_nursery() as nursery:
        recorder, _ = _make_recorder(nursery)
        nursery.start_soon(recorder.run)
        job = _make_jobs(1)[0]
        recorder.mark(job)
        await trio.sleep(LATENCY_S / 2)
        job.begun = True
        recorder.mark(job)
        await recorder.wait_recorded()
        assert job.recorded is JobStatus.RUNNING
        nursery.cancel_scope.cancel()


async def test_a_deposed_owner_records_nothing_and_ends(autojump_clock: Clock) -> None:
    async with trio.open_nursery() as nursery:
        recorder, store = _make_recorder(nursery)
        store.commit(Transaction(puts=(Put(OWNER_KEY, b"another"),)))
        for job in _make_jobs(JOBS_PER_TRANSACTION * 3):
            recorder.mark(job)
        with pytest.raises(ExceptionGroup) as raised:
            await recorder.run()
        assert raised.group_contains(Deposed)
        assert not any(key.startswith("progress/") for key in store.items)


async def test_failed_writes_are_retried_together(autojump_clock: Clock) -> None:
    """Failed batches must not each retry on their own while the store is away."""
    async with trio.open_nursery() as nursery:
        recorder, store = _make_recorder(nursery)
        nursery.start_soon(recorder.run)
        store.is_down = True
        with captured_events() as events:
            for job in _make_jobs(60):
                recorder.mark(job)
                await trio.sleep(0.1)
        delayed = [event for event in events if event["message_type"] == "record.delayed"]
        assert len(delayed) <= 6.0 / RETRY_PAUSE_S * (60 / JOBS_PER_TRANSACTION)
        store.is_down = False
        await recorder.wait_recorded()
        assert len([key for key in store.items if key.startswith("progress/")]) == 60
        nursery.cancel_scope.cancel()


async def test_a_write_without_an_answer_does_not_block_others(autojump_clock: Clock) -> None:
    async with trio.open_nursery() as nursery:
        store = EmulatedStore()
        store.latency_s = 0.004
        view = StoreView(store, nursery, lose_answers=2, late_s=3.0)
        recorder = Recorder(view, (OWNER_KEY, store.put(OWNER_KEY, b"me")))
        nursery.start_soon(recorder.run)
        first, second = _make_jobs(2)
        recorder.mark(first)
        await trio.sleep(0.1)
        recorder.mark(second)
        began = trio.current_time()
        await recorder.wait_named(second, {})
        assert trio.current_time() - began < 0.1
        await recorder.wait_recorded()
        await trio.sleep(4.0)
        assert first.recorded is JobStatus.PENDING
        nursery.cancel_scope.cancel()


class _FastRelay(StoreRelay):
    """Relay that answers each write within milliseconds."""

    def __init__(self) -> None:
        self._revision = 0

    @property
    def is_open(self) -> bool:
        return True

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        await trio.sleep(0.01)
        self._revision += 1
        return Committed(self._revision)


async def test_the_resend_delay_does_not_grow_without_answers(
    autojump_clock: Clock,
) -> None:
    """The resend delay must not count as latency, or it would grow with each write."""
    async with trio.open_nursery() as nursery:
        view = StoreView(EmulatedStore(), nursery, is_silent=True)
        recorder = Recorder(view, (OWNER_KEY, 1), relay=_FastRelay())
        nursery.start_soon(recorder.run)
        job = _make_jobs(1)[0]
        for _ in range(16):
            began = trio.current_time()
            recorder.mark(job)
            await recorder.wait_recorded()
            assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()
