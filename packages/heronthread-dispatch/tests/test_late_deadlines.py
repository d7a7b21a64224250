"""Which deadlines may still reach another instance than the one that they were sent to."""

import trio
from heronthread_dispatch.late_deadlines import NEVER, LateDeadlines
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import ExecutorInstance

Clock = trio.testing.MockClock
FIRST, SECOND, THIRD = (ExecutorInstance("e0", born) for born in (1, 2, 3))


async def test_deadline_may_reach_the_instances_after_its_own(autojump_clock: Clock) -> None:
    deadlines = LateDeadlines(NEVER)
    deadlines.note_sent(FIRST)
    sent_at = trio.current_time()
    assert deadlines.find_end(FIRST) == NEVER
    assert deadlines.find_end(SECOND) == sent_at + MAX_ORDER_DELAY_S
    await trio.sleep(1.0)
    deadlines.note_sent(SECOND)
    assert deadlines.find_own_end(SECOND) == sent_at + MAX_ORDER_DELAY_S
    assert deadlines.find_own_end(THIRD) == sent_at + 1.0 + MAX_ORDER_DELAY_S
    assert deadlines.find_last_end("e0") == sent_at + 1.0 + MAX_ORDER_DELAY_S
    assert deadlines.find_last_end("e1") == NEVER


async def test_deadlines_of_earlier_owners_reach_other_instances_than_the_known_one(
    autojump_clock: Clock,
) -> None:
    deadlines = LateDeadlines(13.0)
    assert deadlines.find_end(FIRST) == 13.0
    deadlines.inherit(FIRST, 7.0)
    assert deadlines.find_end(FIRST) == NEVER
    assert deadlines.find_end(SECOND) == deadlines.find_last_end("e0") == 7.0
    assert deadlines.find_own_end(SECOND) == NEVER
    assert deadlines.find_last_end("e1") == 13.0
    deadlines.limit_earlier(5.0)
    assert deadlines.find_end(SECOND) == deadlines.find_last_end("e1") == 5.0
    deadlines.mark_inheritance_complete()
    assert deadlines.find_last_end("e1") == NEVER
    assert deadlines.list_late() == {FIRST: 5.0}


async def test_ids_of_one_instance_each_are_not_tracked(autojump_clock: Clock) -> None:
    deadlines = LateDeadlines(13.0)
    deadlines.note_sent(ExecutorInstance("e0"))
    assert deadlines.find_end(ExecutorInstance("e0")) == NEVER
    assert deadlines.find_last_end("e0") == 13.0
