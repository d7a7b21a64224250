"""Collection of the answers of a gang's members into one answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import xxhash


class DropReason(StrEnum):
    """Reason for dropping an answer."""

    FOREIGN = "foreign"
    LATE = "late"
    DUPLICATE = "duplicate"
    PARTIAL = "partial"


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """An answer of one member of an attempt, as received."""

    attempt: str
    member: int
    content: str
    length: int
    digest: str


def compute_answer_digest(content: str) -> str:
    """Return the digest of an answer's content."""
    return xxhash.xxh3_64_hexdigest(content.encode())


def make_answer(attempt: str, member: int, content: str) -> MemberAnswer:
    """Return an answer with its length in bytes and its digest."""
    return MemberAnswer(
        attempt, member, content, len(content.encode()), compute_answer_digest(content)
    )


@dataclass(slots=True)
class AnswerCollector:
    """Collects the answers of the open attempts."""

    expected: dict[str, int] = field(default_factory=dict)
    answers: dict[str, dict[int, str]] = field(default_factory=dict)
    dropped: dict[DropReason, int] = field(default_factory=lambda: dict.fromkeys(DropReason, 0))
    ended: set[str] = field(default_factory=set)

    def open(self, attempt: str, members: int) -> None:
        """Start to collect the answers of an attempt with `members` members."""
        self.expected[attempt] = members
        self.answers.setdefault(attempt, {})

    def close(self, attempt: str) -> None:
        """Stop collecting for an attempt; further answers are dropped as late."""
        if self.expected.pop(attempt, None) is not None:
            self.answers.pop(attempt, None)
            self.ended.add(attempt)

    def add(self, answer: MemberAnswer) -> str | DropReason | None:
        """Add an answer; return the joined answers once those of all members have arrived."""
        drop = self._find_drop_reason(answer)
        if drop is not None:
            self.dropped[drop] += 1
            return drop
        received = self.answers[answer.attempt]
        received[answer.member] = answer.content
        if len(received) < self.expected[answer.attempt]:
            return None
        return "".join(received[member] for member in sorted(received))

    def _find_drop_reason(self, answer: MemberAnswer) -> DropReason | None:
        if answer.attempt in self.ended:
            return DropReason.LATE
        members = self.expected.get(answer.attempt)
        if members is None or not 0 <= answer.member < members:
            return DropReason.FOREIGN
        if answer.member in self.answers[answer.attempt]:
            return DropReason.DUPLICATE
        whole = len(answer.content.encode()) == answer.length
        if not whole or compute_answer_digest(answer.content) != answer.digest:
            return DropReason.PARTIAL
        return None
