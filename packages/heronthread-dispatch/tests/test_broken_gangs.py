"""Gangs of which one member is lost at an executor that falls silent, and the rest ends broken.

There is ample capacity elsewhere, and the owner and the store are well.
"""

from collections.abc import Callable
from itertools import product

import pytest
import trio
from heronthread_dispatch.broken_gangs import note_end, take_ended
from heronthread_dispatch.executor_link import EndedRun, EndKind
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.late_starts import LateStarts
from heronthread_dispatch.model import Executor, Resources, StepSpec, TaskKey
from heronthread_dispatch.step_state import Attempt, Phase, StepState
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
MAX_DELAY_S = 3.0
"""How long a gang with ample capacity may have nothing running."""
GANG_SIZE = 4
LEAVES_IN_S = 2.0
CUT_S = 20.0
SETTLE_S = 30.0
LOSS_KINDS = ("leaves as announced", "crashes dark", "fails while partitioned")
CASES = (*product(LOSS_KINDS, (False, True)), ("starts again under its id", True))
NEED = Resources(1000, 1000, 8)


def _list_running(site: EmulatedSite) -> set[TaskKey]:
    reachable = [p for p in site.executors.by_id.values() if not p.is_cut]
    return {run.task for place in reachable for run in place.running.values()}


def _list_members(count: int = GANG_SIZE) -> set[TaskKey]:
    return {TaskKey("a", 0, member) for member in range(count)}


def _list_runs(site: EmulatedSite) -> list[int]:
    return sorted({start.run for start in site.executors.starts()})


def _find_place(site: EmulatedSite, member: int) -> str:
    return site.executors.starts(TaskKey("a", 0, member))[-1].executor


async def _start_gang(
    site: EmulatedSite, count: int = GANG_SIZE, accelerators: int = 8, work_s: float = 20.0
) -> None:
    site.executors.breaks_gangs = True
    site.keeps_addresses = False
    await site.wait_for_owner()
    record = site.make_job("a", count=count, accelerators=accelerators, gang=True, work_s=work_s)
    await site.hosts["h0"].requests.accept(record, 2.0)


async def _reconnect_later(site: EmulatedSite, name: str) -> None:
    await trio.sleep(CUT_S)
    site.executors.by_id[name].is_cut = False
    site.executors.by_id[name].fails_all = False


def _partition(site: EmulatedSite, name: str, *, fails: bool) -> None:
    """Cut an executor off; its runs fail by themselves, or run on."""
    place = site.executors.by_id[name]
    place.is_cut, place.fails_all, place.stands_still = True, fails, not fails
    site.nursery.start_soon(_reconnect_later, site, name)


async def _fail_in_touch(site: EmulatedSite, name: str) -> None:
    place = site.executors.by_id[name]
    place.fails_all = True
    await trio.sleep(0.1)
    place.fails_all = False


async def _lose_executor(site: EmulatedSite, name: str, way: str) -> None:
    if way == "fails while partitioned":
        _partition(site, name, fails=True)
        return
    if way == "leaves as announced":
        site.drain_executor(name, LEAVES_IN_S)
        await trio.sleep(LEAVES_IN_S)
    site.crashes_dark = way == "crashes dark"
    site.keeps_ids = way == "starts again under its id"
    site.crash_executor(name)


async def _measure_delay(site: EmulatedSite, wanted: set[TaskKey]) -> float:
    """Return how long nothing runs (s), until the whole gang does."""
    began = trio.current_time()
    with trio.move_on_after(SETTLE_S):
        while len(_list_runs(site)) < 2 or _list_running(site) != wanted:
            await trio.sleep(0.02)
    return trio.current_time() - began


async def test_gang_of_a_lost_executor_waits_for_no_lease(autojump_clock: Clock) -> None:
    """Guards against gangs that wait for the lease of an executor whose member has ended."""
    delays = {}
    for way, says_born in CASES:
        async with EmulatedSite.open(hosts=1, executors=10, says_born=says_born) as site:
            await _start_gang(site)
            await trio.sleep(4.0)
            assert _list_running(site) == _list_members()
            await _lose_executor(site, _find_place(site, 1), way)
            delays[way, says_born] = round(await _measure_delay(site, _list_members()), 2)
            await trio.sleep(SETTLE_S)
            assert check_promises(site.executors, {}) == []
    assert {case: s for case, s in delays.items() if s > MAX_DELAY_S} == {}


