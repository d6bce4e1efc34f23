"""Index of the attempts on the owned workers."""

from __future__ import annotations

import collections

from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model

__all__ = ('Entries',)


class Entries:
    """Index live attempts by task, worker and job."""

    __slots__ = ('_by_job', '_by_worker', '_live')

    def __init__(self) -> None:
        self._live: dict[_model.TaskKey, _entry.Entry] = {}
        self._by_worker: dict[str, set[_entry.Entry]] = {}
        self._by_job: collections.defaultdict[str, set[_entry.Entry]] = (
            collections.defaultdict(set)
        )

    def add_worker(self, worker: str) -> None:
        """Add a worker that has no attempts."""
        self._by_worker[worker] = set()

    def remove_worker(self, worker: str) -> None:
        """Remove a worker whose attempts have been removed."""
        self._by_worker.pop(worker, None)

    def add(self, entry: _entry.Entry) -> None:
        """Add an attempt that uses resources of a worker."""
        self._live[entry.key] = entry
        self._by_worker[entry.worker].add(entry)
        self._by_job[entry.key.job].add(entry)

    def remove(self, entry: _entry.Entry) -> None:
        """Remove an attempt that no longer uses resources."""
        del self._live[entry.key]
        self._by_worker[entry.worker].discard(entry)
        siblings = self._by_job[entry.key.job]
        siblings.discard(entry)
        if not siblings:
            del self._by_job[entry.key.job]

    def workers(self) -> tuple[str, ...]:
        """Return all workers."""
        return tuple(self._by_worker)

    def of_job(self, job: str) -> tuple[_entry.Entry, ...]:
        """Return the attempts of a job's tasks."""
        return tuple(self._by_job.get(job, ()))

    def live(self, key: _model.TaskKey) -> _entry.Entry | None:
        """Return the attempt of a task that is held or may run."""
        return self._live.get(key)

    def is_live(self, entry: _entry.Entry) -> bool:
        """Return whether an attempt still uses resources here."""
        return self._live.get(entry.key) is entry

    def on(self, worker: str | None = None) -> tuple[_entry.Entry, ...]:
        """Return the attempts on one worker or on all."""
        if worker is None:
            return tuple(self._live.values())
        return tuple(self._by_worker.get(worker, ()))
