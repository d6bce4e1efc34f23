"""The waiters of one class, in an order that is fair between teams."""

from __future__ import annotations

import typing

from walnutpoint_entry.placement import _heap
from walnutpoint_entry.placement import _waiter

__all__ = ('Lane',)

_TEAMS_REMEMBERED: typing.Final = 4096


class _Line:
    """The waiters of one team in one class."""

    __slots__ = ('by_deadline', 'by_lateness', 'start_tag')

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.by_deadline: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )
        self.by_lateness: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )


class Lane:
    """Start-time fair queueing (Goyal, Vin and Cheng 1996) over teams."""

    __slots__ = (
        '_by_lateness',
        '_finish_tags',
        '_lines',
        '_starts',
        '_virtual_time',
    )

    def __init__(self) -> None:
        """Create an empty lane."""
        self._lines: dict[str, _Line] = {}
        self._starts: _heap.RemovableHeap[str] = _heap.RemovableHeap()
        self._by_lateness: _heap.RemovableHeap[_waiter.Waiter] = (
            _heap.RemovableHeap()
        )
        self._virtual_time = 0.0
        self._finish_tags = _FinishTags()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._by_lateness)

    @property
    def entry_count(self) -> int:
        """Return the heap entries held in memory."""
        return (
            self._by_lateness.entry_count
            + self._starts.entry_count
            + sum(
                line.by_deadline.entry_count + line.by_lateness.entry_count
                for line in self._lines.values()
            )
        )

    def put(self, waiter: _waiter.Waiter) -> None:
        """Add a waiter."""
        line = self._lines.get(waiter.team)
        if line is None:
            start = max(
                self._virtual_time, self._finish_tags.tag_of(waiter.team)
            )
            line = self._lines[waiter.team] = _Line(start)
            self._starts.push(start, waiter.team)
        line.by_deadline.push(waiter.deadline_at_s, waiter)
        line.by_lateness.push(-waiter.deadline_at_s, waiter)
        self._by_lateness.push(-waiter.deadline_at_s, waiter)

    def next_waiter(self) -> _waiter.Waiter | None:
        """Return the waiter whose turn it is."""
        team = self._starts.first()
        if team is None:
            return None
        return self._lines[team].by_deadline.first()

    def serve(self, waiter: _waiter.Waiter, weight: float) -> None:
        """Remove a waiter that gets a slot and charge its team for it."""
        line = self._lines[waiter.team]
        self._virtual_time = line.start_tag
        finish_tag = line.start_tag + waiter.cost / weight
        line.start_tag = finish_tag
        self._finish_tags.record(waiter.team, finish_tag)
        self._finish_tags.forget(self._virtual_time)
        self._starts.push(finish_tag, waiter.team)
        self.remove(waiter)

    def remove(self, waiter: _waiter.Waiter) -> None:
        """Remove a waiter without charge."""
        line = self._lines[waiter.team]
        line.by_deadline.remove(waiter)
        line.by_lateness.remove(waiter)
        self._by_lateness.remove(waiter)
        if not line.by_deadline:
            del self._lines[waiter.team]
            self._starts.remove(waiter.team)
        if not self._lines:
            # The end of a busy period: every team is even again.
            self._virtual_time = 0.0
            self._finish_tags = _FinishTags()

    def latest(self) -> _waiter.Waiter | None:
        """Return the waiter with the latest deadline."""
        return self._by_lateness.first()

    def latest_of(self, team: str) -> _waiter.Waiter | None:
        """Return a team's waiter with the latest deadline."""
        line = self._lines.get(team)
        return None if line is None else line.by_lateness.first()


class _FinishTags:
    """The finish tags that still lie ahead of the virtual time."""

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
        """Drop the tags that no longer matter, and those beyond a bound."""
        # Ever new team names in a lane that is never empty would keep the
        # virtual time still and the tags growing; hence the bound.
        while self._tags:
            tag = self._by_tag.first_key()
            team = self._by_tag.first()
            overfull = len(self._tags) > _TEAMS_REMEMBERED
            if tag is None or team is None:
                return
            if tag > virtual_time and not overfull:
                return
            del self._tags[team]
            self._by_tag.remove(team)
