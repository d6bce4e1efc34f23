"""Cancellations of jobs that a term does not know yet."""

from __future__ import annotations

import collections.abc

__all__ = ('EarlyCancels',)


class EarlyCancels:
    """Keeps each cancellation until its job is known.

    A job and its cancellation are two entries of the store. Full reads list
    them in the order of their keys and page by page, and notices overtake each
    other, so that a term may learn of the cancellation first.
    """

    __slots__ = ('_job_ids',)

    def __init__(self) -> None:
        self._job_ids: set[str] = set()

    def __len__(self) -> int:
        return len(self._job_ids)

    def add(self, job_id: str) -> None:
        """Keep the cancellation of an unknown job."""
        self._job_ids.add(job_id)

    def take(self, job_id: str) -> bool:
        """Drop a job's cancellation, and return whether there was one."""
        if job_id not in self._job_ids:
            return False
        self._job_ids.remove(job_id)
        return True

    def all(self) -> frozenset[str]:
        """Return the jobs with a cancellation."""
        return frozenset(self._job_ids)

    def drop(self, job_ids: collections.abc.Iterable[str]) -> None:
        """Drop cancellations that are no longer stored."""
        self._job_ids.difference_update(job_ids)
