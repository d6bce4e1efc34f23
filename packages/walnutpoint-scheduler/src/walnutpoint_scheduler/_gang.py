"""Selects workers for all members of a gang at once."""

from __future__ import annotations

import collections.abc
import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import document

__all__ = ('pick',)

_NO_RESOURCES: typing.Final = resources.Resources()
_NO_WORKERS: typing.Final[dict[int, _worker.WorkerState]] = {}


class _CandidateSet(typing.NamedTuple):
    """Workers to select from, and whether to skip unhealthy or slow ones."""

    workers: list[_worker.WorkerState]
    only_healthy: bool


def pick(
    selector: _worker_selector.WorkerSelector,
    step: _state.StepProgress,
    permitted: _worker_selector.PermittedWorkers,
    *,
    is_starved: bool,
    isolated: collections.abc.Mapping[int, _worker.WorkerState] = _NO_WORKERS,
) -> list[_worker.WorkerState] | None:
    """Return a worker for each member, or None if not all of them fit.

    isolated maps the index of a member to the worker that it has to itself.

    Suspect and slow workers are skipped, as one failure costs all members. A
    starved gang uses them too: if no healthy worker may run it, nothing else
    may ever show that the others have recovered.
    """
    excluded = {worker.worker_id for worker in isolated.values()}
    count = len(step.tasks) - len(isolated)
    for candidates in _candidate_sets(selector, step, excluded, is_starved):
        picked = _pick(selector, step, permitted, count, candidates)
        if picked is not None:
            others = iter(picked)
            return [
                isolated.get(task.index) or next(others) for task in step.tasks
            ]
    return None


def _candidate_sets(
    selector: _worker_selector.WorkerSelector,
    step: _state.StepProgress,
    excluded: collections.abc.Set[str],
    is_starved: bool,
) -> list[_CandidateSet]:
    all_workers = [
        worker
        for worker in selector.feasible(step.step)
        if worker.worker_id not in excluded
    ]
    candidate_sets = [
        _CandidateSet(group, True)
        for workers in selector.choices.gang_sets(all_workers, step.key)
        for group in _rack_groups(step.step, workers)
    ]
    if is_starved:
        candidate_sets.append(_CandidateSet(all_workers, False))
    return candidate_sets


def _rack_groups(
    step: document.Step, workers: list[_worker.WorkerState]
) -> list[list[_worker.WorkerState]]:
    """Return workers by how well their racks suit a gang, then all."""
    racks: dict[str, list[_worker.WorkerState]] = {}
    for worker in workers:
        racks.setdefault(worker.listed.rack, []).append(worker)
    groups = []
    if step.rack_affinity in racks:
        groups.append(racks[step.rack_affinity])
    if step.same_rack:
        groups += sorted(racks.values(), key=len, reverse=True)
    groups.append(workers)
    return groups


def _pick(
    selector: _worker_selector.WorkerSelector,
    step: _state.StepProgress,
    permitted: _worker_selector.PermittedWorkers,
    count: int,
    candidates: _CandidateSet,
) -> list[_worker.WorkerState] | None:
    fits: list[tuple[_worker.WorkerState, int]] = []
    # Fullest first, so that whole workers stay free for tasks that need them.
    for worker in selector.in_packing_order(candidates.workers):
        if candidates.only_healthy and (
            selector.is_suspect(worker)
            or selector.is_slow(worker, is_urgent=True)
        ):
            continue
        if not selector.may_start(worker):
            continue
        if permitted is not None and worker.worker_id not in permitted:
            continue
        run_s = selector.choices.run_s(worker, step.step, step.key)
        free = selector.unreserved(worker, run_s)
        fits.append((worker, _advice_targets.tasks_that_fit(free, step.step)))
    if step.step.need == _NO_RESOURCES:
        # They fit anywhere, and all on one worker would share its idle time.
        even_count = math.ceil(count / max(1, len(fits)))
        spread = [(worker, min(fit, even_count)) for worker, fit in fits]
        picked = _assign(spread, count)
        if picked is not None:
            return picked
    return _assign(fits, count)


def _assign(
    fits: list[tuple[_worker.WorkerState, int]], count: int
) -> list[_worker.WorkerState] | None:
    """Return a worker for each of some tasks, or None if they don't fit.

    fits holds how many tasks each worker can take.
    """
    picked: list[_worker.WorkerState] = []
    for worker, fit in fits:
        picked += [worker] * min(fit, count - len(picked))
        if len(picked) >= count:
            return picked
    return None
