"""Every start goes to an executor that the store lists for its task beforehand."""

import json
from collections.abc import Iterator
from dataclasses import replace
from unittest.mock import patch

import pytest
import trio
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder
from heronthread_dispatch.model import (
    Executor,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    TaskKey,
)
from heronthread_dispatch.orders import Orders
from heronthread_dispatch.owned_cell import job_key
from heronthread_dispatch.placements import JobPlacements
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.record import (
    JobRecord,
    JobStatus,
    ProgressRecord,
    StepProgress,
    Unreadable,
    decode_progress,
)
from heronthread_dispatch.recorder import progress_key
from heronthread_dispatch.task_masks import ANY, find_mask, map_to_any_task
from heronthread_emulator import EmulatedSite, check_promises
from heronthread_emulator.executors import EmulatedExecutors
from heronthread_emulator.soak import run_soak

Clock = trio.testing.MockClock
QUEUE = Queue("ordinary", "host", "/ordinary/", "pool", 1, 4, 3.0, 1.0)
JOB = JobSpec("a", QUEUE, "first", "", (StepSpec(1, Resources(1000, 1000, 1), 1.0),), 0.0)
STORE_FAULTS = (
    "store_down",
    "store_lapses",
    "lose_store_answers",
    "break_store_connections",
    "owner_cut_from_store",
    "owner_restarts",
    "kill_owner",
    "executor_silent",
    "executors_restart",
)


def _find_number(job: JobRecord, task: TaskKey) -> int:
    """Return a task's number over all steps and occurrences of its job."""
    counts = [step.count for step in job.spec.steps]
    return task.occurrence * sum(counts) + sum(counts[: task.step]) + task.member


@pytest.fixture
def unnamed() -> Iterator[list[str]]:
    """Collect the starts that the newest owner sends to executors that no record lists."""
    found: list[str] = []
    sites: dict[EmulatedExecutors, EmulatedSite] = {}
    init, start = EmulatedSite.__init__, EmulatedExecutors.start

    def note_site(self: EmulatedSite, *arguments: object) -> None:
        init(self, *arguments)  # type: ignore[arg-type]
        sites[self.executors] = self

    async def note_start(
        self: EmulatedExecutors, executor: Executor, order: StartOrder
    ) -> OrderOutcome:
        items = sites[self].store.items
        item = items.get(progress_key(order.task.job))
        record = ProgressRecord.decode(item.value) if item else None
        named = (record.places or {}) if record else {}
        job = JobRecord.decode(items[job_key(order.task.job)].value)
        is_recorded = named.get(executor.id, 0) >> _find_number(job, order.task) & 1
        if not is_recorded and int(items["term/0"].value) == order.token:
            found.append(f"{order.task} run {order.run} at {executor.id}, recorded: {named}")
        return await start(self, executor, order)

    with (
        patch.object(EmulatedSite, "__init__", note_site),
        patch.object(EmulatedExecutors, "start", note_start),
    ):
        yield found


@pytest.mark.parametrize("seed", range(6))
def test_no_start_is_sent_to_an_unrecorded_executor(seed: int, unnamed: list[str]) -> None:
    result = run_soak(seed, STORE_FAULTS)
    assert result.starts > 0
    assert unnamed == []
    assert result.violations == []


def test_unrecorded_starts_are_detected(unnamed: list[str]) -> None:
    async def name_nothing(self: Orders, orders: object) -> bool:
        return True

    with patch.object(Orders, "_record_placements", name_nothing):
        run_soak(0, STORE_FAULTS)
    assert unnamed


def test_a_write_in_flight_counts_only_for_what_both_records_have() -> None:
    places = JobPlacements()
    a, b = {"a": ANY}, {"b": ANY}
    assert not places.covers(a)
    places.begin_write(map_to_any_task("ab"))
    assert not places.covers(a), "the write may not be applied yet"
    places.end_write(map_to_any_task("ab"))
    places.begin_write(map_to_any_task("bc"))
    places.begin_write(map_to_any_task("bd"))
    assert places.covers(b)
    assert not places.covers(a)
    assert not places.covers({"c": ANY})
    assert places.list_covered() == b


def test_an_executor_is_recorded_only_for_the_tasks_of_its_mask() -> None:
    places = JobPlacements()
    places.begin_write({"a": 0b0111})
    places.end_write({"a": 0b0111})
    assert places.covers({"a": 0b0101})
    assert not places.covers({"a": 0b1000})
    assert not places.covers({"a": ANY})
    places.begin_write({"a": 0b1110})
    assert places.covers({"a": 0b0110})
    assert not places.covers({"a": 0b0001}), "the write may be applied by now"
    assert not places.covers({"a": 0b1000}), "the write may not be applied yet"


def test_a_record_without_placements_may_mean_any() -> None:
    places = JobPlacements()
    places.restore(None)
    assert places.find_uncertain({"a"}, ()) == ANY
    assert places.list_to_record(map_to_any_task("b")) is None
    places.drop_resolved(())
    assert places.list_to_record(map_to_any_task("b")) == {"b": ANY}


