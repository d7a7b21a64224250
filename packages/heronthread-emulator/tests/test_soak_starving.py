"""The soak's check of customers without starts, kept and broken in histories made by hand."""

import pytest
from heronthread_dispatch.model import Resources, Schedule, TaskKey
from heronthread_emulator.checker import Told
from heronthread_emulator.executors import Event, WorkSpec
from heronthread_emulator.soak_history import Disruption, SoakHistory
from heronthread_emulator.soak_plan import PlannedJob
from heronthread_emulator.soak_starving import OTHERS_STARTS, STARVED_S, check_starving

ENDED_AT = 100.0
TAKEN_AT = 10.0


def _make_history(**more: object) -> SoakHistory:
    """Return a history in which the first customer's job waits while jobs of the second start."""
    history = SoakHistory(mended_at=5.0, ended_at=ENDED_AT)
    _add(history, "waits", "first", TAKEN_AT, None, **more)
    for number in range(OTHERS_STARTS):
        at = TAKEN_AT + 1.0 + number
        _add(history, f"other{number}", "second", at, at + 1.0 + 4 * number)
    return history


def _add(
    history: SoakHistory,
    name: str,
    tenant: str,
    taken_at: float,
    start_at: float | None,
    work_s: float = 8.0,
    queue: str = "ordinary",
    gang: bool = False,
    schedule: Schedule | None = None,
    accelerators: int = 1,
) -> None:
    work = WorkSpec(Resources(1000, 1000, accelerators), work_s)
    job = PlannedJob(name, taken_at, queue, tenant, 1, work, gang, 1, None, schedule)
    history.told[name] = Told(job.to_record(0.0), taken=True)
    call = {"job": name, "call": "POST", "sent": taken_at - 0.1, "took_s": 0.1, "status": 200}
    history.calls.append(call)
    if start_at is not None:
        history.events.append(Event(start_at, "start", TaskKey(name, 0, 0), 1, "e0", 1))


def test_customer_without_starts_beside_those_of_another_is_named() -> None:
    (violation,) = check_starving(_make_history(), 0.0)
    assert violation.promise == "no customer starves"
    assert violation.what == "first at priority 1 from 10.00: waits"


def test_a_start_within_the_bound_keeps_the_promise() -> None:
    history = _make_history()
    _add(history, "own", "first", TAKEN_AT, TAKEN_AT + STARVED_S - 1.0)
    assert check_starving(history, 0.0) == []


def test_few_starts_of_others_prove_no_capacity() -> None:
    history = _make_history()
    history.events.pop()
    assert check_starving(history, 0.0) == []


@pytest.mark.parametrize(
    "more",
    [
        {"gang": True},
        {"queue": "urgent"},
        {"queue": "batch"},
        {"schedule": Schedule(1, 90.0, 1.0)},
        {"accelerators": 2},
        {"work_s": 0.3},
    ],
    ids=["gang", "urgent", "another priority", "scheduled", "needs more", "late already"],
)
def test_work_of_another_rank_does_not_starve(more: dict[str, object]) -> None:
    """Guards against an alarm where the order or the job's own terms let others start first."""
    assert check_starving(_make_history(**more), 0.0) == []


def test_only_calm_stretches_are_judged() -> None:
    history = _make_history()
    history.disruptions.append(Disruption("fault 1", 15.0, 18.0))
    assert check_starving(history, 0.0) == []
    for number in range(OTHERS_STARTS):
        _add(history, f"later{number}", "second", 22.0, 23.0 + 4 * number, work_s=1.0)
        _add(history, f"late{number}", "second", 11.0, 23.0 + 4 * number, work_s=8.0)
    assert len(check_starving(history, 0.0)) == 1


def test_cancelled_job_does_not_starve() -> None:
    history = _make_history()
    call = {"job": "waits", "call": "DELETE", "sent": TAKEN_AT + 2.0, "took_s": 0.1, "status": 200}
    history.calls.append(call)
    assert check_starving(history, 0.0) == []
