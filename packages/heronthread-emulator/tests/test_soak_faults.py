import io
from pathlib import Path

import pytest
import trio
from heronthread_emulator import run_soak
from heronthread_emulator.sight import Sight
from heronthread_emulator.soak_faults import PLANNED, SoakFaults, list_faults
from heronthread_emulator.soak_site import LARGE_EXECUTORS, SiteSettings, SoakSite


def make_faults(only="", seed=1, executors=LARGE_EXECUTORS):
    settings = SiteSettings(seed, Path("."), only=only, executors=executors)
    site = SoakSite(settings, None, None, None)
    return SoakFaults(site, only)


def test_every_planned_fault_is_there():
    assert set(make_faults().names) >= PLANNED
    assert set(list_faults()) == set(make_faults().names)


def test_faults_are_chosen_by_name():
    assert make_faults("kill_all,store_busy").names == ["kill_all", "store_busy"]
    with pytest.raises(ValueError, match="no such fault"):
        make_faults("kill_all,other")


def test_seed_draws_the_same_faults():
    first, second = make_faults(seed=3), make_faults(seed=3)
    assert [first.draw().__name__ for _ in range(50)] == [second.draw().__name__ for _ in range(50)]


def test_every_fault_is_drawn():
    faults = make_faults()
    drawn = {faults.draw().__name__ for _ in range(2000)}
    apart = [make_faults(seed=seed).lasting.draw() for seed in range(40)]
    power = [make_faults(seed=seed).power.draw() for seed in range(40)]
    refusals = [make_faults(seed=seed).refusals.draw() for seed in range(40)]
    watches = [make_faults(seed=seed).watches.draw() for seed in range(40)]
    every = [*apart, *power, *refusals, *watches]
    beside = {fault.__name__ for chosen in every for fault in chosen}
    assert drawn.isdisjoint(beside)
    assert drawn | beside == set(faults.names)
    assert any(not chosen for chosen in apart)
    assert any(not chosen for chosen in power)
    assert any(not chosen for chosen in refusals)
    assert any(not chosen for chosen in watches)


def test_faults_drawn_apart_leave_the_others_of_a_seed_as_they_were():
    alone, beside = make_faults(seed=3), make_faults(seed=3)
    beside.lasting.draw()
    beside.power.draw()
    beside.refusals.draw()
    assert [alone.draw().__name__ for _ in range(50)] == [beside.draw().__name__ for _ in range(50)]


def test_faults_come_in_series_in_some_seeds_and_overlap_in_others():
    assert {make_faults(seed=seed).at_once for seed in range(20)} == {1, 2, 3, 4}


@pytest.mark.parametrize("at_once", [1, 2, 4])
async def test_as_many_faults_go_on_at_a_time_as_the_seed_says(at_once, autojump_clock):
    """Signals, restarts and changes of settings and configurations are drawn like all others."""
    faults = make_faults("reload_settings,restart_owner,stop_any,change_configuration")
    faults.site.sight = Sight("soak", io.StringIO())
    faults.at_once, going, counts = at_once, set(), []

    def make(number):
        async def play():
            going.add(number)
            counts.append(len(going))
            await trio.sleep(10.0)
            going.discard(number)

        return play

    faults._all = [make(number) for number in range(100)]
    await faults.play()
    assert max(counts) == at_once


def test_no_job_stands_beside_free_room_while_nobody_is_silent() -> None:
    assert run_soak(22).violations == []
