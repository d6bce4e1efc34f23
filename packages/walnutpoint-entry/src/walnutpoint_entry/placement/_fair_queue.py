"""The waiters of one class, in weighted fair order between teams."""

from __future__ import annotations

import typing

from walnutpoint_entry.placement import _heap
from walnutpoint_entry.placement import _waiter

__all__ = ('FairQueue',)

_FINISH_TAGS_MAX: typing.Final = 4096


class _TeamQueue:
    """The waiters of one team in one class."""

    __slots__ = ('by_deadline', 'by_latest_deadline', 'start_tag')

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.by_deadline: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )
        self.by_latest_deadline: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )


class FairQueue:
    """Start-time fair queueing (Goyal, Vin and Cheng 1996) over teams."""

    __slots__ = (
        '_by_latest_deadline',
        '_by_start_tag',
        '_finish_tags',
        '_team_queues',
        '_virtual_time',
    )

    def __init__(self) -> None:
        """Create an empty queue."""
        self._team_queues: dict[str, _TeamQueue] = {}
        self._by_start_tag: _heap.RemovableHeap[str] = _heap.RemovableHeap()
        self._by_latest_deadline: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )
        self._virtual_time = 0.0
        self._finish_tags = _FinishTags()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._by_latest_deadline)

    @property
    def entry_count(self) -> int:
        """Return the number of stored heap entries."""
        return (
            self._by_latest_deadline.entry_count
            + self._by_start_tag.entry_count
            + sum(
                team_queue.by_deadline.entry_count
                + team_queue.by_latest_deadline.entry_count
                for team_queue in self._team_queues.values()
            )
        )

    def put(self, waiter: _waiter.Waiter) -> None:
        """Add a waiter."""
        team_queue = self._team_queues.get(waiter.team)
        if team_queue is None:
            start = max(
                self._virtual_time, self._finish_tags.tag_of(waiter.team)
            )
            team_queue = self._team_queues[waiter.team] = _TeamQueue(start)
            self._by_start_tag.push(start, waiter.team)
        team_queue.by_deadline.push(waiter.deadline_at_s, waiter)
        team_queue.by_latest_deadline.push(-waiter.deadline_at_s, waiter)
        self._by_latest_deadline.push(-waiter.deadline_at_s, waiter)

    def next_waiter(self) -> _waiter.Waiter | None:
        """Return the next waiter to serve, without removing it."""
        team = self._by_start_tag.first()
        if team is None:
            return None
        return self._team_queues[team].by_deadline.first()

    def serve(self, waiter: _waiter.Waiter, weight: float) -> None:
        """Remove a waiter that gets a slot and charge its team."""
        team_queue = self._team_queues[waiter.team]
        self._virtual_time = team_queue.start_tag
        finish_tag = team_queue.start_tag + waiter.cost / weight
        team_queue.start_tag = finish_tag
        self._finish_tags.record(waiter.team, finish_tag)
        self._finish_tags.forget(self._virtual_time)
        self._by_start_tag.push(finish_tag, waiter.team)
        self.remove(waiter)

    def remove(self, waiter: _waiter.Waiter) -> None:
        """Remove a waiter without charging its team."""
        team_queue = self._team_queues[waiter.team]
        team_queue.by_deadline.remove(waiter)
        team_queue.by_latest_deadline.remove(waiter)
        self._by_latest_deadline.remove(waiter)
        if not team_queue.by_deadline:
            del self._team_queues[waiter.team]
            self._by_start_tag.remove(waiter.team)
        if not self._team_queues:
            # The busy period has ended: all teams start equal again.
            self._virtual_time = 0.0
            self._finish_tags = _FinishTags()

    def latest(self) -> _waiter.Waiter | None:
        """Return the waiter with the latest deadline."""
        return self._by_latest_deadline.first()

    def latest_of(self, team: str) -> _waiter.Waiter | None:
        """Return a team's waiter with the latest deadline."""
        team_queue = self._team_queues.get(team)
        return (
            None
            if team_queue is None
            else team_queue.by_latest_deadline.first()
        )


class _FinishTags:
    """Finish tags that are later than the virtual time."""

    __slots__ = ('_by_tag', '_tags')

    def __init__(self) -> None:
        self._tags: dict[str, float] = {}
        self._by_tag: _heap.RemovableHeap[str] = _heap.RemovableHeap()

    def tag_of(self, team: str) -> float:
        return self._tags.get(team, 0.0)

    def record(self, team: str, finish_tag: float) -> None:
        self._tags[team] = finish_tag
        self._by_tag.push(finish_tag, team)

    def forget(self, virtual_time: float) -> None:
        """Drop the tags up to the virtual time and those over the limit."""
        # New team names in a queue that is never empty could hold the
        # virtual time back and grow the tags without limit.
        while self._tags:
            tag = self._by_tag.first_key()
            team = self._by_tag.first()
            is_overfull = len(self._tags) > _FINISH_TAGS_MAX
            if tag is None or team is None:
                return
            if tag > virtual_time and not is_overfull:
                return
            del self._tags[team]
            self._by_tag.remove(team)
