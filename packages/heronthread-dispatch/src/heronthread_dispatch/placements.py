"""Tracks where runs of a job may be, as recorded in the store for the next owner.

A start is sent only to an executor that the store lists for its task. So a new owner knows which
tasks may be at an unresponsive executor, and can start all others at once. Nothing can be recorded
during a store outage, so waiting tasks have some executors recorded in advance.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .model import PreassignmentEpoch, UnresolvedStart
from .task_masks import ANY, TaskMasks, find_mask, includes, intersect, keep, subtract, unite


@dataclass(slots=True)
class JobPlacements:
    """The executors at which runs of one job may be, started by this owner or by earlier ones.

    - `spare`: executors recorded in advance for waiting tasks.
    - `left`: executors of runs that ended since the last write. They are recorded once more, so
      that a write that fails at the start of a store outage removes no executor.
    - `earlier`: executors recorded by earlier owners, where a new instance may still carry out a
      start.
    - `late`: executors recorded while a start of any owner may be carried out late.
    - `inherited`: executors recorded by earlier owners that have not reported yet; None if runs of
      earlier owners may be anywhere.
    - `named`: what the store has, None if it has nothing. `in_flight`: what an unanswered write
      has.
    - `starts`: starts that may be unanswered, None where no other instance can carry them out.
    - `starts_left_s`: for how long `starts` may be carried out, None if one may still be sent.
    - `runs_left_s`: for how long their runs may go on, None as for `starts_left_s`.
    - `has_time_limit`: whether the store may have a value of `starts_left_s`.
    - `recorded_starts`: the starts that the store certainly has. The next owner restarts their
      tasks only where the earlier start is refused.
    - `lists_starts`: whether earlier owners recorded their starts.
    - `epoch`: the epoch of what is recorded in advance from now on, None if that counts as used.
    - `preassigned`: what the store may have in advance alone, with `preassigned_epoch` or an
      earlier one of the same owner. `inherited_preassigned` is the part of `inherited` that an
      earlier owner recorded in advance, with `inherited_epoch`.
    """

    spare: frozenset[str] = frozenset()
    left: TaskMasks = field(default_factory=dict)
    earlier: TaskMasks = field(default_factory=dict)
    late: TaskMasks = field(default_factory=dict)
    inherited: TaskMasks | None = field(default_factory=dict)
    named: TaskMasks | None = None
    in_flight: TaskMasks | None = None
    lists_starts: bool = False
    starts: frozenset[UnresolvedStart] | None = None
    starts_left_s: float | None = None
    runs_left_s: float | None = None
    has_time_limit: bool = False
    recorded_starts: frozenset[UnresolvedStart] = frozenset()
    epoch: PreassignmentEpoch | None = None
    preassigned: TaskMasks = field(default_factory=dict)
    preassigned_epoch: PreassignmentEpoch | None = None
    inherited_preassigned: TaskMasks = field(default_factory=dict)
    inherited_epoch: PreassignmentEpoch | None = None
    _left_in_flight: TaskMasks = field(default_factory=dict)

    def covers(self, wanted: TaskMasks) -> bool:
        """Return whether the store lists the executors for the tasks, even if a write fails."""
        return self.named is not None and includes(self.list_covered(), wanted)

    def covers_starts(self, starts: Collection[UnresolvedStart]) -> bool:
        """Return whether the store has these starts, even if a write fails.

        False if the store limits the time of its starts: a start that is sent now may be carried
        out later than that, and the next owner would restart its task too early.
        """
        if not starts:
            return True
        return not self.has_time_limit and self.recorded_starts.issuperset(starts)

    def has_recorded(self, wanted: TaskMasks, starts: Collection[UnresolvedStart]) -> bool:
        """Return whether the store has the starts of tasks and their executors, as in use."""
        is_named = self.covers(wanted) and not self.is_preassigned(wanted)
        return is_named and self.covers_starts(starts)

    def list_covered(self) -> TaskMasks:
        """Return what the store lists for certain, whether a write in flight is applied or not."""
        named = self.named or {}
        return named if self.in_flight is None else intersect(named, self.in_flight)

    def is_preassigned(self, wanted: TaskMasks) -> bool:
        """Return whether the store may have any of the tasks at their executors in advance only."""
        return any(mask & self.preassigned.get(name, 0) for name, mask in wanted.items())

    def begin_write(
        self,
        names: TaskMasks | None,
        preassigned: TaskMasks | None = None,
        epoch: PreassignmentEpoch | None = None,
    ) -> None:
        """Record that a write is sent; an earlier one without an answer may still be applied."""
        if preassigned:
            self.preassigned = unite(self.preassigned, preassigned)
            self.preassigned_epoch = epoch
        self.has_time_limit |= self.starts_left_s is not None
        names = names or {}
        self.in_flight = names if self.in_flight is None else intersect(self.in_flight, names)
        self.recorded_starts &= self.starts or frozenset()
        self._left_in_flight = self.left

    def end_write(
        self,
        names: TaskMasks | None,
        starts: frozenset[UnresolvedStart] | None = None,
        starts_left_s: float | None = None,
        preassigned: TaskMasks | None = None,
    ) -> None:
        """Record that the store has the last write; earlier ones can't be applied any more."""
        self.preassigned = preassigned or {}
        self.has_time_limit = starts_left_s is not None
        self.named, self.in_flight = names, None
        self.recorded_starts = starts or frozenset()
        self.left = subtract(self.left, self._left_in_flight)

    def restore(
        self,
        named: TaskMasks | None,
        starts: frozenset[UnresolvedStart] | None = None,
        preassigned: TaskMasks | None = None,
        epoch: PreassignmentEpoch | None = None,
    ) -> None:
        """Restore what the store lists."""
        self.preassigned = self.inherited_preassigned = preassigned or {}
        self.preassigned_epoch = self.inherited_epoch = epoch
        self.starts = starts
        self.lists_starts = starts is not None
        self.has_time_limit = bool(starts)
        self.named = self.inherited = named
        # The unresolved starts are listed one by one in this case.
        self.earlier = {} if self.lists_starts or named is None else named

    def drop_unused(self) -> None:
        """Remove what the store has in advance, as earlier owners started nothing by it."""
        if self.inherited is not None:
            self.inherited = subtract(self.inherited, self.inherited_preassigned)
        self.earlier = subtract(self.earlier, self.inherited_preassigned)

    def find_uncertain(self, silent: Collection[str], uncertain: Collection[str]) -> int:
        """Return the tasks of which an earlier owner's run may be at an unresponsive executor.

        Includes tasks with an unlisted start that may yet be executed at an `uncertain` executor.
        """
        if self.inherited is None:
            return ANY
        begun = find_mask(self.inherited, silent)
        return begun if self.lists_starts else begun | find_mask(self.earlier, uncertain)

    def names_others(self, silent: Collection[str]) -> bool:
        """Return whether the store lists executors other than unresponsive, spare and late ones."""
        named = (self.named or {}).keys()
        return not named <= {*silent, *self.spare, *self.late}

    def drop_resolved(self, silent: Collection[str]) -> None:
        """Remove inherited executors other than these, which have not reported."""
        if not silent:
            self.inherited = {}
        elif self.inherited:
            self.inherited = keep(self.inherited, silent)

    def add_left(self, executor: str, mask: int) -> None:
        """Record that a run of some tasks has ended at an executor."""
        self.left = unite(self.left, {executor: mask})

    def list_to_record(self, now_at: Mapping[str, int]) -> TaskMasks | None:
        """Return what to record, in addition to the executors of current attempts."""
        if self.inherited is None:
            return None
        return unite(self.inherited, now_at, self.left, self.late)