def test_uncertain_placements_stay_recorded_until_they_are_resolved() -> None:
    places = JobPlacements()
    places.restore({"a": 0b01, "b": 0b10})
    places.drop_resolved({"a", "z"})
    assert places.find_uncertain({"a"}, ()) == 0b01
    assert places.find_uncertain({"b"}, ()) == 0
    assert places.list_to_record({"a": 0b10, "c": 0b10}) == {"a": 0b11, "c": 0b10}


def test_starts_of_an_earlier_owner_that_are_not_listed_may_be_late() -> None:
    places = JobPlacements()
    places.restore({"a": 0b01, "b": 0b10})
    places.drop_resolved(())
    assert places.find_uncertain((), {"b"}) == 0b10
    places.restore({"a": 0b01, "b": 0b10}, starts=frozenset())
    assert places.find_uncertain((), {"b"}) == 0


def test_inherited_placements_are_passed_on_only_while_uncertain() -> None:
    """Otherwise the next owner withholds tasks at executors where their runs ended long ago."""
    for starts, handed_on in ((frozenset(), {}), (None, {"a": 0b01})):
        places = JobPlacements()
        places.restore({"a": 0b01}, starts)
        assert places.list_to_record({}) == {"a": 0b01}
        places.drop_resolved(())
        places.late = places.earlier
        assert places.list_to_record({}) == handed_on


def test_placements_missing_in_an_unanswered_write_are_recorded_once_more() -> None:
    """Otherwise a run that ends when the store fails would lose its task's executor."""
    places = JobPlacements()
    places.add_left("a", 0b01)
    names = places.list_to_record({"b": 0b10})
    assert names == {"a": 0b01, "b": 0b10}
    places.begin_write(names)
    places.add_left("a", 0b10)
    places.end_write(names)
    assert places.list_to_record({}) == {"a": 0b10}


def test_earlier_versions_read_the_executors_and_ignore_the_tasks() -> None:
    """A record of an earlier version lists executors without tasks: any task may be there."""
    names = {"a": 0b1100, "b": 1 << 200, "c": ANY}
    data = ProgressRecord(JobStatus.RUNNING, [], names).encode()
    value = json.loads(data)
    assert value["places"] == ["a", "b", "c"]
    assert ProgressRecord.decode(data).places == names
    del value["place_tasks"]
    assert ProgressRecord.decode(json.dumps(value).encode()).places == map_to_any_task("abc")


@pytest.mark.parametrize(
    "masks",
    [
        ["a"],
        {"a": 3},
        {"a": [0]},
        {"a": [0, "x"]},
        {"a": [-1, "f"]},
        {"a": [0, "-1"]},
        {"a": [9**9, "1"]},
    ],
)
def test_malformed_task_masks_are_unreadable(masks: object) -> None:
    value = {"status": "running", "steps": [], "places": ["a"], "place_tasks": masks}
    found = decode_progress(json.dumps(value).encode())
    assert isinstance(found, Unreadable)


def test_a_record_with_an_unknown_task_is_of_another_job() -> None:
    spec = replace(JOB, steps=(replace(JOB.steps[0], count=3),))
    job = make_job(spec, 0.0)
    steps = [StepProgress()]
    assert job.fits(ProgressRecord(JobStatus.RUNNING, steps, {"a": 0b111, "b": ANY}))
    assert not job.fits(ProgressRecord(JobStatus.RUNNING, steps, {"a": 0b1000}))


def _list_names(job: JobState, **places: object) -> dict[str, int]:
    for name, value in places.items():
        setattr(job.places, name, value)
    return dict(job.to_record().places or {})


def test_waiting_tasks_are_distributed_over_spares() -> None:
    """An unresponsive spare withholds a part of the tasks, and each task can start in an outage."""
    job = make_job(replace(JOB, steps=(replace(JOB.steps[0], count=12),)), 0.0)
    two = _list_names(job, spare=frozenset("ab"))
    assert two == {"a": 0b010101010101, "b": 0b101010101010}
    six = _list_names(job, spare=frozenset("abcdef"))
    assert find_mask(six, six) == (1 << 12) - 1
    assert [mask.bit_count() for mask in six.values()] == [3] * 6


def test_a_single_task_and_a_gang_are_recorded_at_each_spare() -> None:
    for step in (JOB.steps[0], replace(JOB.steps[0], count=4, gang=True)):
        job = make_job(replace(JOB, steps=(step,)), 0.0)
        assert _list_names(job, spare=frozenset("ab")) == dict.fromkeys("ab", (1 << step.count) - 1)


def test_a_waiting_task_is_not_recorded_at_the_executors_of_its_job() -> None:
    """Otherwise an unresponsive executor with one running task withholds the whole batch."""
    job = make_job(replace(JOB, steps=(replace(JOB.steps[0], count=5),)), 0.0)
    assert _list_names(job, left={"a": 0b10000}) == {"a": 0b10000}


