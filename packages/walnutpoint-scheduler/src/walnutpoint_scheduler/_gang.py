"""The choice of workers for all members of a gang at once."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import _choice
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state

__all__ = ('pick',)


class _Try(typing.NamedTuple):
    """Workers to choose among, and whether doubted ones are left out."""

    workers: list[_roster.WorkerState]
    only_sound: bool


def pick(
    chooser: _choice.Chooser,
    step: _state.StepProgress,
    permitted: _choice.Permitted,
    *,
    is_urgent: bool,
) -> list[_roster.WorkerState] | None:
    """Return a worker for each member, or None without room for all.

    One failure costs all members, so that doubted workers are left out. A
    gang that has waited takes them too: where no sound worker may run it,
    nothing else may ever prove the others sound.
    """
    for tried in _tries(chooser, step, is_urgent):
        picked = _pick(chooser, step, permitted, tried)
        if picked is not None:
            return picked
    return None


def _tries(
    chooser: _choice.Chooser, step: _state.StepProgress, is_urgent: bool
) -> list[_Try]:
    everyone = chooser.able(step.step)
    racks: dict[str, list[_roster.WorkerState]] = {}
    for worker in everyone:
        racks.setdefault(worker.listed.rack, []).append(worker)
    groups = []
    if step.step.rack_affinity in racks:
        groups.append(racks[step.step.rack_affinity])
    if step.step.same_rack:
        groups += sorted(racks.values(), key=len, reverse=True)
    groups.append(everyone)
    tries = [_Try(group, True) for group in groups]
    if is_urgent:
        tries.append(_Try(everyone, False))
    return tries


def _pick(
    chooser: _choice.Chooser,
    step: _state.StepProgress,
    permitted: _choice.Permitted,
    tried: _Try,
) -> list[_roster.WorkerState] | None:
    picked: list[_roster.WorkerState] = []
    # The fullest first: whole workers stay open for those who need them.
    for worker in chooser.fullest(tried.workers):
        if tried.only_sound and (
            chooser.is_suspect(worker)
            or chooser.is_slow(worker, is_urgent=True)
        ):
            continue
        if not chooser.may_start(worker):
            continue
        if permitted is not None and worker.worker_id not in permitted:
            continue
        free = chooser.free(worker, step.step.expected_s)
        count = free.times(step.step.need)
        if step.step.per_worker_max:
            count = min(count, step.step.per_worker_max)
        picked += [worker] * count
        if len(picked) >= len(step.tasks):
            return picked[: len(step.tasks)]
    return None
