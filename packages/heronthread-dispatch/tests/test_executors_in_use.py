"""The recorded executors in use, and how the next owner relies on them."""

import json

import pytest
import trio
from heronthread_dispatch.executors_in_use import (
    NOTE_INTERVAL_S,
    USED_KEY,
    UsedExecutor,
    decode_used,
    encode_used,
)
from heronthread_dispatch.fleet import RecordedLapse
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import Unreadable
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock


def test_encoded_executors_are_decoded_unchanged() -> None:
    used = {
        "e0": UsedExecutor("a:1", "pool"),
        "e1": UsedExecutor("a:2", "pool", (TaskKey("j", 0, 1, 0),), 17, False),
        "e2": UsedExecutor("a:3", "pool", (), 18, True, 0.0),
        "e3": UsedExecutor("a:4", "pool", None, 19, True, 7.4),
        "e4": UsedExecutor("a:5", "pool", None, 19, True, 3.4, RecordedLapse(42, 7.4)),
        "e5": UsedExecutor("a:6", "pool", None, 19, True, is_unlisted=True),
        "e6": UsedExecutor("a:7", "pool", None, 19, True, 3.4, RecordedLapse(42, 7.4), True),
    }
    assert decode_used(encode_used(used)) == used


def test_row_without_a_remaining_lease_has_the_earlier_form() -> None:
    row = json.loads(encode_used({"e0": UsedExecutor("a:1", "pool", None, 17, True)}))["e0"]
    assert row == ["a:1", "pool", None, 17, True]


@pytest.mark.parametrize("left", [-0.1, float("inf"), float("nan"), "soon", [1.0]])
def test_invalid_remaining_lease_is_unreadable(left: object) -> None:
    data = json.dumps({"e0": ["a:1", "pool", None, 0, True, left]}).encode()
    assert isinstance(decode_used(data), Unreadable)


@pytest.mark.parametrize("lapse", [[7], [7, None], [7, -1.0], ["x", 1.0], [7, 1.0, 2]])
def test_invalid_lapse_is_unreadable(lapse: list[object]) -> None:
    data = json.dumps({"e0": ["a:1", "pool", None, 0, True, 1.0, *lapse]}).encode()
    assert isinstance(decode_used(data), Unreadable)


def _read_left_s(site: EmulatedSite, name: str) -> float | None:
    used = decode_used(site.store.items[USED_KEY].value)
    assert isinstance(used, dict)
    return used[name].lapses_in_s


async def test_lease_is_renewed_only_once_the_record_of_its_end_is_withdrawn(
    autojump_clock: Clock,
) -> None:
    """Otherwise the next owner would count its runs as over while they continue."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=5.0), 2.0)
        await trio.sleep(1.0)
        place = site.executors.by_id["e0"]
        place.is_cut = True
        await trio.sleep(3.0)
        left_s = _read_left_s(site, "e0")
        assert left_s is not None and left_s < 5.0
        site.store.is_down = True
        place.is_cut = False
        held_until = place.hold_until
        await trio.sleep(1.5)
        assert place.hold_until == held_until
        site.store.is_down = False
        await trio.sleep(2.0)
        assert _read_left_s(site, "e0") is None
        assert place.running and place.hold_until > held_until
        await trio.sleep(10.0)
        assert check_promises(site.executors, {}) == []


async def test_long_unresponsive_executor_does_not_delay_later_owners(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=4) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        site.executors.by_id["e0"].is_cut = True
        owner = await site.wait_for_owner()
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(9.0)
        left_s = _read_left_s(site, "e0")
        assert left_s is not None and left_s <= NOTE_INTERVAL_S
        site.start_host(owner)
        await trio.sleep(1.0)
        site.kill_host(await site.wait_for_owner())
        name = await site.wait_for_owner()
        await trio.sleep(left_s + 0.1)
        last = site.hosts[name].owner
        assert last is not None and last.is_settled
