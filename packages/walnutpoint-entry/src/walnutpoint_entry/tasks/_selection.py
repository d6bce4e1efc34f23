"""Selection of workers by free capacity and health."""

from __future__ import annotations

import collections.abc
import dataclasses

from walnutpoint_entry.tasks import _choice
from walnutpoint_entry.tasks import _entries
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _reservations
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _room
from walnutpoint_entry.tasks import _slots
from walnutpoint_scheduler import worker_health

__all__ = ('Selection',)


class Selection:
    """Choose workers for tasks, and estimate free capacity."""

    __slots__ = ('_capacity', '_entries', '_health', '_reservations', '_slots')

    def __init__(
        self,
        capacity: _room.CapacityLedger,
        slots: _slots.SlotKeeper,
        reservations: _reservations.Reservations,
        health: worker_health.WorkerHealth,
        entries: _entries.Entries,
    ) -> None:
        self._capacity = capacity
        self._slots = slots
        self._reservations = reservations
        self._health = health
        self._entries = entries

    def reservation(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
        now_s: float,
    ) -> _reservations.Reservation | None:
        """Return a reservation in which a task may start now, if any."""
        need = _resources.of_size(spec.size)
        for reservation in _reservations.usable(
            self._job_reservations(spec, need), now_s
        ):
            worker = reservation.worker
            is_allowed = self._is_allowed(worker, avoid_domains, exclude)
            if is_allowed and self._health.may_start(worker):
                return reservation
        return None

    def worker(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
        now_s: float,
    ) -> str | None:
        """Return the worker on which to start a task, if any."""
        need = _resources.of_size(spec.size)
        probe = self._probe_worker(spec, need, avoid_domains, exclude, now_s)
        if probe is not None:
            return probe
        return self._best_worker(spec, need, avoid_domains, exclude)

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""
        need = _resources.of_size(spec.size)
        # Reservations count, so that a job that was told to retry returns
        # here and displaces no tasks elsewhere.
        reserved_count = len(self._job_reservations(spec, need))
        return reserved_count + sum(
            min(
                candidate.free.fit_count(need),
                self._free_slots(candidate.worker),
            )
            for candidate in self._with_free_slots(need)
        )

    def free(self, worker: str) -> _resources.Resources:
        """Return a worker's free resources, limited by free slots."""
        free = self._capacity.free(worker)
        return dataclasses.replace(
            free, slots=min(free.slots, self._free_slots(worker))
        )

    def ranked(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> tuple[str, ...]:
        """Return the eligible workers, the preferred one first."""
        allowed = [
            candidate
            for candidate in self._capacity.open_workers()
            if candidate.domain not in avoid_domains
            and candidate.worker not in exclude
            and self._health.may_start(candidate.worker)
        ]
        allowed.sort(key=self._rank(spec))
        return tuple(candidate.worker for candidate in allowed)

    def free_resources(self) -> tuple[_resources.Resources, ...]:
        """Return the free resources of each worker open to new tasks."""
        one = _resources.Resources(slots=1)
        return tuple(
            self.free(candidate.worker)
            for candidate in self._with_free_slots(one)
        )

    def _with_free_slots(
        self, need: _resources.Resources
    ) -> collections.abc.Iterator[_choice.Candidate]:
        # A negative count of one worker must not offset another's slots.
        for candidate in self._capacity.fitting(need, frozenset()):
            if not self._health.may_start(candidate.worker):
                continue
            if self._free_slots(candidate.worker) > 0:
                yield candidate

    def _is_allowed(
        self,
        worker: str,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> bool:
        return (
            worker not in exclude
            and self._capacity.is_open(worker)
            and self._capacity.domain(worker) not in avoid_domains
        )

    def _free_slots(self, worker: str) -> int:
        # Negative while requests use slots that reservations wait for.
        return self._slots.free_slots(
            worker
        ) - self._reservations.unfilled_count(worker)

    def _job_reservations(
        self, spec: _model.TaskSpec, need: _resources.Resources
    ) -> tuple[_reservations.Reservation, ...]:
        # What was freed for a promoted task of a batch job must not be
        # used by the job's other tasks.
        if spec.task_class is _model.TaskClass.BATCH:
            return ()
        return self._reservations.of_job(spec.key, need)

    def _probe_worker(
        self,
        spec: _model.TaskSpec,
        need: _resources.Resources,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
        now_s: float,
    ) -> str | None:
        # A failed probe would fail the whole service or gang.
        if spec.task_class is not _model.TaskClass.BATCH:
            return None
        for worker in self._health.due_probes(now_s):
            if (
                self._is_allowed(worker, avoid_domains, exclude)
                and self._capacity.free(worker).covers(need)
                and self._free_slots(worker) > 0
            ):
                return worker
        return None

    def _best_worker(
        self,
        spec: _model.TaskSpec,
        need: _resources.Resources,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> str | None:
        best = min(
            (
                candidate
                for candidate in self._capacity.fitting(need, avoid_domains)
                if candidate.worker not in exclude
                and self._health.may_start(candidate.worker)
                and self._free_slots(candidate.worker) > 0
            ),
            key=self._rank(spec),
            default=None,
        )
        return None if best is None else best.worker

    def _rank(
        self, spec: _model.TaskSpec
    ) -> collections.abc.Callable[
        [_choice.Candidate], tuple[bool, tuple[float, ...]]
    ]:
        policy = _choice.policy_for(spec.task_class)
        siblings = _choice.SiblingCounts()
        for sibling in self._entries.of_job(spec.key.job):
            siblings.add(sibling.worker, sibling.domain)
        return lambda candidate: (
            self._health.is_suspect(candidate.worker),
            policy.rank(candidate, siblings),
        )
