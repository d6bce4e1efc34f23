"""One occurrence of a job: its steps, and which of them are ready."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_scheduler import document

if typing.TYPE_CHECKING:
    from walnutpoint_scheduler import _state

__all__ = (
    'Occurrence',
    'successors_of',
)

# The steps that depend on each step, by its number.
Successors = tuple[tuple[int, ...], ...]


def successors_of(steps: tuple[document.Step, ...]) -> Successors:
    """Return the numbers of the steps that depend on each step."""
    successors: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in set(step.after):
            successors[earlier].append(number)
    return tuple(tuple(numbers) for numbers in successors)


class Occurrence:
    """The steps of one occurrence, of which only the ready ones are read.

    A step is ready once all steps that it depends on are done, and until it
    is done itself.
    """

    __slots__ = (
        '_blocker_counts',
        '_successors',
        '_undone_count',
        'ready',
        'steps',
    )

    def __init__(
        self, steps: tuple[_state.StepProgress, ...], successors: Successors
    ) -> None:
        self.steps = steps
        self.ready: dict[int, _state.StepProgress] = {}
        self._successors = successors
        self._undone_count = len(steps)
        # How many undone steps each step waits for.
        self._blocker_counts = [len(set(step.step.after)) for step in steps]
        for number, count in enumerate(self._blocker_counts):
            if not count:
                self.ready[number] = steps[number]

    @property
    def done(self) -> bool:
        """Return whether every step is done."""
        return not self._undone_count

    @property
    def has_runs(self) -> bool:
        """Return whether a run of one of its tasks has not ended."""
        return any(task.runs for step in self.steps for task in step.tasks)

    def finish_step(self, number: int) -> None:
        """Make the steps ready that waited for a step alone."""
        self._undone_count -= 1
        self.ready.pop(number, None)
        for successor in self._successors[number]:
            self._blocker_counts[successor] -= 1
            step = self.steps[successor]
            if not self._blocker_counts[successor] and not step.done:
                self.ready[successor] = step

    def next_steps(self) -> collections.abc.Iterator[_state.StepProgress]:
        """Yield the undone steps that depend on a ready one."""
        numbers = {n for ready in self.ready for n in self._successors[ready]}
        for number in sorted(numbers):
            if not self.steps[number].done:
                yield self.steps[number]