async def test_gang_that_a_new_owner_found_waits_for_no_lease(autojump_clock: Clock) -> None:
    """Guards against a wait for the lease where an earlier owner had started the gang."""
    delays = {}
    for way, says_born in CASES:
        async with EmulatedSite.open(hosts=2, executors=10, says_born=says_born) as site:
            await _start_gang(site)
            await trio.sleep(3.0)
            site.kill_host(await site.wait_for_owner())
            await site.wait_for_owner()
            await trio.sleep(1.0)
            assert _list_running(site) == _list_members()
            await _lose_executor(site, _find_place(site, 1), way)
            delays[way, says_born] = round(await _measure_delay(site, _list_members()), 2)
            await trio.sleep(SETTLE_S)
            assert check_promises(site.executors, {}) == []
    assert {case: s for case, s in delays.items() if s > MAX_DELAY_S} == {}


async def test_members_at_one_lost_executor_are_over_together(autojump_clock: Clock) -> None:
    """Guards against a wait for the lease where several members were at the lost executor."""
    delays = {}
    for way, says_born in CASES:
        async with EmulatedSite.open(hosts=1, executors=6, says_born=says_born) as site:
            await _start_gang(site, count=6, accelerators=4)
            await trio.sleep(4.0)
            places = [_find_place(site, member) for member in range(6)]
            name = next(name for name in places if places.count(name) == 2)
            await _lose_executor(site, name, way)
            delays[way, says_born] = round(await _measure_delay(site, _list_members(6)), 2)
            await trio.sleep(SETTLE_S)
            assert check_promises(site.executors, {}) == []
    assert {case: s for case, s in delays.items() if s > MAX_DELAY_S} == {}


async def _count_runs_behind_partition(site: EmulatedSite) -> int:
    """Return how many runs have begun shortly after the rest of the gang broke."""
    await trio.sleep(MAX_DELAY_S)
    runs = len(_list_runs(site))
    await trio.sleep(CUT_S + SETTLE_S)
    assert check_promises(site.executors, {}) == []
    return runs


async def test_member_behind_a_partition_may_run_on_if_another_one_failed(
    autojump_clock: Clock,
) -> None:
    """Guards against a second run of a member that runs on where the cause is known to be other."""
    for says_born in (False, True):
        async with EmulatedSite.open(hosts=1, executors=10, says_born=says_born) as site:
            await _start_gang(site)
            await trio.sleep(4.0)
            _partition(site, _find_place(site, 1), fails=False)
            await trio.sleep(0.2)
            await _fail_in_touch(site, _find_place(site, 2))
            assert await _count_runs_behind_partition(site) == 1


async def test_members_at_two_silent_executors_may_run_on(autojump_clock: Clock) -> None:
    """Guards against a second run of a member at one of two executors, as the other's may run."""
    for says_born in (False, True):
        async with EmulatedSite.open(hosts=1, executors=10, says_born=says_born) as site:
            await _start_gang(site)
            await trio.sleep(4.0)
            _partition(site, _find_place(site, 1), fails=False)
            _partition(site, _find_place(site, 2), fails=True)
            assert await _count_runs_behind_partition(site) == 1


async def test_failures_that_are_not_listed_yet_use_up_attempts(autojump_clock: Clock) -> None:
    """Guards against starts beyond the permitted failures, of which an executor lists some late."""
    for says_born in (False, True):
        async with EmulatedSite.open(hosts=1, executors=12, says_born=says_born) as site:
            await _start_gang(site, count=2)
            limit = site.make_job("b").spec.queue.max_attempts
            for run in range(1, limit + 1):
                await trio.sleep(MAX_DELAY_S)
                assert len(_list_runs(site)) == run
                if run <= limit - 2:
                    await _fail_in_touch(site, _find_place(site, 1))
                else:
                    _partition(site, _find_place(site, 1), fails=True)
            await trio.sleep(MAX_DELAY_S)
            ends = [event.what for event in site.executors.events]
            assert ends.count(EndKind.FAILED.value) == limit
            assert len(_list_runs(site)) == limit
            await trio.sleep(CUT_S + SETTLE_S)
            assert check_promises(site.executors, {}) == []


