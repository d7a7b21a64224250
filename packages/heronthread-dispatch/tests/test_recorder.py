"""Progress is in the store before it is told, and many jobs' progress takes one answer's time."""

import pytest
import trio
from heronthread_dispatch.keystore import Put, Transaction
from heronthread_dispatch.model import JobSpec, Queue, Resources, StepSpec
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.recorder import JOBS_EACH, Deposed, Recorder, progress_key
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
        jobs = _make_jobs(JOBS_EACH * 10)
        for job in jobs:
            recorder.mark(job)
        began = trio.current_time()
        await recorder.wait_recorded()
        assert trio.current_time() - began < 2 * LATENCY_S
        assert all(progress_key(job.spec.id) in store.items for job in jobs)
        assert {job.recorded for job in jobs} == {JobStatus.PENDING}
        nursery.cancel_scope.cancel()


async def test_what_is_marked_during_a_round_is_in_the_next_one(autojump_clock: Clock) -> None:
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
        for job in _make_jobs(JOBS_EACH * 3):
            recorder.mark(job)
        with pytest.raises(ExceptionGroup) as raised:
            await recorder.run()
        assert raised.group_contains(Deposed)
        assert not any(key.startswith("progress/") for key in store.items)
