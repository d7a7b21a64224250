"""For how long the store is known to have had a revision."""

import random
from typing import Any

import pytest
import trio
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.peer_messages import NOT_HERE, OK, PeerReply
from heronthread_dispatch.record import MALFORMED
from heronthread_dispatch.revision_log import (
    LEARN_TIMEOUT_S,
    MAX_ENTRIES,
    RESOLUTION_S,
    RevisionLog,
    learn_revisions,
)

Clock = trio.testing.MockClock
ROUNDING_S = 1e-6


async def test_a_revision_is_known_since_it_or_a_later_one_was_seen(autojump_clock: Clock) -> None:
    log = RevisionLog()
    log.note(7)
    await trio.sleep(2.0)
    log.note(9)
    await trio.sleep(1.0)
    ages = [log.find_age_s(revision) for revision in (5, 7, 8, 9)]
    assert ages == pytest.approx([3.0, 3.0, 1.0, 1.0], abs=ROUNDING_S)
    assert log.find_age_s(10) == 0.0


async def test_no_age_is_longer_than_the_time_since_the_revision(autojump_clock: Clock) -> None:
    log, drawn, reached = RevisionLog(), random.Random(3), dict[int, float]()
    for revision in range(1, 400):
        log.note(revision)
        reached[revision] = trio.current_time()
        await trio.sleep(drawn.expovariate(20.0))
    now = trio.current_time()
    for revision, at in reached.items():
        age_s = log.find_age_s(revision)
        assert now - at - RESOLUTION_S - ROUNDING_S <= age_s <= now - at + ROUNDING_S


async def test_old_revisions_are_forgotten(autojump_clock: Clock) -> None:
    log = RevisionLog()
    for revision in range(1, MAX_ENTRIES + 20):
        log.note(revision)
        await trio.sleep(2 * RESOLUTION_S)
    assert len(log.encode()["reached"]) == MAX_ENTRIES
    assert log.find_age_s(1) <= MAX_ENTRIES * 2 * RESOLUTION_S + ROUNDING_S


async def test_what_a_peer_knows_counts_from_when_it_told(autojump_clock: Clock) -> None:
    peer, log = RevisionLog(), RevisionLog()
    peer.note(4)
    await trio.sleep(3.0)
    peer.note(6)
    log.note(5)
    body = peer.encode()
    await trio.sleep(1.0)
    log.merge(body)
    assert log.find_age_s(4) == pytest.approx(3.0, abs=ROUNDING_S)
    assert log.find_age_s(5) == pytest.approx(1.0, abs=ROUNDING_S)
    assert log.latest == 6


@pytest.mark.parametrize(
    "body", [{}, {"reached": [[1.0]]}, {"reached": [[-1.0, 3]]}, {"reached": [["x", 3]]}]
)
async def test_malformed_revisions_change_nothing(body: Any, autojump_clock: Clock) -> None:
    log = RevisionLog()
    with pytest.raises(MALFORMED):
        log.merge(body)
    assert log.latest == 0


async def test_asking_peers_takes_no_longer_than_its_limit(autojump_clock: Clock) -> None:
    """One peer is of an earlier version, one malformed, one unreachable, and one hangs."""
    peer, log = RevisionLog(), RevisionLog()
    peer.note(8)
    await trio.sleep(2.0)

    async def ask(
        address: str, operation: int, body: dict[str, Any], timeout_s: float
    ) -> PeerReply | PeerUnreachable:
        if address == "hangs":
            await trio.sleep_forever()
        replies: dict[str, PeerReply | PeerUnreachable] = {
            "sound": PeerReply(OK, peer.encode()),
            "earlier": PeerReply(NOT_HERE, {}),
            "malformed": PeerReply(OK, {}),
            "gone": PeerUnreachable("gone"),
        }
        return replies[address]

    malformed = list[str]()
    began = trio.current_time()
    peers = ["hangs", "gone", "malformed", "earlier", "sound"]
    await learn_revisions(log, peers, ask, lambda _, address, __: malformed.append(address))
    assert malformed == ["malformed"]
    assert trio.current_time() - began == pytest.approx(LEARN_TIMEOUT_S)
    assert log.find_age_s(8) == pytest.approx(2.0 + LEARN_TIMEOUT_S, abs=ROUNDING_S)