async def test_listed_failure_after_one_that_is_not_listed_uses_up_attempts(
    autojump_clock: Clock,
) -> None:
    """Guards against a start while the failures of earlier runs may come to the limit."""
    for says_born in (False, True):
        async with EmulatedSite.open(hosts=1, executors=12, says_born=says_born) as site:
            await _start_gang(site, count=2)
            limit = site.make_job("b").spec.queue.max_attempts
            for _ in range(limit - 2):
                await trio.sleep(MAX_DELAY_S)
                await _fail_in_touch(site, _find_place(site, 1))
            await trio.sleep(MAX_DELAY_S)
            _partition(site, _find_place(site, 1), fails=True)
            await trio.sleep(1.5)
            assert len(_list_runs(site)) == limit
            await _fail_in_touch(site, _find_place(site, 1))
            await trio.sleep(2.0)
            ends = [event.what for event in site.executors.events]
            assert ends.count(EndKind.FAILED.value) == limit
            assert len(_list_runs(site)) == limit
            await trio.sleep(CUT_S + SETTLE_S)


async def test_next_owner_waits_for_failures_that_are_not_listed_yet(
    autojump_clock: Clock,
) -> None:
    """Guards against a next owner that does not know of a run that was taken as over."""
    for says_born in (False, True):
        async with EmulatedSite.open(hosts=2, executors=12, says_born=says_born) as site:
            await _start_gang(site, count=2)
            limit = site.make_job("b").spec.queue.max_attempts
            for _ in range(limit - 2):
                await trio.sleep(MAX_DELAY_S)
                await _fail_in_touch(site, _find_place(site, 1))
            await trio.sleep(MAX_DELAY_S)
            _partition(site, _find_place(site, 1), fails=True)
            await trio.sleep(1.5)
            assert len(_list_runs(site)) == limit
            site.kill_host(await site.wait_for_owner())
            await site.wait_for_owner()
            await _fail_in_touch(site, _find_place(site, 1))
            await trio.sleep(1.0)
            ends = [event.what for event in site.executors.events]
            assert ends.count(EndKind.FAILED.value) == limit
            assert len(_list_runs(site)) == limit
            await trio.sleep(CUT_S + SETTLE_S)
            assert check_promises(site.executors, {}) == []


class _Gang:
    """A run of three members: the first two at `e0`, which is silent, the last at `e1`."""

    def __init__(self, born: int = 0) -> None:
        self.step = StepState(StepSpec(3, NEED, 1.0, gang=True))
        self.late_starts = LateStarts()
        self.executors = {}
        for number in range(3):
            name = f"e{number}"
            executor = Executor(name, name, "pool", "z", "r", (), NEED, born=born)
            self.executors[name] = ExecutorState(executor)
        self.silent = self.executors["e0"]
        self.silent.unresponsive_since = trio.current_time()
        self.silent.renewed_until = trio.current_time() + 6.0
        for member, name in enumerate(("e0", "e0", "e1")):
            instance = self.executors[name].instance
            attempt = Attempt(self.key(member), 1, instance, NEED, trio.current_time())
            attempt.phase, attempt.sends, attempt.seen = Phase.RUNNING, 1, True
            self.step.tasks[member].attempt = attempt
            self.executors[name].occupy(attempt)

    @staticmethod
    def key(member: int) -> TaskKey:
        return TaskKey("a", 0, member)

    def attempt(self, member: int) -> Attempt:
        attempt = self.step.tasks[member].attempt
        assert attempt is not None
        return attempt

    def end(self, member: int, kind: EndKind = EndKind.BROKEN) -> None:
        note_end(self.step, EndedRun(1, self.key(member), 1, kind, ""))
        self.step.tasks[member].attempt = None

    def take_ended(self, max_attempts: int = 2) -> list[int]:
        left = take_ended(self.step, self.executors, self.late_starts, max_attempts)
        return [attempt.task.member for attempt in left]


