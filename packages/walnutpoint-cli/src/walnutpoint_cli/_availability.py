"""When nobody could serve callers, read from the log lines of all hosts."""

from __future__ import annotations

import bisect
import collections.abc
import typing

from walnutpoint_cli import _course

__all__ = (
    'Availability',
    'Span',
    'find',
)

# Lines that only a stored write is followed by.
_PROOFS: typing.Final = frozenset(
    {'job.accepted', 'job.final', 'job.cancel_stored', 'scheduler.won'}
)
# Shorter gaps between two proofs also show in calm seconds with few jobs;
# what is counted as served too readily makes a loss ours, not the outage's.
_SHORTEST_S: typing.Final = 1.0


class Span(typing.NamedTuple):
    """From a time to another, in seconds."""

    begin_s: float
    end_s: float


class Availability:
    """The spans in which no host could have stored anything."""

    __slots__ = ('_begins', 'spans')

    def __init__(self, spans: collections.abc.Sequence[Span]) -> None:
        """Take spans in order that do not overlap."""
        self.spans = tuple(spans)
        self._begins = [span.begin_s for span in self.spans]

    def next_s(self, time_s: float) -> float:
        """Return the first time from then on at which somebody could."""
        place = bisect.bisect_right(self._begins, time_s) - 1
        if place < 0:
            return time_s
        return max(time_s, self.spans[place].end_s)


class _Host:
    """The trouble of one host, followed through its lines."""

    __slots__ = ('_last_s', '_lost_s', 'spans')

    def __init__(self) -> None:
        self.spans: list[Span] = []
        self._last_s: float | None = None
        # Since when its store has not answered.
        self._lost_s: float | None = None

    def take(self, line: _course.Line) -> None:
        """Follow one line."""
        now_s = line.time_s
        if line.event == 'process.started':
            if self._last_s is not None:
                self.spans.append(Span(self._last_s, now_s))
            self._end_loss(now_s)
        elif line.event == 'store.lost':
            self._lost_s = now_s - line.number('silent_s')
        elif line.event == 'store.regained':
            self._end_loss(now_s)
        self._last_s = now_s

    def close(self, end_s: float) -> None:
        """Count a loss that lasts to the end of all logs."""
        self._end_loss(end_s)

    def _end_loss(self, now_s: float) -> None:
        if self._lost_s is not None:
            self.spans.append(Span(self._lost_s, now_s))
            self._lost_s = None


def find(
    lines: collections.abc.Sequence[_course.Line],
) -> Availability:
    """Return when nobody could serve; lines are in the order of time.

    A host is in trouble from its last answer of the store to the next one,
    and from its last line to its next start. Such a time counts while half of
    all hosts or more are in trouble, and no write of any of them was stored
    for a second or more.
    """
    hosts: dict[str, _Host] = {}
    proofs: list[float] = []
    for line in lines:
        hosts.setdefault(line.source, _Host()).take(line)
        if line.event in _PROOFS:
            proofs.append(line.time_s)
    if not proofs:
        return Availability(())
    for host in hosts.values():
        host.close(lines[-1].time_s)
    troubles = _widespread([_merge(host.spans) for host in hosts.values()])
    ends_s = [*proofs[1:], max(proofs[-1], lines[-1].time_s)]
    gaps = [
        Span(begin_s, end_s)
        for begin_s, end_s in zip(proofs, ends_s, strict=True)
        if end_s - begin_s >= _SHORTEST_S
    ]
    return Availability(_common(troubles, gaps))


def _merge(spans: collections.abc.Iterable[Span]) -> list[Span]:
    """Return spans joined where they overlap, in order."""
    merged: list[Span] = []
    for span in sorted(spans):
        if merged and span.begin_s <= merged[-1].end_s:
            end_s = max(merged[-1].end_s, span.end_s)
            merged[-1] = Span(merged[-1].begin_s, end_s)
        else:
            merged.append(span)
    return merged


def _widespread(
    by_host: collections.abc.Sequence[collections.abc.Sequence[Span]],
) -> list[Span]:
    """Return when half of the hosts or more are in trouble."""
    changes = sorted(
        change
        for spans in by_host
        for span in spans
        for change in ((span.begin_s, 1), (span.end_s, -1))
    )
    found: list[Span] = []
    count = 0
    begin_s: float | None = None
    for time_s, change in changes:
        count += change
        if count * 2 >= len(by_host):
            begin_s = time_s if begin_s is None else begin_s
        elif begin_s is not None:
            found.append(Span(begin_s, time_s))
            begin_s = None
    return found


def _common(
    troubles: collections.abc.Sequence[Span],
    gaps: collections.abc.Sequence[Span],
) -> list[Span]:
    """Return the parts of gaps in trouble that are long enough."""
    found = []
    for gap in gaps:
        for trouble in troubles:
            begin_s = max(gap.begin_s, trouble.begin_s)
            end_s = min(gap.end_s, trouble.end_s)
            if end_s - begin_s >= _SHORTEST_S:
                found.append(Span(begin_s, end_s))
    return found
