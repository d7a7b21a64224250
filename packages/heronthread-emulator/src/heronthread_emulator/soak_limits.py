"""Steps with spread limits, labels and others to come after, and outages that split their tasks.

They are drawn by sources of their own, so that a seed without them plays as before.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import replace

import trio
from heronthread_dispatch.model import Resources, StepSpec
from heronthread_dispatch.record import JobRecord

from .executors import EmulatedExecutors, WorkSpec
from .site import CAPACITY, EmulatedSite

LIMITED_EXECUTORS = 10
LABELS = ("", "", "", "r0", "r1")
LIMITS = (0, 1, 1, 2)
WIDE_SHARE = 0.3
WIDE_COUNT = (11, 18)
"""More than there are executors: at one to each of them, some tasks wait."""
MOST_WIDE_S = 5.0
"""Wide steps take several such times, which has to end while a site settles."""
FOLLOWED_SHARE = 0.3
"""Of the jobs, those of two steps, the second of which comes after the first."""
FOLLOWING_COUNT = (1, 4)
FOLLOWING_S = (0.5, 2.0)
OUTAGES = (2, 8)
FAILING_S = 0.3
"""Longer than the tick by which executors work."""


class LimitedLoad:
    """The limits of one seed's jobs."""

    def __init__(self, executors: EmulatedExecutors, seed: int) -> None:
        self.executors = executors
        self.random = random.Random(f"limits {seed}")

    def limit(self, record: JobRecord) -> JobRecord:
        """Return a job with limits, and let the executors know what its steps do."""
        spec = record.spec
        first, is_wide = spec.steps[0], self.random.random() < WIDE_SHARE
        is_wide &= not first.gang and first.estimate_s <= MOST_WIDE_S
        steps = [self._widen(first) if is_wide else self._limit(first)]
        is_followed = self.random.random() < FOLLOWED_SHARE
        count, work_s = self.random.randint(*FOLLOWING_COUNT), self.random.uniform(*FOLLOWING_S)
        if is_followed:
            following = StepSpec(count, Resources(1000, 1000, 1), work_s, after=(0,))
            steps.append(self._limit(following))
        self.executors.specs[spec.id] = {
            number: WorkSpec(step.need, step.estimate_s, step.count if step.gang else 1)
            for number, step in enumerate(steps)
        }
        return replace(record, spec=replace(spec, steps=tuple(steps)))

    def _widen(self, step: StepSpec) -> StepSpec:
        return replace(step, count=self.random.randint(*WIDE_COUNT), spread_limit=1)

    def _limit(self, step: StepSpec) -> StepSpec:
        """Return a step with limits; without one executor the site can hold all its tasks."""
        label, limit = self.random.choice(LABELS), self.random.choice(LIMITS)
        executors = (LIMITED_EXECUTORS // 2 if label else LIMITED_EXECUTORS) - 1
        fits = CAPACITY.accelerators // step.need.accelerators
        count = min(step.count, executors * min(fits, limit or fits))
        return replace(step, count=count, label=label, spread_limit=limit)


class FailingOutages:
    """Outages of the store in which runs fail at many executors, and start again elsewhere."""

    def __init__(self, site: EmulatedSite, seed: int, only: Collection[str] = ()) -> None:
        self.site = site
        self.random = random.Random(f"failing outages {seed}")
        self.is_drawn = not only or "store_down_beside_failures" in only
        self.count = 0

    async def play(self, until: float) -> None:
        """Have some outages."""
        for _ in range(self.random.randint(*OUTAGES)):
            await trio.sleep(self.random.uniform(1.0, 4.0))
            if trio.current_time() >= until:
                return
            self.count += 1
            await self._fail()

    async def _fail(self) -> None:
        names = await self.site.wait_for_living()
        failing = self.random.sample(names, self.random.randint((len(names) + 1) // 2, len(names)))
        places = [self.site.executors.by_id[name] for name in failing]
        self.site.store.is_down = True
        await trio.sleep(self.random.uniform(0.3, 1.0))
        for place in places:
            place.fails_all = True
        await trio.sleep(FAILING_S)
        for place in places:
            place.fails_all = False
        await trio.sleep(self.random.uniform(1.0, 4.0))
        self.site.store.is_down = False
