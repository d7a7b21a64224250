"""Days whose steps have spread limits, labels and steps that they come after."""

import pytest
from heronthread_emulator.site import EmulatedSite
from heronthread_emulator.soak import run_seeded, run_soak
from heronthread_emulator.soak_limits import LimitedLoad


@pytest.mark.parametrize("seed", range(3))
def test_promises_hold_where_steps_have_limits(seed: int) -> None:
    result = run_soak(seed, has_limits=True)
    assert result.violations == []
    assert result.faults["store_down_beside_failures"]


def test_no_job_stands_while_executors_rest_after_failures() -> None:
    """Several executors rest as runs failed there, and all that would hold a task are idle."""
    violations = [run_soak(seed, has_limits=True).violations for seed in (3, 24)]
    assert violations == [[], []]


def test_load_has_limits_labels_and_steps_to_come_after() -> None:
    async def draw() -> None:
        async with EmulatedSite.open(hosts=0, executors=0) as site:
            load = LimitedLoad(site.executors, 0)
            jobs = [load.limit(site.make_job(f"{n}", count=4)) for n in range(40)]
            steps = [step for job in jobs for step in job.spec.steps]
            assert {step.spread_limit for step in steps} == {0, 1, 2}
            assert {step.label for step in steps} == {"", "r0", "r1"}
            assert {step.after for step in steps} == {(), (0,)}
            assert all(len(site.executors.specs[j.spec.id]) == len(j.spec.steps) for j in jobs)

    run_seeded(0, draw)