def test_occurrences_that_are_not_due_are_not_recorded() -> None:
    """Otherwise an unresponsive executor of the first occurrence withholds all later ones."""
    job = make_job(replace(JOB, schedule=Schedule(2, 100.0, 1.0)), 0.0)
    for number in range(2):
        job.occurrences.find(number)
    job.steps[0].ready_at = 0.0
    assert _list_names(job, spare=frozenset("a"), left={"b": 0b1}) == {"a": 0b1, "b": 0b1}


def test_later_steps_are_recorded_at_all_executors_of_the_job() -> None:
    """They may begin there during a store outage, and nowhere before the steps they depend on."""
    first = replace(JOB.steps[0], count=2)
    job = make_job(replace(JOB, steps=(first, replace(first, after=(0,)))), 0.0)
    job.steps[0].tasks[0].last_run = 1
    assert _list_names(job, left={"a": 0b01, "b": 0b10}) == {"a": 0b1101, "b": 0b1110}


async def test_a_waiting_job_starts_at_a_spare_during_a_store_outage(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=12) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("long", count=96, work_s=4.0), 2.0)
        await host.requests.accept(site.make_job("waits", work_s=1.0), 2.0)
        await trio.sleep(2.0)
        site.store.is_down = True
        await trio.sleep(3.5)
        assert len(site.executors.starts(TaskKey("waits", 0, 0))) == 1
        site.store.is_down = False


async def test_the_next_owner_withholds_only_the_job_at_the_unresponsive_executor(
    autojump_clock: Clock,
) -> None:
    """Two jobs of one task each run apart; the executor of one of them is partitioned."""
    async with EmulatedSite.open(hosts=3, executors=2) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        for name in ("a", "b"):
            job = site.make_job(name, accelerators=8, work_s=30.0)
            await other.requests.accept(job, 2.0)
        await trio.sleep(1.0)
        at = {start.task.job: start.executor for start in site.executors.starts()}
        assert at["a"] != at["b"]
        site.executors.by_id[at["a"]].is_cut = True
        site.kill_host(owner)
        site.restart_executor(at["b"], 0.2)
        await site.wait_for_owner()
        await trio.sleep(3.0)
        assert [start.task.job for start in site.executors.starts()][2:] == ["b"]


async def test_a_job_starts_after_a_lost_answer_of_the_store(autojump_clock: Clock) -> None:
    """An unanswered write is sent again, so that a lost answer costs 0.05 s."""
    async with EmulatedSite.open(hosts=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a"), 2.0)
        await trio.sleep(0.0)
        site.views["h0"].lose_answers = 1
        await trio.sleep(0.5)
        assert len(site.executors.starts()) == 1


async def test_the_next_step_of_a_job_starts_during_a_store_outage(autojump_clock: Clock) -> None:
    """The failed write at the end of the first step must not remove the job's executor."""
    async with EmulatedSite.open(hosts=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        record = site.make_job("two", work_s=2.0)
        site.executors.specs["two"][1] = site.executors.specs["two"][0]
        steps = (record.spec.steps[0], replace(record.spec.steps[0], after=(0,)))
        await host.requests.accept(replace(record, spec=replace(record.spec, steps=steps)), 2.0)
        await trio.sleep(1.0)
        site.store.is_down = True
        await trio.sleep(3.0)
        assert [start.task.step for start in site.executors.starts()] == [0, 1]
        site.store.is_down = False
        await trio.sleep(3.0)
        assert check_promises(site.executors, {}) == []


async def test_a_task_does_not_start_at_an_executor_of_another_task_during_a_store_outage(
    autojump_clock: Clock,
) -> None:
    """Two tasks run apart; one fails and the other succeeds, so that its executor has room."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=2, accelerators=8, work_s=2.0), 2.0)
        await trio.sleep(1.0)
        task = TaskKey("a", 0, 0)
        first = site.executors.starts(task)[0].executor
        site.executors.by_id[first].fails_all = True
        site.store.is_down = True
        await trio.sleep(1.5)
        site.executors.by_id[first].fails_all = False
        assert len(site.executors.starts(task)) == 1
        await trio.sleep(3.0)
        assert [start.executor for start in site.executors.starts(task)] == [first, first]
        site.store.is_down = False
        await trio.sleep(3.0)
        assert check_promises(site.executors, {}) == []


async def test_orphaned_runs_are_recorded(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", work_s=9.0), 2.0)
        await trio.sleep(1.0)
        first = site.executors.starts()[0].executor
        other = next(name for name in site.executors.by_id if name != first)
        assert host.owner is not None
        cell = host.owner.cell
        cell.stop_orphan(cell.executors[other], TaskKey("a", 0, 0), 7)
        site.executors.by_id[other].is_cut = True
        cell.recorder.mark(cell.jobs["a"])
        await trio.sleep(0.1)
        item = site.store.items[progress_key("a")]
        assert set(json.loads(item.value)["places"]) == {first, other}
