"""When a waiting step must end, and how long its tasks take."""

from __future__ import annotations

import dataclasses
import functools
import math
import statistics
import typing

from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import estimates

__all__ = (
    'ChainTimes',
    'Outlook',
    'chain_times_of',
    'largest_factor',
    'outlook_of',
)

_MS_PER_S: typing.Final = 1000.0
# Standard deviation of the logarithm of the task sizes within a step.
_SIZE_SPREAD: typing.Final = 0.5
# Blom's approximation of the expected largest of some normal values.
_BLOM: typing.Final = 0.375


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """The expected run times of a waiting step and the time left for it."""

    is_urgent: bool
    # The expected run time of a task on a usual worker.
    task_s: float
    # The same of the largest task of the step.
    largest_s: float
    # Time left for the step until its job misses its objective.
    in_time_s: float
    # Time left for the step until its job's result is useless.
    useful_s: float
    # How long the step's tasks have waited; infinite if none waits.
    waited_s: float

    def left_s(self, quickest: float) -> float:
        """Return the time left until the next limit that can be met.

        quickest is the slowdown of the quickest workers. If the objective
        can't be met even there, the limit is the end of usefulness, so that
        a job that is late anyway also uses slow workers and leaves quick ones
        to jobs that can be in time.
        """
        expected_s = self.largest_s * quickest
        if expected_s <= self.in_time_s:
            return self.in_time_s
        return self.useful_s if expected_s <= self.useful_s else math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ChainTimes:
    """The expected times of all steps of an occurrence, by step."""

    # Of a task on a usual worker, and of the largest task.
    task_s: list[float]
    largest_s: list[float]
    # From a step's end to the job's end.
    after_s: list[float]
    # From the job's acceptance or due time to its objective.
    objective_s: float


def chain_times_of(
    job: _state.JobProgress,
    occurrence: int,
    queue: cell.Queue,
    run_times: estimates.RunTimes,
) -> ChainTimes:
    """Return the expected times of the steps of an occurrence.

    The chain of the objective is made of the same expected sizes as the run
    times. With declared times, which are off by up to 1.9 and leave out that
    the largest task of a wide step decides, slack would be seen where there
    is none, or none at all.
    """
    steps = job.occurrence(occurrence)
    task_s = [run_times.task_s(queue.name, s.key, s.step) for s in steps]
    largest_s = [
        size_s * largest_factor(s.step.task_count)
        for size_s, s in zip(task_s, steps, strict=True)
    ]
    return ChainTimes(
        task_s,
        largest_s,
        _after_s(job.document.steps, largest_s),
        _chain_s(job.document.steps, largest_s) * queue.stretch
        + queue.allowance_s,
    )


def outlook_of(
    step: _state.StepProgress,
    queue: cell.Queue,
    times: ChainTimes,
    now_s: float,
    now_ms: float,
) -> Outlook:
    """Return the outlook of a step of a job that does not last."""
    document = step.job.document
    start_ms = float(document.accepted_ms)
    if document.occurrence_count:
        start_ms = float(document.due_ms(step.occurrence))
    gone_s = (now_ms - start_ms) / _MS_PER_S + times.after_s[step.number]
    return Outlook(
        queue.priority == 0,
        times.task_s[step.number],
        times.largest_s[step.number],
        times.objective_s - gone_s,
        times.objective_s * cell.USEFUL_FACTOR - gone_s,
        _waited_s(step, now_s),
    )


@functools.lru_cache(maxsize=1024)
def largest_factor(task_count: int) -> float:
    """Return the expected largest of some task sizes over their median."""
    probability = (task_count - _BLOM) / (task_count + 1 - 2 * _BLOM)
    return math.exp(
        _SIZE_SPREAD * statistics.NormalDist().inv_cdf(probability)
    )


def _waited_s(step: _state.StepProgress, now_s: float) -> float:
    """Return the longest wait of a task that has not been placed.

    Infinite if all have been: the step then looks for a worker for a copy,
    which has nothing to wait for.
    """
    since_s = min(
        (task.waiting_since_s for task in step.waiting()), default=None
    )
    if since_s is None:
        return math.inf
    if step.ready_s is None:
        return 0.0
    return now_s - max(step.ready_s, since_s)


def _chain_s(
    steps: tuple[document.Step, ...], largest_s: list[float]
) -> float:
    """Return the expected time of the critical path of all steps."""
    ends_s: list[float] = []
    for step, size_s in zip(steps, largest_s, strict=True):
        start_s = max((ends_s[number] for number in step.after), default=0.0)
        ends_s.append(start_s + size_s)
    return max(ends_s, default=0.0)


def _after_s(
    steps: tuple[document.Step, ...], largest_s: list[float]
) -> list[float]:
    """Return the expected time from each step's end to the job's end."""
    after_s = [0.0] * len(steps)
    for later in reversed(range(len(steps))):
        for earlier in steps[later].after:
            after_s[earlier] = max(
                after_s[earlier], largest_s[later] + after_s[later]
            )
    return after_s
