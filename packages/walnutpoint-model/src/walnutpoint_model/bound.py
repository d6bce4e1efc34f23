"""The most that any scheduler could give for a load."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import resources
from walnutpoint_model import load
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'credit',
    'upper_bound',
)

# A job that ends within three times its objective still counts for this.
_LATE_FACTOR: typing.Final = 3.0
_LATE_WORTH: typing.Final = 0.2
_MS: typing.Final = 1000.0
_RESOURCES: typing.Final[
    tuple[collections.abc.Callable[[resources.Resources], int], ...]
] = (
    lambda a: a.cpu_millicores,
    lambda a: a.memory_mb,
    lambda a: a.accelerators,
)


def credit(took_ms: float, objective_ms: float) -> float:
    """Return what a job counts for that took some time."""
    if took_ms <= objective_ms:
        return 1.0
    return _LATE_WORTH if took_ms <= _LATE_FACTOR * objective_ms else 0.0


def upper_bound(wanted: load.LoadSettings, drawn: load.Load) -> float:
    """Return a worth that no scheduler exceeds, with all knowledge.

    It is relaxed: no job ends sooner than its chain of true run times, none
    is accepted or shown as done while the store is away, and no resource
    gives more than its sum over the time that jobs have. Packing, advice and
    the ends of single workers are left out, so that it may be out of reach.
    """
    if not drawn.jobs:
        return 1.0
    by_chain = sum(
        credit(_shortest_ms(wanted, drawn, job), _objective_ms(drawn, job))
        for job in drawn.jobs.values()
        if drawn.tenancy.owed[job.job_id]
    )
    fitting = min(_fitting(wanted, drawn, pick) for pick in _RESOURCES)
    count = sum(drawn.tenancy.owed.values())
    fitting = min(fitting, count)
    by_room = fitting + _LATE_WORTH * (count - fitting)
    return min(by_chain, by_room) / count


def _objective_ms(drawn: load.Load, job: document.Job) -> float:
    kind = drawn.accepted[job.job_id]
    chain_s = drawn.chains_s[job.job_id]
    return _MS * (chain_s * kind.stretch + kind.allowance_s)


def _shortest_ms(
    wanted: load.LoadSettings, drawn: load.Load, job: document.Job
) -> float:
    """Return the shortest time from the first try to the shown end."""
    began_ms = float(job.accepted_ms)
    end_ms = began_ms + drawn.chains_s[job.job_id] * _MS
    if wanted.outage_at_s is None:
        return end_ms - began_ms
    away_ms = drawn.began_ms + wanted.outage_at_s * _MS
    back_ms = away_ms + wanted.outage_s * _MS
    if away_ms <= began_ms < back_ms:
        if began_ms + wanted.patience_s * _MS < back_ms:
            # Its caller has given up before it can be stored.
            return float('inf')
        end_ms += back_ms - began_ms
    elif began_ms < away_ms <= end_ms < back_ms:
        end_ms = back_ms
    return end_ms - began_ms


def _fitting(
    wanted: load.LoadSettings,
    drawn: load.Load,
    pick: collections.abc.Callable[[resources.Resources], int],
) -> int:
    """Return how many jobs a resource is enough for, the smallest first."""
    whole = resources.Resources(
        wanted.worker_millicores,
        wanted.worker_memory_mb,
        wanted.worker_accelerators,
    )
    longest_ms = max(_objective_ms(drawn, job) for job in drawn.jobs.values())
    left = (
        wanted.workers * pick(whole) * (wanted.duration_s + longest_ms / _MS)
    )
    works = sorted(
        sum(
            pick(step.need)
            * step.task_count
            * drawn.length_s(_first_task(job, number))
            for number, step in enumerate(job.steps)
        )
        for job in drawn.jobs.values()
    )
    count = 0
    for work in works:
        left -= work
        if left < 0:
            break
        count += 1
    return count


def _first_task(job: document.Job, step: int) -> ports.TaskName:
    return ports.TaskName(job.job_id, 0, step, 0)
