"""Decides which tasks start on which executors and which attempts urgent work preempts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from heronthread_dispatch.approval import (
    DEFAULT_EXECUTORS_PER_REQUEST,
    MAX_EXECUTORS_PER_REQUEST,
    ApprovalRequest,
    Approvals,
)
from heronthread_dispatch.colocation import Colocation
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.model import URGENT, DesiredState, Queue, TaskKey
from heronthread_dispatch.plan import Candidate, Plan, Start
from heronthread_dispatch.policy import DEFAULT_POLICY, Policy
from heronthread_dispatch.progress import JobState, latest_starts
from heronthread_dispatch.step_rank import StepRank
from heronthread_dispatch.step_state import Attempt, Phase, StepState, TaskState
from heronthread_dispatch.task_masks import find_executors
from heronthread_dispatch.victim_selection import ENDS_SOON_S

from .gangs import SPREAD_WAIT_S, GangPlacer
from .guarantee import find_guaranteed
from .headroom import Headroom
from .offers import Offer, count_fits
from .victim_selection import VictimSelector

REMOTE_WAIT_S = 1.2
HEADROOM_WAIT_S = 1.5
DUE_MARGIN_S = 1.0
DEFAULT_STOP_S = 0.5


class Planner:
    """Makes one scheduling plan for one pool of executors."""

    def __init__(
        self,
        jobs: Iterable[JobState],
        executors: Iterable[ExecutorState],
        desired: DesiredState,
        now: float,
        wall_now: float,
        urgent_peaks: dict[str, int] | None = None,
        may_run: Callable[[TaskKey], bool] = lambda task: False,
        approvals: Approvals | None = None,
        policy: Policy = DEFAULT_POLICY,
        stop_s: float = DEFAULT_STOP_S,
        can_write_store: bool = True,
        pins: Mapping[TaskKey, str] | None = None,
    ) -> None:
        self._pins = pins or {}
        assert not any(self._pins.values()), "pins to an executor are tried in test_planner"
        self._can_write_store = can_write_store
        self.policy = policy
        self.jobs = list(jobs)
        self.desired = desired
        self._may_run = may_run
        self.now = now
        self.wall_now = wall_now
        self.by_id = {state.id: state for state in executors}
        self.offers: dict[str, list[Offer]] = {}
        self._offer_by_executor: dict[str, Offer] = {}
        for state in self.by_id.values():
            if state.accepts_work(now):
                offer = Offer(state, state.free, state.projected_free())
                self.offers.setdefault(state.executor.pool, []).append(offer)
                self._offer_by_executor[state.id] = offer
        self.plan = Plan()
        self.guaranteed = find_guaranteed(self.jobs, desired, wall_now)
        self._exhausted: set[tuple[object, ...]] = set()
        self._headroom = Headroom(self.offers, urgent_peaks or {}, self.by_id.values())
        self._gangs = GangPlacer(now, policy, self._avoids_headroom, self._headroom.is_mostly_idle)
        self._headroom_executors: frozenset[str] | None = None
        self._urgent_missing: dict[str, int] = {}
        self._blocks_others: dict[str, bool] = {}
        self._waiting: list[Candidate] = []
        self._colocation = Colocation(self.jobs)
        self._victims = VictimSelector(
            self.jobs,
            desired,
            self.guaranteed,
            now,
            self.plan.stops,
            max(stop_s, ENDS_SOON_S) if policy.wait_for_ends else stop_s,
        )
        self._approvals = approvals

    def make(self) -> Plan:
        """Return the tasks to start and the attempts to stop now."""
        self._waiting = sorted(self._candidates(), key=lambda c: c.rank.sort_key)
        while self._waiting:
            self._plan_step(self._waiting.pop(0))
        return self.plan

    def _candidates(self) -> Iterable[Candidate]:
        for job in self.jobs:
            if not job.is_active:
                continue
            queue = self.desired.current_queue(job.spec)
            for step in job.steps:
                if step.is_done:
                    continue
                if not job.is_ready(step, self.wall_now):
                    self._replan_when_due(step)
                    continue
                if step.ready_at is None:
                    step.ready_at = self.now
                tasks = step.open_tasks()
                if not tasks or (step.spec.gang and any(t.attempt for t in step.tasks)):
                    continue
                tasks = self._exclude_possibly_running(job, step, tasks)
                if not tasks or (step.spec.gang and len(tasks) < len(step.tasks)):
                    continue
                guaranteed = job.spec.id in self.guaranteed
                rank = self._rank(job, step, queue)
                if self._can_write_store:
                    yield Candidate(job, step, queue, tasks, guaranteed, rank)
                    continue
                covered = job.places.list_covered()
                allowed = [find_executors(covered, step.mask_of(t.index)) for t in tasks]
                for allowed_executors in dict.fromkeys(allowed):
                    part = [
                        t for t, own in zip(tasks, allowed, strict=True) if own == allowed_executors
                    ]
                    yield Candidate(job, step, queue, part, guaranteed, rank, allowed_executors)

    def _replan_when_due(self, step: StepState) -> None:
        """Request another plan for the time at which a step becomes due."""
        if step.due_at is not None and step.due_at > self.wall_now:
            self._request_replan(step.due_at - self.wall_now)

    def _exclude_possibly_running(
        self, job: JobState, step: StepState, tasks: list[TaskState]
    ) -> list[TaskState]:
        """Return the tasks without those that an earlier owner's run may still be executing."""
        keys = ((task, job.key_of(step, task)) for task in tasks)
        return [t for t, key in keys if key not in self._pins and not self._may_run(key)]

    def _rank(self, job: JobState, step: StepState, queue: Queue) -> StepRank:
        guaranteed = job.spec.id in self.guaranteed
        latest, last_useful = latest_starts(job, step, queue, self.now, self.wall_now)
        first = 0 if guaranteed else 1
        is_worthless = self.policy.hopeless_last and last_useful < self.now and not guaranteed
        if queue.priority == URGENT and not is_worthless:
            return StepRank((0, first, latest < self.now, queue.priority, latest), latest, True)
        if step.spec.fills:
            return StepRank((2, queue.priority, latest), latest, False)
        lateness = (latest < self.now) + (last_useful < self.now)
        due = last_useful if lateness else latest
        return StepRank((1, lateness, first, queue.priority, due), latest, False)

    def _plan_step(self, candidate: Candidate) -> None:
        offers = self._find_eligible(candidate)
        if candidate.step.spec.gang and len(candidate.tasks) > 1:
            placed = self._gangs.place(candidate, offers, self._count_by_executor(candidate))
        else:
            placed = self._place_single(candidate, offers)
        if placed:
            group = [
                Start(candidate.job, candidate.step, task, offer.state) for task, offer in placed
            ]
            self.plan.groups.append(group)
            self._colocation.record_placed(candidate.step.spec, (offer for _, offer in placed))
        missing = len(candidate.tasks) - len(placed)
        if missing and candidate.queue.approval is not None:
            self._request_approvals(candidate)
        if missing and candidate.step.spec.serves:
            self._evict_best_effort(candidate, missing, placed)
        if missing and candidate.queue.priority == URGENT:
            pool = candidate.queue.pool
            needed = missing * candidate.step.spec.need.accelerators
            self._urgent_missing[pool] = self._urgent_missing.get(pool, 0) + needed
            if candidate.rank.may_preempt:
                held = Counter(self._count_by_executor(candidate))
                if candidate.step.spec.spread_limit:
                    held += Counter(offer.state.id for _, offer in placed)
                self._preempt(candidate, candidate.tasks[-missing:], offers, held)
        elif (
            missing
            and candidate.step.spec.gang
            and not self._would_block_others(candidate.queue.pool)
        ):
            self._gangs.reserve(candidate, offers, self._count_by_executor(candidate))

    def _would_block_others(self, pool: str) -> bool:
        """Whether reserving capacity of a pool for gangs would block other steps from starting."""
        if pool not in self._blocks_others:
            self._blocks_others[pool] = self._headroom.is_mostly_idle(pool) and any(
                self._is_blocked_by_reservations(c) for c in self._waiting if c.queue.pool == pool
            )
        return self._blocks_others[pool]

    def _is_blocked_by_reservations(self, candidate: Candidate) -> bool:
        """Whether a candidate with nothing running has waited and would fit now in any rack."""
        spec = candidate.step.spec
        if self._has_runs(candidate) or candidate.waited_s(self.now) < HEADROOM_WAIT_S:
            return False
        wanted = len(candidate.tasks) if spec.gang else 1
        if spec.same_rack and wanted > 1:
            return False
        fitting = [offer for offer in self._find_eligible(candidate) if offer.fits(spec.need)]
        return sum(count_fits(spec.need, offer.free) for offer in fitting) >= wanted

    def _has_runs(self, candidate: Candidate) -> bool:
        """Whether a job has attempts at executors that are not silent."""
        states = (self.by_id.get(attempt.executor) for attempt in candidate.job.attempts())
        return any(state is not None and state.unresponsive_since is None for state in states)

    def _filter_approved(self, candidate: Candidate, offers: list[Offer]) -> list[Offer]:
        """Return the offers of executors for which the step holds an approval ticket."""
        if self._approvals is None:
            return []
        step = candidate.key
        return [
            r for r in offers if self._approvals.find_ticket(step, r.state.instance) is not None
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

    def _evict_best_effort(
        self, candidate: Candidate, missing: int, placed: list[tuple[TaskState, Offer]]
    ) -> None:
        """Stop best-effort tasks on executors needed by serving tasks."""
        spec, held = candidate.step.spec, Counter(self._count_by_executor(candidate))
        if spec.spread_limit:
            held += Counter(offer.state.id for _, offer in placed)
        offers = [
            offer
            for offer in self._list_permitted(candidate)
            if not spec.spread_limit or held[offer.state.id] < spec.spread_limit
        ]
        for attempt in self._colocation.find_blocking(spec, offers, missing):
            if self._victims.may_disrupt(attempt):
                self._stop(attempt)

    def _find_eligible(self, candidate: Candidate) -> list[Offer]:
        offers = self._list_permitted(candidate)
        offers = self._colocation.filter_compatible(candidate.step.spec, offers)
        if self._avoids_headroom(candidate):
            headroom = self._find_headroom_executors()
            offers = [r for r in offers if r.state.id not in headroom]
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
            offers = [r for r in offers if spec.label in r.state.executor.labels]
        return offers

    def _avoids_headroom(self, candidate: Candidate) -> bool:
        """Whether a candidate must leave the headroom for urgent work free.

        A job with nothing running may use the headroom after a wait if it would otherwise be late,
        or while much of the pool is idle.
        """
        if candidate.queue.priority == URGENT or not self.policy.headroom:
            return False
        if self._has_runs(candidate) or candidate.waited_s(self.now) < HEADROOM_WAIT_S:
            return True
        is_due = self.now >= candidate.rank.latest_start - DUE_MARGIN_S
        return not (is_due or self._headroom.is_mostly_idle(candidate.queue.pool))

    def _find_headroom_executors(self) -> frozenset[str]:
        if self._headroom_executors is None:
            self._headroom_executors = self._headroom.choose(self.urgent_in_use())
        return self._headroom_executors

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
                held = sum(attempt.need.accelerators for attempt in job.attempts())
                used[queue.pool] = used.get(queue.pool, 0) + held
        for group in self.plan.groups:
            queue = self.desired.current_queue(group[0].job.spec)
            if queue.priority == URGENT:
                need = group[0].step.spec.need.accelerators * len(group)
                used[queue.pool] = used.get(queue.pool, 0) + need
        return used

    # Placement of single tasks

    def _place_single(
        self, candidate: Candidate, offers: list[Offer]
    ) -> list[tuple[TaskState, Offer]]:
        spec = candidate.step.spec
        approval = candidate.key if candidate.queue.approval else None
        exhausted_key = (
            candidate.queue.pool,
            candidate.allowed_executors,
            spec.need,
            spec.label,
            self._avoids_headroom(candidate),
            spec.serves,
            spec.fills,
            approval,
        )
        if exhausted_key in self._exhausted:
            return []
        fitting = [r for r in offers if r.fits(spec.need)]
        if not fitting:
            self._exhausted.add(exhausted_key)
            return []
        if spec.data_rack:
            near = [r for r in fitting if r.state.executor.rack == spec.data_rack]
            if near or not self._may_ignore_data_rack(candidate, offers):
                fitting = near
        fitting.sort(key=self._gangs.packing_order)
        counts = self._count_by_executor(candidate)
        return self._place_first_fit(candidate, fitting, counts)

    def _place_first_fit(
        self, candidate: Candidate, fitting: list[Offer], counts: dict[str, int]
    ) -> list[tuple[TaskState, Offer]]:
        spec = candidate.step.spec
        placed = []
        for task in candidate.tasks:
            for offer in fitting:
                if not offer.fits(spec.need) or self._avoids(task, offer):
                    continue
                if spec.spread_limit and counts.get(offer.state.id, 0) >= spec.spread_limit:
                    continue
                offer.allocate(spec.need)
                counts[offer.state.id] = counts.get(offer.state.id, 0) + 1
                placed.append((task, offer))
                break
        return placed

    def _avoids(self, task: TaskState, offer: Offer) -> bool:
        until = task.avoid.get(offer.state.id)
        return until is not None and until > self.now

    def _count_by_executor(self, candidate: Candidate) -> dict[str, int]:
        """Return how many runs of a step with a spread limit each executor may hold."""
        counts: dict[str, int] = {}
        if candidate.step.spec.spread_limit:
            keys = {candidate.job.key_of(candidate.step, task) for task in candidate.step.tasks}
            for offer in self._offer_by_executor.values():
                runs = [*offer.state.attempts, *(task for task, _ in offer.state.orphans)]
                here = sum(task in keys for task in runs)
                if here:
                    counts[offer.state.id] = here
        return counts

    def _may_ignore_data_rack(self, candidate: Candidate, offers: list[Offer]) -> bool:
        rack = candidate.step.spec.data_rack
        if not any(r.state.executor.rack == rack for r in offers):
            return True
        if candidate.waited_s(self.now) >= REMOTE_WAIT_S or not self.policy.wait_for_data:
            return True
        self._request_replan(REMOTE_WAIT_S - candidate.waited_s(self.now))
        return False

    def _request_replan(self, in_s: float) -> None:
        known = self.plan.replan_in_s
        self.plan.replan_in_s = in_s if known is None else min(known, in_s)

    # Preemption

    def _preempt(
        self,
        candidate: Candidate,
        tasks: list[TaskState],
        offers: list[Offer],
        held: dict[str, int],
    ) -> None:
        """Place tasks on capacity that stops will free, stopping more attempts if needed."""
        spec = candidate.step.spec
        scopes = self._gangs.list_scopes(candidate, offers) if spec.gang else [offers]
        best: tuple[float, list[Attempt], list[Offer]] | None = None
        for scope in scopes:
            found = self._victims.find_victims(candidate, len(tasks), scope, held)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            if spec.gang:
                self._request_replan(max(0.05, SPREAD_WAIT_S - candidate.waited_s(self.now)))
            return
        _, victims, chosen = best
        for attempt in victims:
            for member in self._victims.whole_gang(attempt):
                self._stop(member)
        for offer in chosen:
            offer.allocate(spec.need)

    def _stop(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.STOPPING or attempt in self.plan.stops:
            return
        self.plan.stops.append(attempt)
        offer = self._offer_by_executor.get(attempt.executor)
        if offer is not None:
            offer.projected = offer.projected.plus(attempt.need)