def _close_without_end(gang: _Gang) -> None:
    gang.step.tasks[1].attempt = None


def _move_to_other_executor(gang: _Gang) -> None:
    gang.attempt(1).instance = gang.executors["e2"].instance


def _report_again(gang: _Gang) -> None:
    gang.silent.unresponsive_since = None


def _replace_instance(gang: _Gang) -> None:
    executor = Executor("e0", "e0", "pool", "z", "r", (), NEED, born=7)
    gang.executors["e0"] = ExecutorState(executor, unresponsive_since=0.0)


def _lose_the_start(gang: _Gang) -> None:
    attempt = gang.attempt(1)
    attempt.seen, attempt.unanswered = False, 1


def _send_again(gang: _Gang) -> None:
    gang.attempt(1).is_in_flight = True


def _stop(gang: _Gang) -> None:
    gang.attempt(0).phase = Phase.STOPPING


def _fail_before(gang: _Gang) -> None:
    gang.step.tasks[0].failed_runs.add(0)


def _run_again(gang: _Gang) -> None:
    gang.attempt(1).run = 2


def _move_to_next_instance(gang: _Gang) -> None:
    gang.step.ends.void(1)


VOIDING = (
    _move_to_next_instance,
    _close_without_end,
    _move_to_other_executor,
    _report_again,
    _replace_instance,
    _lose_the_start,
    _send_again,
    _stop,
    _fail_before,
    _run_again,
)


async def test_members_beside_the_first_that_ended_are_over(autojump_clock: Clock) -> None:
    """Guards against a rule that never holds, which the cases below would not show."""
    for born in (0, 5):
        gang = _Gang(born)
        assert gang.take_ended() == []
        gang.end(2)
        assert gang.take_ended() == [0, 1]


@pytest.mark.parametrize("void", VOIDING)
async def test_members_are_not_over_while_anything_is_in_doubt(
    autojump_clock: Clock, void: Callable[[_Gang], None]
) -> None:
    """Guards against closed attempts of runs that may go on, or begin."""
    gang = _Gang()
    void(gang)
    gang.end(2)
    assert gang.take_ended() == []


@pytest.mark.parametrize("kind", [kind for kind in EndKind if kind is not EndKind.BROKEN])
async def test_another_end_may_be_why_a_gang_is_broken(
    autojump_clock: Clock, kind: EndKind
) -> None:
    """Guards against closed attempts of runs that another member's end has not reached."""
    gang = _Gang()
    gang.attempt(1).instance = gang.executors["e2"].instance
    gang.end(1, kind)
    gang.end(2)
    assert gang.take_ended() == []
    gang.end(1)
    assert gang.take_ended() == []


async def test_start_that_another_instance_may_carry_out_keeps_its_attempt(
    autojump_clock: Clock,
) -> None:
    """Guards against a next run beside a late one, by a later instance under the same id."""
    gang = _Gang(born=5)
    gang.attempt(1).sent_at = trio.current_time()
    gang.late_starts.track(gang.attempt(1))
    gang.end(2)
    assert gang.take_ended() == []


async def test_start_that_was_answered_only_may_be_at_a_later_instance(
    autojump_clock: Clock,
) -> None:
    """Guards against answers to a start that another instance under the same id has given."""
    gang = _Gang(born=5)
    gang.attempt(1).seen = False
    gang.end(2)
    assert gang.take_ended() == []


async def test_stop_after_the_first_end_is_not_its_cause(autojump_clock: Clock) -> None:
    """Guards against a wait for the lease because the owner stops the rest of a broken gang."""
    gang = _Gang()
    gang.attempt(1).instance = gang.executors["e1"].instance
    gang.end(2)
    gang.attempt(0).phase = gang.attempt(1).phase = Phase.STOPPING
    gang.end(1)
    assert gang.take_ended() == [0]


async def test_serving_gang_has_no_limit_of_failures(autojump_clock: Clock) -> None:
    """Guards against a wait for the lease over a limit that does not apply."""
    gang = _Gang()
    gang.step.spec = StepSpec(3, NEED, 1.0, gang=True, lasting=True)
    _fail_before(gang)
    gang.end(2)
    assert gang.take_ended() == [0, 1]
