"""How the members of a gang's newest run have ended, as reports list it."""

from __future__ import annotations

from dataclasses import dataclass

from .executor_link import EndKind


@dataclass(frozen=True, slots=True)
class UnlistedRun:
    """A run taken as over at an executor that may list its end until a time on trio's clock."""

    run: int
    executor: str
    until: float


@dataclass(slots=True)
class GangEnds:
    """The ends listed of the newest run of a gang of which any was listed.

    `broken` are the members that ended because another one had. `has_other_cause`: a listed end of
    another kind, or a stop, may be why they ended. `unlisted` are the runs that were taken as over
    before all their ends were listed.
    """

    run: int = 0
    broken: frozenset[int] = frozenset()
    has_other_cause: bool = False
    unlisted: tuple[UnlistedRun, ...] = ()

    def begin(self, run: int, *, is_stopping: bool) -> None:
        """Begin to note a run; `is_stopping`: a stop of it was requested before its first end."""
        self.run, self.broken, self.has_other_cause = run, frozenset(), is_stopping

    def void(self, run: int) -> None:
        """Record that the ends of a run may have another cause than a member's first end."""
        if run > self.run:
            self.run, self.broken = run, frozenset()
        self.has_other_cause |= run == self.run

    def note(self, member: int, kind: EndKind) -> None:
        """Note a listed end of the run."""
        if kind is EndKind.BROKEN:
            self.broken |= {member}
        else:
            self.has_other_cause = True

    def list_unlisted(self, now: float) -> tuple[UnlistedRun, ...]:
        """Return the runs taken as over of which a failure may yet be listed."""
        if self.unlisted:
            self.unlisted = tuple(run for run in self.unlisted if run.until > now)
        return self.unlisted
