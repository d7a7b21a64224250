"""Replication of the configuration file, versioned by generation.

A file is stored as named sections. Applying a file appends the changed sections, with the
names of removed ones, as the next entry of a numbered log; the entry's number is the
generation. An apply is therefore atomic, the loser of two concurrent applies learns who
won, and hosts never return to an earlier generation.
"""

from __future__ import annotations

import base64
import json
import operator as operators
from dataclasses import dataclass, field

import trio
import xxhash

from .log import Appended, LogEntry, NumberedLog, Taken
from .store import MALFORMED, Absent, Malformed, Store, Unavailable, Unknown

Sections = dict[str, bytes]
SNAPSHOT_INTERVAL = 64
MAX_KEPT_APPLIES = 256


@dataclass(frozen=True, slots=True)
class Change:
    """The change from generation `number - 1` to `number`."""

    number: int
    apply_id: str
    operator: str
    digest: str
    changed: Sections
    removed: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the stored form."""
        changed = {n: base64.b85encode(v).decode() for n, v in sorted(self.changed.items())}
        content = {
            "number": self.number,
            "apply_id": self.apply_id,
            "operator": self.operator,
            "digest": self.digest,
            "changed": changed,
            "removed": list(self.removed),
        }
        return json.dumps(content, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Change | Malformed:
        """Decode the stored form."""
        try:
            content = json.loads(value)
            changed = _decode_sections(content.pop("changed"))
            removed = tuple(map(str, content.pop("removed")))
            number = operators.index(content.pop("number"))
            texts = {name: str(text) for name, text in content.items()}
            return cls(number=number, changed=changed, removed=removed, **texts)
        except MALFORMED as error:
            return Malformed(f"{error!r:.200}")


@dataclass(frozen=True, slots=True)
class Applied:
    """The file is in force as this generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another apply took this generation first; nothing of this one is in force."""

    generation: int
    apply_id: str
    operator: str


ApplyOutcome = Applied | Superseded | Unavailable | Unknown


def compute_digest(sections: Sections) -> str:
    """Return a digest over the names and contents of all sections."""
    state = xxhash.xxh3_128()
    for name in sorted(sections):
        state.update(name.encode())
        state.update(b"\0")
        state.update(sections[name])
    return state.hexdigest()


@dataclass(slots=True)
class _SectionState:
    content: bytes
    generation: int


@dataclass(slots=True)
class Configuration:
    """The configuration of one host; its generation only increases.

    `applies` maps recent apply ids to generations; `applies_by_generation` maps generations
    to apply ids and operators. `wake` is set and replaced each time a generation is adopted.
    """

    generation: int = 0
    digest: str = ""
    applies: dict[str, int] = field(default_factory=dict)
    applies_by_generation: dict[int, tuple[str, str]] = field(default_factory=dict)
    wake: trio.Event = field(default_factory=trio.Event)
    _sections: dict[str, _SectionState] = field(default_factory=dict)
    _removed: dict[str, int] = field(default_factory=dict)

    @property
    def sections(self) -> Sections:
        """The sections in force, by name."""
        return {name: state.content for name, state in self._sections.items()}

    def adopt(self, change: Change) -> bool:
        """Adopt the next generation; return False if `change` is not the next one."""
        if change.number != self.generation + 1:
            return False
        return self.adopt_delta(
            Delta(
                self.generation,
                change.number,
                change.digest,
                change.changed,
                change.removed,
                ((change.number, change.apply_id, change.operator),),
            )
        )

    def adopt_delta(self, delta: Delta) -> bool:
        """Adopt several generations at once; return False if `delta` does not apply."""
        if delta.base > self.generation or delta.generation <= self.generation:
            return False
        contents = self.sections
        for name in delta.removed:
            contents.pop(name, None)
        contents.update(delta.changed)
        if compute_digest(contents) != delta.digest:
            return False
        for name in delta.removed:
            self._sections.pop(name, None)
            self._removed[name] = delta.generation
        for name, content in delta.changed.items():
            self._sections[name] = _SectionState(content, delta.generation)
            self._removed.pop(name, None)
        self.generation = delta.generation
        self.digest = delta.digest
        self._record_applies(delta.applies)
        self.wake.set()
        self.wake = trio.Event()
        return True

    def delta_since(self, generation: int) -> Delta | None:
        """Return the delta from `generation` to this one, or None if there is none."""
        if generation >= self.generation:
            return None
        changed = {n: s.content for n, s in self._sections.items() if s.generation > generation}
        removed = tuple(sorted(n for n, g in self._removed.items() if g > generation))
        applies = tuple(
            (number, *winner)
            for number, winner in sorted(self.applies_by_generation.items())
            if number > generation
        )
        return Delta(generation, self.generation, self.digest, changed, removed, applies)

    def _record_applies(self, applies: tuple[tuple[int, str, str], ...]) -> None:
        for number, apply_id, operator in applies:
            self.applies[apply_id] = number
            self.applies_by_generation[number] = (apply_id, operator)
        for number in sorted(self.applies_by_generation)[:-MAX_KEPT_APPLIES]:
            self.applies.pop(self.applies_by_generation.pop(number)[0], None)


@dataclass(frozen=True, slots=True)
class Delta:
    """All changes after generation `base` up to `generation`."""

    base: int
    generation: int
    digest: str
    changed: Sections
    removed: tuple[str, ...]
    applies: tuple[tuple[int, str, str], ...] = ()

    def encode(self) -> bytes:
        """Return the encoded form for peers and snapshots."""
        changed = {n: base64.b85encode(v).decode() for n, v in sorted(self.changed.items())}
        content = [self.base, self.generation, self.digest, changed, self.removed, self.applies]
        return json.dumps(content, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Delta | Malformed:
        """Decode the form for peers and snapshots."""
        try:
            base, generation, digest, changed, removed, applies = json.loads(value)
            listed = tuple(
                (operators.index(n), str(apply_id), str(by)) for n, apply_id, by in applies
            )
            return cls(
                operators.index(base),
                operators.index(generation),
                str(digest),
                _decode_sections(changed),
                tuple(map(str, removed)),
                listed,
            )
        except MALFORMED as error:
            return Malformed(f"{error!r:.200}")


def _decode_sections(changed: dict[str, str]) -> Sections:
    """Decode sections; raises one of `MALFORMED`, also if a name can't be encoded again."""
    return {n.encode().decode(): base64.b85decode(v) for n, v in changed.items()}


