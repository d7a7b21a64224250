"""The occurrences of a job that have a state in memory."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .model import JobSpec
from .record import StepProgress
from .step_state import StepState


class Occurrences:
    """Holds the steps of the occurrences of a job that are under way.

    Of the others it only knows whether they are done or have not been opened yet, a bit each. An
    occurrence is opened once it is due, or when anything is reported of it, and closed when all of
    its tasks are done and none has an attempt. A job without a schedule has one occurrence, which
    is always open.
    """

    def __init__(self, spec: JobSpec) -> None:
        self._spec = spec
        self._tasks_each = sum(step.count for step in spec.steps)
        self._open: dict[int, list[StepState]] = {}
        self._opened_mask = 0
        self._opened_count = 0
        self._steps: list[StepState] | None = None
        if spec.schedule is None:
            self._begin(0)

    @property
    def steps(self) -> list[StepState]:
        """The steps of the open occurrences, in their order; not to be modified."""
        if self._steps is None:
            self._steps = [step for number in sorted(self._open) for step in self._open[number]]
        return self._steps

    @property
    def is_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self._opened_count < self._spec.occurrences:
            return False
        return all(step.is_done for step in self.steps)

    @property
    def done_mask(self) -> int:
        """A bit for each occurrence that is closed."""
        mask = self._opened_mask
        for number in self._open:
            mask ^= 1 << number
        return mask

    @property
    def closed_count(self) -> int:
        """The number of closed occurrences."""
        return self._opened_count - len(self._open)

    def is_closed(self, number: int) -> bool:
        """Return whether an occurrence is done, so that its steps are not held any more."""
        return self._is_opened(number) and number not in self._open

    def count_tasks(self) -> int:
        """Return the number of tasks of all occurrences."""
        return self._tasks_each * self._spec.occurrences

    def list_open(self) -> Mapping[int, list[StepState]]:
        """Return the steps of the open occurrences by the occurrence's number."""
        return {number: self._open[number] for number in sorted(self._open)}

    def find(self, number: int) -> list[StepState]:
        """Return the steps of an occurrence, opening it unless it is closed."""
        steps = self._open.get(number)
        if steps is not None:
            return steps
        return self.peek(number) if self._is_opened(number) else self._begin(number)

    def peek(self, number: int) -> list[StepState]:
        """Return the steps of an occurrence for reading, without opening it."""
        steps = self._open.get(number)
        return self._make_steps(number, self._is_opened(number)) if steps is None else steps

    def find_next_due_at(self) -> float | None:
        """Return when the next unopened occurrence is due (Unix time in s), None if none is."""
        number = self._find_next()
        if number is None or self._spec.schedule is None:
            return None
        return self._spec.schedule.due_at(number)

    def open_next_due(self, wall_now: float) -> list[StepState]:
        """Open the next occurrence if it is due, and return its steps; none if there is none."""
        number, schedule = self._find_next(), self._spec.schedule
        if number is None or schedule is None or wall_now < schedule.due_at(number):
            return []
        return self._begin(number)

    def restore_all(self, saved: list[StepProgress]) -> None:
        """Restore the progress of all steps of all occurrences, in order."""
        each = len(self._spec.steps)
        done: list[int] = []
        for number in range(self._spec.occurrences):
            part = saved[number * each : (number + 1) * each]
            if self._is_whole(part):
                done.append(number)
            elif any(step != _NOTHING for step in part):
                self._restore(number, part)
        self.restore_done(sum_bits(done, self._spec.occurrences))

    def restore_some(self, numbers: Iterable[int], saved: list[StepProgress]) -> None:
        """Restore the progress of the steps of some occurrences."""
        each = len(self._spec.steps)
        for place, number in enumerate(numbers):
            self._restore(number, saved[place * each : (place + 1) * each])

    def restore_done(self, mask: int) -> None:
        """Restore which occurrences were done, a bit for each."""
        for number in [number for number in self._open if mask >> number & 1]:
            del self._open[number]
        self._opened_mask |= mask
        self._opened_count = self._opened_mask.bit_count()
        self._steps = None

    def list_progress(self) -> tuple[tuple[int, ...], list[StepProgress]]:
        """Return the open occurrences of which there is progress, and that of their steps."""
        numbers: list[int] = []
        found: list[StepProgress] = []
        for number, steps in self.list_open().items():
            part = [step.to_progress() for step in steps]
            if any(step != _NOTHING for step in part):
                numbers.append(number)
                found += part
        return tuple(numbers), found

    def list_all_progress(self) -> list[StepProgress]:
        """Return the progress of all steps of all occurrences, in order."""
        whole = [StepProgress((1 << step.count) - 1) for step in self._spec.steps]
        nothing = [_NOTHING] * len(whole)
        found: list[StepProgress] = []
        for number in range(self._spec.occurrences):
            steps = self._open.get(number)
            if steps is not None:
                found += [step.to_progress() for step in steps]
            else:
                found += whole if self._is_opened(number) else nothing
        return found

    def _restore(self, number: int, saved: list[StepProgress]) -> None:
        for step, progress in zip(self.find(number), saved, strict=True):
            step.restore(progress)

    def _is_whole(self, saved: list[StepProgress]) -> bool:
        """Return whether all tasks are done, and nothing else is of interest."""
        return self._spec.schedule is not None and all(
            progress.done == (1 << step.count) - 1
            for step, progress in zip(self._spec.steps, saved, strict=True)
        )

    def _is_opened(self, number: int) -> bool:
        return bool(self._opened_mask >> number & 1)

    def _find_next(self) -> int | None:
        """Return the first occurrence that was not opened, None if there is none."""
        if self._opened_count >= self._spec.occurrences:
            return None
        mask = self._opened_mask
        return (~mask & (mask + 1)).bit_length() - 1

    def _begin(self, number: int) -> list[StepState]:
        steps = self._make_steps(number, is_done=False)
        if self._spec.schedule is not None:
            for step in steps:
                step.on_done = self._close_if_done
        self._open[number] = steps
        self._opened_mask |= 1 << number
        self._opened_count += 1
        self._steps = None
        return steps

    def _make_steps(self, number: int, is_done: bool) -> list[StepState]:
        spec, first = self._spec, number * self._tasks_each
        due_at = spec.schedule.due_at(number) if spec.schedule else None
        steps: list[StepState] = []
        for place, step in enumerate(spec.steps):
            done_mask = (1 << step.count) - 1 if is_done else 0
            state = StepState(step, place, number, due_at, first, done_mask)
            state.tenant, state.queue = spec.tenant, spec.queue.name
            steps.append(state)
            first += step.count
        return steps

    def _close_if_done(self, step: StepState) -> None:
        steps = self._open.get(step.occurrence, ())
        if steps and all(other.is_done and not other.attempt_count for other in steps):
            del self._open[step.occurrence]
            self._steps = None


_NOTHING = StepProgress()


def sum_bits(numbers: Iterable[int], length: int) -> int:
    """Return a mask of at most `length` bits with those of some numbers set."""
    bits = bytearray((length + 7) // 8)
    for number in numbers:
        bits[number >> 3] |= 1 << (number & 7)
    return int.from_bytes(bits, "little")
