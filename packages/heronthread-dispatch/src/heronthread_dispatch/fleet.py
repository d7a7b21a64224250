"""The owner's view of the executors: resources, clocks, leases and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import trio

from .model import NO_RESOURCES, Executor, ExecutorInstance, Resources, TaskKey
from .step_state import Attempt, Phase

CLOCK_DRIFT = 0.03
LEASE_MARGIN_S = 0.3
MAX_ROUND_TRIP_S = 0.3
"""How much a long round trip may extend a lease, out of the 1.2 s that a new owner waits longer."""
MAX_READING_AGE_S = 2.0
"""After this age a clock reading is replaced by a less precise one, as the clock may be slow."""
MIN_BACKOFF_S = 0.7
MAX_BACKOFF_S = 6.0


class WorkRefusal(StrEnum):
    """The reason why an executor is given no new run."""

    ENDED = "its life is over"
    NOT_HEARD = "not heard yet"
    SILENT = "silent"
    NOT_FENCED = "an order to another life may reach it"
    NEEDS_REPORT = "has not answered a look yet"
    NOT_RECORDED = "not recorded as in use"
    SET_ASIDE = "its entry is set aside"
    OTHER_INSTANCE = "its entry is of another life"
    NO_OWN_ENTRY = "no entry of this life"
    NOT_LISTED = "no entry"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    RESTING = "resting"
    APART = "a suspect begins there"


@dataclass(frozen=True, slots=True)
class RecordedLapse:
    """A write from which on a lease was not renewed: its revision, and what remained then (s)."""

    revision: int
    left_s: float


@dataclass(slots=True, eq=False)
class ExecutorState:
    """One instance of an executor; times are on trio's clock unless stated otherwise.

    - `clock`: (sent, received, clock in ms) of the clock reading with the shortest round trip.
    - `renewed_until`: when its lease has certainly ended as far as it was granted by orders to this
      instance. `late_orders_until`: until when a deadline that was sent to another instance may
      arrive. `late_lease_until`: until when such a deadline may extend the lease.
      `needs_fence`: orders carry a token that refuses such deadlines, and it has not answered one.
    - `renewed_at`: when the last answered renewal to the full lease was sent. `is_renewing`: one is
      sent until it is answered.
    - `processed_end`: the highest end processed; `recorded_end`: the highest end in the store;
      `acknowledged`: the highest end acknowledged to the executor. Ends in `ack_deferred_until` are
      acknowledged at their times.
    - `has_reported`: it has reported to this owner.
    - `listed`: its entry exists; `was_listed`: it existed at some time in this term;
      `was_unlisted_before`: an earlier owner saw it go.
    - `unresponsive_since`: when it stopped reporting, None while it reports.
      `held_when_unresponsive`: its attempts then with their ages (s);
      `was_listed_when_unresponsive`: whether its entry existed then; `refuses_connections`: whether
      its address has refused connections since.
    - `exclusive_until`: until then nothing is started beside a task under which executors crashed.
    - `recorded`: the store lists it as in use. `is_renewal_suspended`: the store says, or may say,
      that its lease is not renewed, so it must not be renewed before that is withdrawn.
    - `is_inherited`: an earlier owner may have used it. `is_entry_of_other_instance`: its entry
      names another instance than the recorded one. `is_listed_by_jobs`: only jobs that list it may
      be there; otherwise `only_tasks` are the tasks that may be, None for any.
    - `orphans`: orphaned runs, which are not their tasks' attempts or belong to no known job, until
      each is stopped.
    - `recorded_lapse`: since when the store has it that this lease is not renewed.
    - `evacuated`: its failure domain takes no new work. `has_unusable_entry`: its entry is not
      usable.
    - `announced_instance`: an entry for another instance, until that one reports. `moved_entry`: an
      entry for this instance at another address, until it answers there. `asked`: the last of these
      entries that was probed. `has_own_entry`: an entry of this instance was read.
    - `reported_at`: when its last report arrived. `needs_report`: it must report once more before
      it gets work. `report_wanted_since`: a start waits for a report that arrives after this.
    - `news`: set and replaced when it reports or fails to. `report_wanted`: set to probe it beside
      a hold in flight, as a start waits for that or an unreported run was stopped.
    """

    executor: Executor
    attempts: dict[TaskKey, Attempt] = field(default_factory=dict)
    orphans: dict[tuple[TaskKey, int], Attempt] = field(default_factory=dict)
    free: Resources = NO_RESOURCES
    clock: tuple[float, float, int] | None = None
    renewed_until: float = float("-inf")
    late_orders_until: float = float("-inf")
    late_lease_until: float = float("-inf")
    needs_fence: bool = False
    renewed_at: float = float("-inf")
    is_renewing: bool = False
    processed_end: int = 0
    recorded_end: int = 0
    acknowledged: int = 0
    ack_deferred_until: dict[int, float] = field(default_factory=dict)
    has_reported: bool = False
    unresponsive_since: float | None = None
    held_when_unresponsive: tuple[tuple[Attempt, float], ...] = ()
    was_listed_when_unresponsive: bool = True
    refuses_connections: bool = False
    exclusive_until: float = 0.0
    listed: bool = True
    was_listed: bool = False
    was_unlisted_before: bool = False
    recorded: bool = False
    is_renewal_suspended: bool = False
    is_inherited: bool = False
    recorded_lapse: RecordedLapse | None = None
    is_entry_of_other_instance: bool = False
    is_listed_by_jobs: bool = False
    only_tasks: frozenset[TaskKey] | None = None
    dead: bool = False
    evacuated: bool = False
    has_unusable_entry: bool = False
    announced_instance: Executor | None = None
    moved_entry: Executor | None = None
    asked: Executor | None = None
    has_own_entry: bool = True
    reported_at: float = float("-inf")
    needs_report: bool = False
    report_wanted_since: float = float("-inf")
    leaves_at: float | None = None
    backoff_until: float = 0.0
    backoff_streak: int = 0
    failed_streak: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    slow_until: float = 0.0
    healthy_at: float = float("-inf")
    wake: trio.Event = field(default_factory=trio.Event)
    news: trio.Event = field(default_factory=trio.Event)
    report_wanted: trio.Event = field(default_factory=trio.Event)

    @property
    def id(self) -> str:
        """The executor's id, which a later instance may reuse."""
        return self.executor.id

    @property
    def instance(self) -> ExecutorInstance:
        """The identity of this instance."""
        return self.executor.instance

    @property
    def rack(self) -> tuple[str, str]:
        """Its failure domain and rack, as racks of two domains may have one name."""
        return self.executor.zone, self.executor.rack

    def accepts_work(self, now: float) -> bool:
        """Return whether new runs may be started here."""
        return self.find_refusal(now) is None

    def find_refusal(self, now: float) -> WorkRefusal | None:
        """Return the reason why no new run may be started here, None if one may."""
        return self._find_unconfirmed() or self._find_unavailable(now)

    @property
    def lease_ends_by(self) -> float:
        """When everything there has certainly ended unless the lease is renewed."""
        return max(self.renewed_until, self.late_lease_until)

    def expose(self, orders_until: float, longest_run_s: float) -> None:
        """Record that deadlines for other instances may arrive until a time, and extend runs."""
        self.late_orders_until = max(self.late_orders_until, orders_until)
        self.late_lease_until = max(self.late_lease_until, orders_until + longest_run_s)

    def limit_exposure(self, orders_until: float, longest_run_s: float) -> bool:
        """Record that no such deadline arrives after a time; return whether that was not known."""
        is_news = orders_until < self.late_orders_until
        self.late_orders_until = min(self.late_orders_until, orders_until)
        self.late_lease_until = min(self.late_lease_until, orders_until + longest_run_s)
        return is_news

    def confirm_fence(self, received: float, longest_run_s: float) -> bool:
        """Record that it refused deadlines for other instances by the time of an answer.

        Return whether that was not known.
        """
        self.needs_fence = False
        return self.limit_exposure(received, longest_run_s)

    def _find_unconfirmed(self) -> WorkRefusal | None:
        """Return why its state is not known or not recorded, so that nothing may be sent."""
        if self.dead:
            return WorkRefusal.ENDED
        if not self.has_reported:
            return WorkRefusal.NOT_HEARD
        if self.unresponsive_since is not None:
            return WorkRefusal.SILENT
        if self.needs_report:
            return WorkRefusal.NEEDS_REPORT
        if not self.recorded or self.is_renewal_suspended:
            return WorkRefusal.NOT_RECORDED
        if self.has_unusable_entry:
            return WorkRefusal.SET_ASIDE
        if self.announced_instance is not None:
            return WorkRefusal.OTHER_INSTANCE
        return None if self.has_own_entry else WorkRefusal.NO_OWN_ENTRY

    def _find_unavailable(self, now: float) -> WorkRefusal | None:
        """Return why an executor in a known state takes no work."""
        if not self.listed:
            return WorkRefusal.NOT_LISTED
        if self.evacuated:
            return WorkRefusal.EVACUATED
        if self.leaves_at is not None:
            return WorkRefusal.LEAVING
        if now < self.late_orders_until:
            return WorkRefusal.NOT_FENCED
        if now < self.backoff_until:
            return WorkRefusal.RESTING
        return WorkRefusal.APART if now < self.exclusive_until else None

    def occupy(self, attempt: Attempt) -> None:
        """Reserve resources for an attempt."""
        self.attempts[attempt.task] = attempt
        self.free = self.free.minus(attempt.need)
        self.wake.set()

    def occupy_orphan(self, attempt: Attempt) -> None:
        """Reserve resources for an orphaned run."""
        self.orphans[attempt.task, attempt.run] = attempt
        self.free = self.free.minus(attempt.need)
        self.wake.set()

    def holds(self, attempt: Attempt) -> bool:
        """Return whether an attempt is, or may be, here."""
        orphan = self.orphans.get((attempt.task, attempt.run))
        return attempt in (self.attempts.get(attempt.task), orphan)

    def list_held(self) -> list[Attempt]:
        """Return all attempts and orphaned runs that are, or may be, here."""
        return [*self.attempts.values(), *self.orphans.values()]

    def release(self, attempt: Attempt) -> None:
        """Free an attempt's resources."""
        if self.attempts.get(attempt.task) is attempt:
            del self.attempts[attempt.task]
        elif self.orphans.get((attempt.task, attempt.run)) is attempt:
            del self.orphans[attempt.task, attempt.run]
        else:
            return
        self.free = self.free.plus(attempt.need)

    def projected_free(self) -> Resources:
        """Return the resources that are free once all stopping attempts have ended."""
        soon = self.free
        for attempt in self.list_held():
            if attempt.phase is Phase.STOPPING:
                soon = soon.plus(attempt.need)
        return soon

    def apply_entry(self, executor: Executor) -> None:
        """Apply a valid entry of this instance."""
        used = NO_RESOURCES
        for attempt in self.list_held():
            used = used.plus(attempt.need)
        self.executor = executor
        self.free = executor.capacity.minus(used)
        self.listed = self.was_listed = True
        self.has_unusable_entry = False
        self.announced_instance = self.moved_entry = None
        self.has_own_entry = True

    def mark_ended(self) -> None:
        """Record that this instance has ended, and nothing runs here any more."""
        self.dead = True
        self.wake.set()
        self.notify_waiters()

    def mark_reported(self, received: float) -> None:
        """Record that it has reported."""
        self.reported_at = received
        self.needs_report = False
        self.notify_waiters()

    def request_report(self) -> None:
        """Have its watch probe it, also while a hold waits for an end."""
        self.wake.set()
        self.report_wanted.set()

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for its next report, or for a failure to report."""
        self.news.set()
        self.news = trio.Event()

    def read_clock(self, sent: float, received: float, clock_ms: int) -> None:
        """Keep a clock reading if it is more precise than the last one, or that is too old."""
        if self.clock is not None:
            old_sent, old_received, _ = self.clock
            age_s = received - old_received
            widened = old_received - old_sent + age_s * CLOCK_DRIFT
            if received - sent > widened and age_s < MAX_READING_AGE_S:
                return
        self.clock = (sent, received, clock_ms)

    def deadline_ms(self, now: float, executor_lease_s: float) -> int | None:
        """Return the time on its clock at which a lease from now ends, and extend `renewed_until`.

        None while its clock is unknown, or while the store says that its lease is not renewed.
        """
        if self.clock is None or self.is_renewal_suspended:
            return None
        sent, received, clock_ms = self.clock
        # A reading may be as old as its round trip, which is seconds for a long poll. Without a
        # limit that would extend the lease beyond what a new owner waits for.
        elapsed = now - max(sent, received - MAX_ROUND_TRIP_S)
        until_ms = clock_ms + int((elapsed + executor_lease_s) * 1000)
        remaining = (until_ms - clock_ms) / 1000
        lapse = received + remaining * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
        self.renewed_until = max(self.renewed_until, lapse)
        return until_ms

    def find_acknowledgeable(self, now: float) -> int:
        """Return the highest end number that may be acknowledged to the executor."""
        self.ack_deferred_until = {
            n: until for n, until in self.ack_deferred_until.items() if until > now
        }
        return min(
            self.recorded_end, min(self.ack_deferred_until, default=self.recorded_end + 1) - 1
        )

    def back_off(self, now: float, longest_s: float = MAX_BACKOFF_S) -> None:
        """Back off from starting work here, for longer with each failure in a row."""
        self.backoff_streak += 1
        self.backoff_until = now + min(longest_s, MIN_BACKOFF_S * 2 ** (self.backoff_streak - 1))

    def reset_backoff(self) -> None:
        """Clear the backoff after a successful run."""
        self.backoff_streak = 0
        self.failed_streak = 0
        self.failed_jobs.clear()
        self.backoff_until = 0.0


def make_executor_state(executor: Executor, now: float) -> ExecutorState:
    """Return the state of an executor that has not reported yet."""
    state = ExecutorState(executor, free=executor.capacity)
    if executor.leaves_in_s is not None:
        state.leaves_at = now + executor.leaves_in_s
    return state
