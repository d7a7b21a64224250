"""The waiting queue and the order in which its jobs are tried."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from sortedcontainers import SortedKeyList

from .job import Job, Shape

Key = tuple[float, ...]


@dataclass(frozen=True, slots=True)
class BucketKey:
    """Properties that decide whether and where a job can start; equal for all of a bucket."""

    customer: str
    team: str
    job_class: str
    shape: Shape
    reclaimable: bool
    repeatable: bool


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A waiting job with its arrival time and its sequence number in the queue."""

    job: Job
    arrival: float
    number: int


@dataclass(slots=True)
class Bucket:
    """Waiting jobs with equal keys, sorted by expected run time and by sequence number."""

    key: BucketKey
    by_length: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=lambda e: (e.job.expected_s, e.number))
    )
    by_arrival: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=lambda e: e.number))

    def add(self, entry: QueueEntry) -> None:
        """Add one entry."""
        self.by_length.add(entry)
        self.by_arrival.add(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove one entry."""
        self.by_length.remove(entry)
        self.by_arrival.remove(entry)


@dataclass(frozen=True, slots=True)
class ArrivalOrder:
    """Urgent classes first, then by arrival."""


@dataclass(frozen=True, slots=True)
class CompletionOrder:
    """Urgent jobs, then overdue, critical and normal ones, for early completion.

    Normal jobs are sorted by class weight over expected unit-seconds (Smith's rule),
    divided by the customer's current use of its share for fairness. Gangs of `large_units`
    or more precede critical jobs if `large_first`, else follow normal ones; the largest come
    first, which keeps the makespan short.
    """

    now: float
    starvation_s: float
    critical_s: float
    large_units: int
    large_first: bool
    share: Callable[[str], float]


Order = ArrivalOrder | CompletionOrder

RANK_URGENT, RANK_OVERDUE = 0.0, 1.0
RANK_LARGE_FIRST, RANK_CRITICAL, RANK_NORMAL, RANK_LARGE_LAST = 2.0, 3.0, 4.0, 5.0


Candidate = tuple[Key, QueueEntry]


@singledispatch
def choose_entries(order: object, bucket: Bucket) -> list[Candidate]:
    """Return the entries of a bucket to try, each with its sort key.

    Each of them is tried, even if another one can't start.
    """
    raise NotImplementedError(f"unsupported queue order {type(order).__name__}")


@choose_entries.register
def _(order: ArrivalOrder, bucket: Bucket) -> list[Candidate]:
    entry = bucket.by_arrival[0]
    rank = RANK_URGENT if entry.job.job_class.urgent else RANK_NORMAL
    return [((rank, entry.number), entry)]


@choose_entries.register
def _(order: CompletionOrder, bucket: Bucket) -> list[Candidate]:
    oldest = bucket.by_arrival[0]
    if oldest.job.job_class.urgent:
        return [((RANK_URGENT, oldest.number), oldest)]
    if order.now - oldest.arrival >= order.starvation_s:
        return [((RANK_OVERDUE, oldest.number), oldest)]
    longest = bucket.by_length[-1]
    if oldest.job.shape.total >= order.large_units:
        rank = RANK_LARGE_FIRST if order.large_first else RANK_LARGE_LAST
        job = longest.job
        return [((rank, -float(job.shape.total), -job.expected_s, longest.number), longest)]
    choices: list[Candidate] = []
    if longest.job.expected_s >= order.critical_s:
        key = (RANK_CRITICAL, -longest.job.expected_s, -longest.job.unit_seconds, longest.number)
        choices.append((key, longest))
    shortest = bucket.by_length[0]
    if not choices or shortest is not longest:
        choices.append((_priority_key(order, shortest), shortest))
    return choices


def _priority_key(order: CompletionOrder, entry: QueueEntry) -> Key:
    job = entry.job
    priority = job.job_class.weight / max(1e-9, job.unit_seconds)
    return (RANK_NORMAL, -priority / order.share(job.customer), entry.number)


class WaitingQueue:
    """All waiting jobs of one cell."""

    def __init__(self) -> None:
        self.buckets: dict[BucketKey, Bucket] = {}
        self.entries: dict[str, QueueEntry] = {}
        self.per_customer: dict[str, int] = {}
        self.per_class: dict[str, int] = {}
        self.unit_seconds: dict[str, float] = {}
        self._deadlines: SortedKeyList = SortedKeyList(key=lambda e: (_latest_start(e), e.number))
        self._number = 0

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, job: Job, now: float, *, arrival: float | None = None) -> None:
        """Add a job; `arrival` is the original arrival time of a job that is queued again."""
        assert job.id not in self.entries, f"{job.id} is already queued"
        self._number += 1
        entry = QueueEntry(job, now if arrival is None else arrival, self._number)
        self.entries[job.id] = entry
        self._bucket(job).add(entry)
        self._count(job, 1)
        if job.deadline is not None:
            self._deadlines.add(entry)

    def remove(self, job_id: str) -> QueueEntry | None:
        """Remove and return a job's entry, or None if it is not queued."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return None
        bucket = self._bucket(entry.job)
        bucket.remove(entry)
        if not bucket.by_length:
            del self.buckets[bucket.key]
        self._count(entry.job, -1)
        if entry.job.deadline is not None:
            self._deadlines.remove(entry)
        return entry

    def past_latest_start(self, now: float) -> list[Job]:
        """Return the jobs that are expected to miss their deadline even if started now."""
        found = []
        for entry in self._deadlines:
            if _latest_start(entry) >= now:
                break
            found.append(entry.job)
        return found

    def shapes(self) -> dict[Shape, int]:
        """Return the number of waiting jobs of each shape."""
        counts: dict[Shape, int] = {}
        for key, bucket in self.buckets.items():
            counts[key.shape] = counts.get(key.shape, 0) + len(bucket.by_length)
        return counts

    def _bucket(self, job: Job) -> Bucket:
        key = BucketKey(
            job.customer,
            job.team,
            job.job_class.name,
            job.shape,
            job.reclaimable,
            job.repeatable,
        )
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket(key)
        return bucket

    def _count(self, job: Job, sign: int) -> None:
        self.per_customer[job.customer] = self.per_customer.get(job.customer, 0) + sign
        self.per_class[job.job_class.name] = self.per_class.get(job.job_class.name, 0) + sign
        pool = job.shape.pool
        self.unit_seconds[pool] = self.unit_seconds.get(pool, 0.0) + sign * job.unit_seconds


def _latest_start(entry: QueueEntry) -> float:
    job = entry.job
    return float("inf") if job.deadline is None else job.deadline - job.expected_s


class QueueScan:
    """One iteration over the queue in order, skipping buckets whose entry could not start.

    Sort keys depend on the running gangs, so an entry whose key has become larger since it
    was pushed is pushed again instead of being yielded.
    """

    def __init__(
        self,
        queue: WaitingQueue,
        order: Order,
        include: Callable[[BucketKey], bool] = lambda key: True,
    ) -> None:
        self._queue = queue
        self._order = order
        self._heap: list[tuple[Key, int, BucketKey, int]] = []
        self._version: dict[BucketKey, int] = {}
        self._push_count = 0
        for key in queue.buckets:
            if include(key):
                self._push(key)

    def __iter__(self) -> Iterator[QueueEntry]:
        """Yield entries; a bucket continues only if its yielded entry has left the queue."""
        while self._heap:
            key, _, bucket_key, version = heapq.heappop(self._heap)
            if version != self._version[bucket_key]:
                continue
            entry = self._current_entry(bucket_key, key)
            if entry is None:
                continue
            yield entry
            if entry.job.id not in self._queue.entries:
                self._push(bucket_key)

    def _current_entry(self, bucket_key: BucketKey, key: Key) -> QueueEntry | None:
        """Return the entry pushed with `key`; if its key is larger now, push it again."""
        bucket = self._queue.buckets.get(bucket_key)
        if bucket is None:
            return None
        for current, entry in choose_entries(self._order, bucket):
            if current[0] != key[0]:
                continue
            if current <= key:
                return entry
            self._push_choice(current, bucket_key)
        return None

    def _push(self, bucket_key: BucketKey) -> None:
        bucket = self._queue.buckets.get(bucket_key)
        if bucket is None:
            return
        self._version[bucket_key] = self._version.get(bucket_key, 0) + 1
        for key, _ in choose_entries(self._order, bucket):
            self._push_choice(key, bucket_key)

    def _push_choice(self, key: Key, bucket_key: BucketKey) -> None:
        self._push_count += 1
        heapq.heappush(self._heap, (key, self._push_count, bucket_key, self._version[bucket_key]))
