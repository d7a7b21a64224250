"""Decides which tasks start on which executors and which attempts urgent work preempts."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

import trio

from .approval import (
    DEFAULT_EXECUTORS_PER_REQUEST,
    MAX_EXECUTORS_PER_REQUEST,
    ApprovalRequest,
    Approvals,
)
from .candidates import CandidateFinder, StartConstraints
from .colocation import Colocation
from .crashes import has_recent_start, sum_work_at_risk
from .fleet import ExecutorState, WorkRefusal
from .gangs import SPREAD_WAIT_S, GangPlacer
from .guarantee import find_guaranteed
from .headroom import Headroom
from .late_starts import NOWHERE
from .learned import LearnedState
from .losses import MIN_UNSAVED_LOSS_S, Losses
from .model import URGENT, DesiredState, Resources, TaskKey
from .offers import Offer, Scope, count_free, count_with_reserved, make_offers
from .plan import Candidate, Plan, Preemption, SpreadCount, Start
from .policy import DEFAULT_POLICY, Policy
from .progress import JobState, latest_starts
from .speed_placement import SpeedPlacement
from .spread import SpreadAccount
from .step_state import Attempt, Phase, TaskState
from .urgent_room import (
    END_WAIT_SHARE,
    MAX_PREEMPTIONS,
    STOOD_TASKS,
    Borrower,
    LendReason,
    RoomUse,
    UrgentRoom,
    find_end_wait_s,
    may_borrow,
)
from .victim_selection import ENDS_SOON_S, VictimSelector
from .wait_causes import WaitCause

REMOTE_WAIT_S = 1.2
HEADROOM_WAIT_S = 1.5
DUE_MARGIN_S = 1.0
DEFAULT_STOP_S = 0.5
WORK_PER_CHECK = 64
"""Jobs looked at, and candidates found, before the budget of a call is checked."""
NO_CAPACITY = Resources(-1, -1, -1)
"""Less than any task needs, even one that asks for nothing."""


class Planner:
    """Makes one scheduling plan for all pools, in one call or in several.

    `may_run` returns whether a run of a task by an earlier owner may still exist; None if there can
    be no such run. `can_write_store` is true if the store can record executors for jobs; otherwise
    a job starts only on executors already recorded for it. `pins` maps a task to the only executor
    that may run it. `steps_to_explain` lists steps by the keys of their first tasks; `causes`
    receives the reason why each of them waits, once the plan has reached it. `learned` is what the
    owner knows of speeds, lengths, urgent demand and customers. `number` identifies the plan in
    the log. `late_starts` are the unanswered starts that may yet be carried out, by executor id.
    """

    def __init__(
        self,
        jobs: Iterable[JobState],
        executors: Iterable[ExecutorState],
        desired: DesiredState,
        now: float,
        wall_now: float,
        urgent_peaks: dict[str, int] | None = None,
        may_run: Callable[[TaskKey], bool] | None = None,
        approvals: Approvals | None = None,
        policy: Policy = DEFAULT_POLICY,
        stop_s: float = DEFAULT_STOP_S,
        can_write_store: bool = True,
        pins: Mapping[TaskKey, str] | None = None,
        learned: LearnedState | None = None,
        late_starts: Iterable[tuple[str, TaskKey]] = (),
    ) -> None:
        self.policy = policy
        self.learned = learned or LearnedState()
        self.jobs = list(jobs)
        self._jobs_by_id = {job.spec.id: job for job in self.jobs}
        self.desired = desired
        self.steps_to_explain: Collection[TaskKey] = ()
        self.causes: dict[TaskKey, WaitCause] = {}
        self._pinned_offers: dict[str, Offer] = {}
        self.now = now
        self.wall_now = wall_now
        self._states = {state.id: state for state in executors}
        self.offers = make_offers(self._states.values(), now)
        self._offer_by_executor = {
            offer.state.id: offer for offers in self.offers.values() for offer in offers
        }
        self.number = 0
        self.plan = Plan()
        self.guaranteed = find_guaranteed(self.jobs, desired, wall_now)
        self._exhausted: set[tuple[object, ...]] = set()
        self._eligible_scopes: dict[tuple[str, str, bool], Scope] = {}
        speeds = self.learned.speeds if policy.executor_speeds else None
        self._headroom_executors: frozenset[str] | None = None
        self._loans: dict[TaskKey, LendReason] = {}
        self._lent_counts: Counter[TaskKey] = Counter()
        self._urgent_missing: dict[str, int] = {}
        self._blocks_others: dict[str, bool] = {}
        self._colocation = Colocation(self.jobs)
        self._stopped: set[int] = set()
        wait_s = max(stop_s, ENDS_SOON_S) if policy.wait_for_ends else stop_s
        self._stop_s = stop_s
        self._preempted: set[str] = set()
        self._open_preempted: set[str] = set()
        self.room = self._make_room()
        peaks = {p: n for p, n in (urgent_peaks or {}).items() if p not in self.room.demands}
        self._headroom = Headroom(self.offers, peaks, self._states.values())
        speed_placement = SpeedPlacement(speeds, now)
        self._spread = SpreadAccount(self._states.values(), late_starts)
        self._gangs = GangPlacer(
            now, policy, self._spread, speed_placement, self._headroom.is_mostly_idle
        )
        self._losses = self._make_losses(wait_s)
        self._victims = VictimSelector(self._losses, now, self._make_losses)
        self._approvals = approvals
        constraints = StartConstraints(may_run, can_write_store, pins or {})
        self._candidates = CandidateFinder(
            desired,
            self.guaranteed,
            now,
            wall_now,
            policy,
            self.learned,
            constraints,
            len(self.jobs),
            self._request_replan,
        )
        self._collected = 0
        self._found: list[Candidate] = []
        self._waiting: deque[Candidate] | None = None

    def _make_room(self) -> UrgentRoom:
        """Return the capacity for urgent work in the pools where a forecast expects any."""
        pools = self.offers if self.policy.urgent_room else ()
        expected = {pool: self.learned.forecast.predict(pool, self.now) for pool in pools}
        demands = {pool: demand for pool, demand in expected.items() if demand is not None}
        return UrgentRoom(self.offers, demands, self.jobs, self.desired, self.learned.speeds)

    def _make_losses(self, wait_s: float) -> Losses:
        return Losses(
            self.jobs,
            self.desired,
            self.guaranteed,
            self.now,
            self._stopped,
            wait_s,
            self.learned if self.policy.run_lengths else None,
            MAX_PREEMPTIONS if self.policy.urgent_room else None,
            MIN_UNSAVED_LOSS_S if self.room.demands else 0.0,
        )

    @property
    def is_complete(self) -> bool:
        """Whether the plan has reached every waiting step."""
        return self._waiting is not None and not self._waiting

    def make(self, budget_s: float = float("inf"), most_starts: float = float("inf")) -> Plan:
        """Return the tasks to start and the attempts to stop now.

        Once `budget_s` has passed, or `most_starts` tasks or more are to be started, the remaining
        steps are left to the next call, which resumes after the last step planned. The caller must
        have carried out the returned plan by then.
        """
        deadline = trio.current_time() + budget_s if budget_s < float("inf") else budget_s
        self.plan = Plan()
        if not self._collect(deadline):
            return self.plan
        self._spread.reset()
        while self._waiting:
            self._plan_step(self._waiting.popleft())
            if sum(map(len, self.plan.groups)) >= most_starts:
                break
            if self._waiting and deadline < float("inf") and trio.current_time() >= deadline:
                break
        return self.plan

    def _refresh(self) -> None:
        """Apply changes since the last call, but leave freed capacity to the next plan."""
        assert self._waiting is not None
        now = trio.current_time()
        for offer in self._offer_by_executor.values():
            offer.limit_to(offer.state.free if offer.state.accepts_work(now) else NO_CAPACITY)
        for offer in self._pinned_offers.values():
            offer.limit_to(offer.state.free if _accepts_pinned(offer.state, now) else NO_CAPACITY)
        still = (self._drop_settled_tasks(candidate) for candidate in self._waiting)
        self._waiting = deque(candidate for candidate in still if candidate is not None)

    def _drop_settled_tasks(self, candidate: Candidate) -> Candidate | None:
        """Return a candidate reduced to the tasks that still wait, None if none do."""
        tasks = [task for task in candidate.tasks if task.is_open]
        is_broken = candidate.step.spec.gang and len(tasks) < len(candidate.tasks)
        if not tasks or is_broken or not candidate.job.is_active:
            return None
        candidate.tasks = tasks
        return candidate

    def _collect(self, deadline: float) -> bool:
        """Find the waiting steps in their order; return whether all were found by the deadline."""
        if self._waiting is not None:
            self._refresh()
            return True
        is_first_call, unchecked = not self._collected, 0
        while self._collected < len(self.jobs):
            if unchecked >= WORK_PER_CHECK:
                if deadline < float("inf") and trio.current_time() >= deadline:
                    return False
                unchecked = 0
            candidates = self._candidates.list_candidates(self.jobs[self._collected])
            self._found += candidates
            self._collected += 1
            unchecked += 1 + len(candidates)
        self._waiting = deque(sorted(self._found, key=lambda c: c.rank.sort_key))
        self._found = []
        if not is_first_call:
            self._refresh()
        return True

    def _plan_step(self, candidate: Candidate) -> None:
        avoids_headroom = self._avoids_headroom(candidate)
        eligible: Scope | None = None
        if candidate.step.spec.gang and len(candidate.tasks) > 1:
            eligible = self._find_eligible(candidate, avoids_headroom)
            pinned = self._place_pinned(candidate)
            if len(pinned) < len(candidate.pins):
                self._release_all(candidate, pinned)
                return
            placed = self._place_gang(candidate, pinned, eligible, avoids_headroom)
        else:
            placed = self._place_single(candidate, avoids_headroom)
        if placed:
            self.plan.groups.append(self._make_starts(candidate, placed))
            self._colocation.record_placed(candidate.step.spec, (offer for _, offer in placed))
            self._note_loan(candidate, placed)
            if candidate.job.spec.id in self._candidates.cut_short:
                self._request_replan(0.0)
        missing = len(candidate.tasks) - len(placed)
        if candidate.key in self.steps_to_explain:
            cause = WaitCause.DUE if placed else self._find_cause(candidate, avoids_headroom)
            self.causes[candidate.key] = cause
        if missing and candidate.queue.approval is not None:
            self._request_approvals(candidate)
        if missing and candidate.step.spec.serves:
            self._evict_best_effort(candidate, missing)
        if missing and candidate.queue.priority == URGENT:
            pool = candidate.queue.pool
            needed = missing * candidate.step.spec.need.accelerators
            self._urgent_missing[pool] = self._urgent_missing.get(pool, 0) + needed
            eligible = eligible or self._find_eligible(candidate, avoids_headroom)
            if candidate.rank.may_preempt:
                self._preempt_for_missing(candidate, placed, eligible)
        elif (
            missing
            and candidate.step.spec.gang
            and not self._would_block_others(candidate.queue.pool)
        ):
            eligible = eligible or self._find_eligible(candidate, avoids_headroom)
            self._gangs.reserve(candidate, eligible)

    def _make_starts(
        self, candidate: Candidate, placed: list[tuple[TaskState, Offer]]
    ) -> list[Start]:
        job, step, allowed = candidate.job, candidate.step, candidate.allowed_executors
        if not step.spec.spread_limit:
            return [Start(job, step, task, offer.state) for task, offer in placed]
        allowed_count = None if allowed is None else len(allowed)
        counts = self._spread.list_held(candidate)
        counts.subtract(offer.state.id for _, offer in placed)
        starts = []
        for task, offer in placed:
            counts[offer.state.id] += 1
            spread = SpreadCount(self.number, counts[offer.state.id], allowed_count)
            starts.append(Start(job, step, task, offer.state, spread))
        return starts

    def _would_block_others(self, pool: str) -> bool:
        """Whether reserving capacity of a pool for gangs would block other steps from starting.

        Applies only while much of the pool is idle.
        """
        if pool not in self._blocks_others:
            waiting = self._waiting or ()
            self._blocks_others[pool] = self._headroom.is_mostly_idle(pool) and any(
                self._is_blocked_by_reservations(candidate)
                for candidate in waiting
                if candidate.queue.pool == pool
            )
        return self._blocks_others[pool]

    def _is_blocked_by_reservations(self, candidate: Candidate) -> bool:
        """Whether a candidate with nothing running has waited and would fit now in any rack."""
        spec = candidate.step.spec
        if self._has_runs(candidate.job) or candidate.waited_s(self.now) < HEADROOM_WAIT_S:
            return False
        required = _count_required(candidate)
        if spec.same_rack and required > 1:
            return False
        return (
            self._find_eligible(candidate, self._avoids_headroom(candidate)).count(spec.need)
            >= required
        )

    def _filter_approved(self, candidate: Candidate, offers: list[Offer]) -> list[Offer]:
        """Return the offers of executors for which the step holds an approval ticket."""
        if self._approvals is None:
            return []
        step = candidate.key
        return [
            offer
            for offer in offers
            if self._approvals.find_ticket(step, offer.state.instance) is not None
        ]

    def _request_approvals(self, candidate: Candidate) -> None:
        """Request approval for executors without a ticket or denial, the emptiest first."""
        if self._approvals is None or candidate.queue.approval is None:
            return
        step, spec = candidate.key, candidate.step.spec
        unknown = [
            offer
            for offer in self.offers.get(candidate.queue.pool, [])
            if not self._approvals.is_denied(step, offer.state.instance)
            and self._approvals.find_ticket(step, offer.state.instance) is None
            and (not spec.label or spec.label in offer.state.executor.labels)
        ]
        unknown.sort(key=lambda offer: (not offer.fits(spec.need), -offer.free.accelerators))
        count = min(
            MAX_EXECUTORS_PER_REQUEST, max(DEFAULT_EXECUTORS_PER_REQUEST, len(candidate.tasks))
        )
        chosen = tuple(offer.state.instance for offer in unknown[:count])
        if chosen:
            self.plan.approval_requests.append(
                ApprovalRequest(step, chosen, candidate.queue.approval)
            )

    def _evict_best_effort(self, candidate: Candidate, missing: int) -> None:
        """Stop best-effort tasks on executors needed by serving tasks that may start there."""
        offers = [
            offer
            for offer in self._list_permitted(candidate)
            if self._spread.room(candidate, offer.state.id)
        ]
        for attempt in self._colocation.find_blocking(candidate.step.spec, offers, missing):
            if self._losses.may_disrupt(attempt):
                self._stop(attempt)

    def _find_eligible(self, candidate: Candidate, avoids_headroom: bool) -> Scope:
        """Return the executors that may run a step; steps with equal requirements share a scope."""
        spec, queue = candidate.step.spec, candidate.queue
        is_apart = spec.fills or spec.serves or queue.approval is not None
        if is_apart or candidate.allowed_executors is not None:
            return Scope(self._list_eligible(candidate, avoids_headroom))
        key = (queue.pool, spec.label, avoids_headroom)
        if key not in self._eligible_scopes:
            self._eligible_scopes[key] = Scope(self._list_eligible(candidate, avoids_headroom))
        return self._eligible_scopes[key]

    def _list_eligible(self, candidate: Candidate, avoids_headroom: bool) -> list[Offer]:
        offers = self._list_permitted(candidate)
        offers = self._colocation.filter_compatible(candidate.step.spec, offers)
        if avoids_headroom:
            headroom = self._find_headroom_executors()
            offers = [offer for offer in offers if offer.state.id not in headroom]
        return offers

    def _list_permitted(self, candidate: Candidate) -> list[Offer]:
        """Return the executors that a step may use, whatever runs there."""
        spec = candidate.step.spec
        offers = self.offers.get(candidate.queue.pool, [])
        if candidate.allowed_executors is not None:
            offers = [offer for offer in offers if offer.state.id in candidate.allowed_executors]
        if candidate.queue.approval is not None:
            offers = self._filter_approved(candidate, offers)
        if spec.label:
            offers = [offer for offer in offers if spec.label in offer.state.executor.labels]
        return offers

    def _avoids_headroom(self, candidate: Candidate) -> bool:
        """Whether a candidate must leave the headroom for urgent work free.

        A job with nothing running may use the headroom after a wait if it would otherwise be late,
        or while much of the pool is idle.
        """
        if candidate.queue.priority == URGENT or not self.policy.headroom:
            return False
        if candidate.queue.pool in self.room.demands and self._may_borrow(candidate):
            return False
        if self._has_runs(candidate.job) or candidate.waited_s(self.now) < HEADROOM_WAIT_S:
            return True
        is_due = self.now >= candidate.rank.latest_start - DUE_MARGIN_S
        return not (is_due or self._headroom.is_mostly_idle(candidate.queue.pool))

    def _has_runs(self, job: JobState) -> bool:
        """Whether anything of a job may run, apart from attempts at silent executors."""
        return job.has_attempts and any(
            self._states[attempt.executor].unresponsive_since is None
            for attempt in job.attempts()
            if attempt.executor in self._states
        )

    def _may_borrow(self, candidate: Candidate) -> bool:
        """Whether a candidate may use the capacity reserved for urgent work."""
        job, spec, queue = candidate.job, candidate.step.spec, candidate.queue
        length = self.learned.lengths.predict(
            job.spec.tenant, queue.name, spec.estimate_s, self.now
        )
        borrower = Borrower(
            length.high_s, 0.0 if job.has_attempts else candidate.waited_s(self.now)
        )
        decision = may_borrow(borrower, self.room.slack_s(queue.pool))
        if decision.is_lent:
            self._loans[candidate.key] = decision.reason
        return decision.is_lent

    def _note_loan(self, candidate: Candidate, placed: list[tuple[TaskState, Offer]]) -> None:
        """Record why a step starts on capacity reserved for urgent work, if it does."""
        reason = self._loans.get(candidate.key)
        if reason is None or not placed:
            return
        reserved = self._find_headroom_executors()
        if any(offer.state.id in reserved for _, offer in placed):
            self.plan.loans[candidate.key] = reason

    def _find_headroom_executors(self) -> frozenset[str]:
        if self._headroom_executors is None:
            used = self.urgent_in_use()
            self._headroom_executors = self._headroom.choose(used) | self.room.choose(used)
        return self._headroom_executors

    def describe_room(self) -> dict[str, RoomUse]:
        """Return what is reserved for urgent work, and lent of it, by pool with a forecast."""
        if self.room.demands:
            self._find_headroom_executors()
        return self.room.use

    def urgent_demand(self) -> dict[str, int]:
        """Return the accelerators that urgent work holds or waits for, by pool."""
        demand = self.urgent_in_use()
        for pool, missing in self._urgent_missing.items():
            demand[pool] = demand.get(pool, 0) + missing
        return demand

    def urgent_in_use(self) -> dict[str, int]:
        """Return the accelerators that urgent work holds, including this plan's starts, by pool."""
        used: dict[str, int] = {}
        for job in self.jobs:
            queue = self.desired.current_queue(job.spec)
            if queue.priority == URGENT:
                used[queue.pool] = used.get(queue.pool, 0) + job.accelerators_held
        for group in self.plan.groups:
            queue = self.desired.current_queue(group[0].job.spec)
            if queue.priority == URGENT:
                need = group[0].step.spec.need.accelerators * len(group)
                used[queue.pool] = used.get(queue.pool, 0) + need
        return used

    def _place_gang(
        self,
        candidate: Candidate,
        pinned: list[tuple[TaskState, Offer]],
        eligible: Scope,
        avoids_headroom: bool,
    ) -> list[tuple[TaskState, Offer]]:
        """Return the offers chosen for all members, including pinned ones, or an empty list."""
        unpinned = _without_pinned(candidate)
        if not unpinned.tasks:
            return pinned
        placed = self._gangs.place(unpinned, eligible, avoids_headroom)
        if not placed:
            self._release_all(candidate, pinned)
            return []
        return pinned + placed

    # Reasons why a step waits

    def _find_cause(self, candidate: Candidate, avoids_headroom: bool) -> WaitCause:
        """Return the constraint that keeps a step waiting although it would fit without it."""
        need, required = candidate.step.spec.need, _count_required(candidate)
        eligible = self._find_eligible(candidate, avoids_headroom)
        if eligible.count(need) >= required:
            return self._find_limiting_cause(candidate, eligible)
        if avoids_headroom and self._find_eligible(candidate, False).count(need) >= required:
            return WaitCause.HEADROOM
        if count_with_reserved(self._list_eligible(candidate, False), need) >= required:
            return WaitCause.RESERVED
        return self._find_exclusion_cause(candidate)

    def _find_limiting_cause(self, candidate: Candidate, eligible: Scope) -> WaitCause:
        """Return which of a step's own constraints excludes executors with enough free capacity."""
        spec, required = candidate.step.spec, _count_required(candidate)
        scopes = self._gangs.list_scopes(candidate, eligible)
        if not any(scope.count(spec.need) >= required for scope in scopes):
            return WaitCause.RACK
        avoided = self._gangs.list_avoided(candidate)
        others = [offer for offer in eligible.offers if offer.state.id not in avoided]
        if count_free(others, spec.need) < required:
            return WaitCause.AVOIDED
        return WaitCause.SPREAD if spec.spread_limit else WaitCause.ALLOCATED_TO_OTHERS

    def _find_exclusion_cause(self, candidate: Candidate) -> WaitCause:
        """Return why executors with enough free capacity are not eligible for a step."""
        spec, queue = candidate.step.spec, candidate.queue
        if candidate.allowed_executors is not None:
            return WaitCause.NO_RECORDED_EXECUTOR
        if queue.approval is not None:
            approved = replace(candidate, queue=replace(queue, approval=None))
            if _has_capacity(self._list_eligible(approved, False), candidate):
                return WaitCause.APPROVAL
        offers = self.offers.get(queue.pool, [])
        if spec.label:
            offers = [offer for offer in offers if spec.label in offer.state.executor.labels]
        compatible = self._colocation.filter_compatible(spec, offers)
        is_barred = _has_capacity(offers, candidate) and not _has_capacity(compatible, candidate)
        return WaitCause.COLOCATION if is_barred else WaitCause.ALLOCATED_TO_OTHERS

    # Placement of single tasks

    def _place_pinned(self, candidate: Candidate) -> list[tuple[TaskState, Offer]]:
        """Allocate capacity for pinned tasks on their executors, as far as they fit.

        An executor in backoff after failures still accepts them, as no other executor may run
        them.
        """
        placed: list[tuple[TaskState, Offer]] = []
        if not candidate.pins:
            return placed
        for task in candidate.tasks:
            name = candidate.pins.get(task.index, NOWHERE)
            offer = self._find_pinned_offer(candidate, name)
            if offer is None or not self._has_room(candidate, offer, task):
                continue
            self._allocate(candidate, offer, task)
            placed.append((task, offer))
        return placed

    def _has_room(self, candidate: Candidate, offer: Offer, task: TaskState | None = None) -> bool:
        """Whether a task of a step fits and its spread limit allows one more."""
        return offer.fits(candidate.step.spec.need) and bool(
            self._spread.room(candidate, offer.state.id, task)
        )

    def _allocate(self, candidate: Candidate, offer: Offer, task: TaskState) -> None:
        """Allocate capacity for one task of a step."""
        offer.allocate(candidate.step.spec.need)
        self._spread.add(candidate, offer.state.id, task)

    def _release_all(self, candidate: Candidate, placed: list[tuple[TaskState, Offer]]) -> None:
        """Release the capacity allocated for some tasks of a step."""
        for task, offer in placed:
            offer.release(candidate.step.spec.need)
            self._spread.remove(candidate, offer.state.id, task)

    def _find_pinned_offer(self, candidate: Candidate, name: str) -> Offer | None:
        """Return the offer of the executor a task is pinned to, None if it cannot accept it."""
        state, label = self._states.get(name), candidate.step.spec.label
        if state is None or not _accepts_pinned(state, self.now):
            return None
        if state.executor.pool != candidate.queue.pool:
            return None
        if label and label not in state.executor.labels:
            return None
        if candidate.allowed_executors is not None and name not in candidate.allowed_executors:
            return None
        if candidate.queue.approval is not None and (
            self._approvals is None
            or self._approvals.find_ticket(candidate.key, state.instance) is None
        ):
            return None
        offer = self._offer_by_executor.get(name) or self._pinned_offers.get(name)
        if offer is None:
            offer = self._pinned_offers[name] = Offer(state, state.free, state.projected_free())
        return offer

    def _place_single(
        self, candidate: Candidate, avoids_headroom: bool
    ) -> list[tuple[TaskState, Offer]]:
        pinned = self._place_pinned(candidate)
        unpinned = _without_pinned(candidate)
        has_stood = self._loans.get(candidate.key) is LendReason.STOOD
        if has_stood:
            left = max(0, STOOD_TASKS - self._lent_counts[candidate.key])
            unpinned = replace(unpinned, tasks=unpinned.tasks[:left])
        if not unpinned.tasks:
            return pinned
        placed = self._place_unpinned(unpinned, avoids_headroom)
        if has_stood:
            self._lent_counts[candidate.key] += len(placed)
        return pinned + placed

    def _place_unpinned(
        self, candidate: Candidate, avoids_headroom: bool
    ) -> list[tuple[TaskState, Offer]]:
        spec = candidate.step.spec
        exhausted_key = (
            candidate.queue.pool,
            spec.need,
            spec.label,
            avoids_headroom,
            spec.serves,
            spec.fills,
            candidate.key if candidate.queue.approval else None,
            candidate.allowed_executors,
        )
        if exhausted_key in self._exhausted:
            return []
        eligible = self._find_eligible(candidate, avoids_headroom)
        fitting = eligible.list_fitting(spec.need)
        if not fitting:
            self._exhausted.add(exhausted_key)
            return []
        if spec.data_rack:
            near = [offer for offer in fitting if offer.state.executor.rack == spec.data_rack]
            if near or not self._may_ignore_data_rack(candidate, eligible):
                fitting = near
        fitting = self._gangs.order_tasks(candidate, fitting)
        if candidate.step.has_suspects:
            return self._place_suspects(candidate, fitting)
        return self._place_first_fit(candidate, fitting, candidate.tasks)

    def _place_suspects(
        self, candidate: Candidate, offers: list[Offer]
    ) -> list[tuple[TaskState, Offer]]:
        """Place each task suspected of crashing executors alone, then the other tasks.

        Prefers executors without other recent starts, so that a crash can be attributed, and those
        where a crash would lose least work.
        """
        placed: list[tuple[TaskState, Offer]] = []

        def crash_risk(offer: Offer) -> tuple[bool, float]:
            return has_recent_start(offer.state, self.now), sum_work_at_risk(offer.state, self.now)

        by_crash_risk = sorted(offers, key=crash_risk)
        for task in [task for task in candidate.tasks if task.crashes]:
            found = self._place_first_fit(candidate, by_crash_risk, [task])
            for _, offer in found:
                offer.limit_to(NO_CAPACITY)
            placed += found
        return placed + self._place_first_fit(
            candidate, offers, [t for t in candidate.tasks if not t.crashes]
        )

    def _place_first_fit(
        self, candidate: Candidate, offers: list[Offer], tasks: list[TaskState]
    ) -> list[tuple[TaskState, Offer]]:
        """Allocate for each task the first offer that fits it."""
        placed = []
        first = 0
        for task in tasks:
            while first < len(offers) and not self._has_room(candidate, offers[first]):
                first += 1
            for offer in offers[first:]:
                if task.avoids(offer.state.id, self.now) or not self._has_room(candidate, offer):
                    continue
                self._allocate(candidate, offer, task)
                placed.append((task, offer))
                break
        return placed

    def _may_ignore_data_rack(self, candidate: Candidate, eligible: Scope) -> bool:
        if eligible.find_rack(candidate.step.spec.data_rack) is None:
            return True
        if candidate.waited_s(self.now) >= REMOTE_WAIT_S or not self.policy.wait_for_data:
            return True
        self._request_replan(REMOTE_WAIT_S - candidate.waited_s(self.now))
        return False

    def _request_replan(self, in_s: float) -> None:
        known = self.plan.replan_in_s
        self.plan.replan_in_s = in_s if known is None else min(known, in_s)

    # Preemption

    def _preempt_for_missing(
        self, candidate: Candidate, placed: list[tuple[TaskState, Offer]], eligible: Scope
    ) -> None:
        """Stop work for the tasks that found no room, for a pinned task only at its executor."""
        missing = len(candidate.tasks) - len(placed)
        if not candidate.step.spec.gang:
            found = {task.index for task, _ in placed}
            for index in candidate.pins.keys() - found:
                missing -= 1
                offer = self._find_pinned_offer(candidate, candidate.pins[index])
                if offer is not None:
                    self._preempt(candidate, 1, Scope([offer]))
        if missing:
            self._preempt(candidate, missing, eligible)

    def _preempt(self, candidate: Candidate, missing: int, eligible: Scope) -> None:
        """Place tasks on capacity that stops will free, stopping more attempts if needed."""
        spec = candidate.step.spec
        scopes = self._gangs.list_scopes(candidate, eligible) if spec.gang else [eligible]
        wait_s = None
        if candidate.queue.pool in self.room.demands:
            if self._is_past_use(candidate):
                return
            wait_s = self._find_end_wait_s(candidate)
        best: tuple[float, list[Attempt], list[Offer]] | None = None
        held = self._spread.list_held(candidate)
        for scope in scopes:
            max_cost = float("inf") if best is None else best[0]
            found = self._victims.find_victims(candidate, missing, scope, max_cost, wait_s, held)
            best = found or best
        if best is None:
            if spec.gang:
                self._request_replan(max(0.05, SPREAD_WAIT_S - candidate.waited_s(self.now)))
            return
        _, victims, chosen = best
        if candidate.queue.pool in self.room.demands:
            self._count_preemptions(candidate, victims)
        for attempt in victims:
            for member in self._losses.whole_gang(attempt):
                self._stop(member)
        for offer in chosen:
            offer.allocate(spec.need)
            self._spread.promise(candidate, offer.state.id)

    def _is_past_use(self, candidate: Candidate) -> bool:
        """Whether urgent work outside a guarantee can no longer end while it is useful."""
        _, last_useful = latest_starts(
            candidate.job, candidate.step, candidate.queue, self.now, self.wall_now
        )
        return last_useful < self.now and not candidate.guaranteed

    def _find_end_wait_s(self, candidate: Candidate) -> float | None:
        """Return within what time runs must end for urgent work to wait for them.

        The slack is at most that of a job of typical length, as a job's own estimate may be off.
        """
        waited_s = candidate.waited_s(self.now)
        typical_s = END_WAIT_SHARE * self.room.slack_s(candidate.queue.pool) - waited_s
        slack_s = min(candidate.rank.latest_start - self.now, typical_s)
        return find_end_wait_s(candidate.guaranteed, waited_s, slack_s, self._stop_s)

    def _count_preemptions(self, candidate: Candidate, victims: list[Attempt]) -> None:
        """Count a preemption of each victim's job, once in a plan however many attempts stop."""
        for name in sorted({victim.task.job for victim in victims}):
            job, is_open = self._jobs_by_id[name], not candidate.guaranteed
            job.preemptions += name not in self._preempted
            job.open_preemptions += is_open and name not in self._open_preempted
            self._preempted.add(name)
            if is_open:
                self._open_preempted.add(name)
            self.plan.preemptions.append(
                Preemption(name, candidate.job.spec.id, candidate.guaranteed, job.preemptions)
            )

    def _stop(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.STOPPING or id(attempt) in self._stopped:
            return
        self.plan.stops.append(attempt)
        self._stopped.add(id(attempt))
        offer = self._offer_by_executor.get(attempt.executor)
        if offer is not None:
            offer.add_pending_stop(attempt.need)


def _count_required(candidate: Candidate) -> int:
    """Return how many tasks of a step must fit before any of them starts."""
    return len(candidate.tasks) if candidate.step.spec.gang else 1


def _has_capacity(offers: Iterable[Offer], candidate: Candidate) -> bool:
    return count_free(offers, candidate.step.spec.need) >= _count_required(candidate)


def _accepts_pinned(state: ExecutorState, now: float) -> bool:
    """Whether an executor accepts tasks that may run on no other executor."""
    return state.find_refusal(now) in (None, WorkRefusal.RESTING)


def _without_pinned(candidate: Candidate) -> Candidate:
    """Return a candidate without its pinned tasks."""
    if not candidate.pins:
        return candidate
    tasks = [task for task in candidate.tasks if task.index not in candidate.pins]
    return replace(candidate, tasks=tasks, pins={})