class ConfigurationLog:
    """The log of generations in the store."""

    def __init__(self, store: Store) -> None:
        self._log = NumberedLog(store, "config")

    async def load(self, configuration: Configuration) -> bool:
        """Adopt all generations in the store; return False if the store is unavailable."""
        if configuration.generation == 0:
            contents = await self._log.read_all()
            if isinstance(contents, Unavailable):
                return False
            if contents.snapshot is not None:
                whole = Delta.decode(contents.snapshot)
                if isinstance(whole, Malformed):
                    return False
                configuration.adopt_delta(whole)
            return self._adopt_all(configuration, contents.entries)
        entries = await self._log.read_after(configuration.generation)
        if isinstance(entries, Unavailable):
            return False
        return self._adopt_all(configuration, entries)

    async def wait_for_next(self, configuration: Configuration, wait_s: float) -> bool:
        """Wait for the next generation and adopt it; return False if the store is unavailable."""
        found = await self._log.wait_for(configuration.generation + 1, wait_s)
        if isinstance(found, Unavailable):
            return False
        if isinstance(found, Absent):
            return True
        return _adopt(configuration, found.value)

    async def apply(
        self, configuration: Configuration, sections: Sections, apply_id: str, operator: str
    ) -> ApplyOutcome:
        """Apply a whole file as the generation after that of `configuration`.

        Idempotent by `apply_id`: an apply whose response was lost can be retried, and
        returns its original generation.
        """
        if apply_id in configuration.applies:
            return Applied(configuration.applies[apply_id])
        change = make_change(configuration, sections, apply_id, operator)
        outcome = await self._log.append(change.number, change.encode())
        if isinstance(outcome, Appended):
            configuration.adopt(change)
            await self._maybe_snapshot(configuration)
            return Applied(change.number)
        if isinstance(outcome, Taken):
            winner = Change.decode(outcome.entry.value)
            if isinstance(winner, Malformed):
                return Unavailable(f"generation {change.number} is malformed: {winner.reason}")
            configuration.adopt(winner)
            if winner.apply_id == apply_id:
                return Applied(winner.number)
            return Superseded(winner.number, winner.apply_id, winner.operator)
        return outcome

    async def _maybe_snapshot(self, configuration: Configuration) -> None:
        if configuration.generation % SNAPSHOT_INTERVAL == 0:
            whole = Delta(
                0,
                configuration.generation,
                configuration.digest,
                configuration.sections,
                (),
                tuple(
                    (n, *winner)
                    for n, winner in sorted(configuration.applies_by_generation.items())
                ),
            )
            await self._log.write_snapshot(configuration.generation, whole.encode())

    @staticmethod
    def _adopt_all(configuration: Configuration, entries: tuple[LogEntry, ...]) -> bool:
        return all(_adopt(configuration, entry.value) for entry in entries)


def _adopt(configuration: Configuration, value: bytes) -> bool:
    """Adopt a stored generation; return False if it is malformed or not the next one."""
    change = Change.decode(value)
    return isinstance(change, Change) and configuration.adopt(change)


def make_change(
    configuration: Configuration, sections: Sections, apply_id: str, operator: str
) -> Change:
    """Return the change from the current sections to `sections`."""
    current = configuration.sections
    changed = {name: value for name, value in sections.items() if current.get(name) != value}
    removed = tuple(sorted(set(current) - set(sections)))
    digest = compute_digest(sections)
    number = configuration.generation + 1
    return Change(number, apply_id, operator, digest, changed, removed)
