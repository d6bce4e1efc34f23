"""Detection of cell-wide outages in the log lines of all hosts."""

from __future__ import annotations

import bisect
import collections.abc
import typing

from walnutpoint_cli import _timeline

__all__ = (
    'Outages',
    'Span',
    'find_outages',
)

# Events that are only logged after a successful write to the store.
_WRITE_EVENTS: typing.Final = frozenset(
    {'job.accepted', 'job.final', 'job.cancel_stored', 'scheduler.won'}
)
# Shorter gaps between writes also occur when there are few jobs. A gap that
# is not counted as an outage makes the losses in it avoidable ones.
_OUTAGE_MIN_S: typing.Final = 1.0


class Span(typing.NamedTuple):
    """A time span in seconds."""

    begin_s: float
    end_s: float


class Outages:
    """The spans in which no host could write to the store."""

    __slots__ = ('_begins', 'spans')

    def __init__(self, spans: collections.abc.Sequence[Span]) -> None:
        """Use spans that are in order and do not overlap."""
        self.spans = tuple(spans)
        self._begins = [span.begin_s for span in self.spans]

    def next_available_s(self, time_s: float) -> float:
        """Return the first time at or after a time without an outage."""
        index = bisect.bisect_right(self._begins, time_s) - 1
        if index < 0:
            return time_s
        return max(time_s, self.spans[index].end_s)


class _HostTracker:
    """Collects the disruptions of one host from its lines."""

    __slots__ = ('_last_s', '_store_lost_s', 'spans')

    def __init__(self) -> None:
        self.spans: list[Span] = []
        self._last_s: float | None = None
        # Time since which its store has not responded.
        self._store_lost_s: float | None = None

    def process(self, line: _timeline.LogLine) -> None:
        """Apply one line."""
        now_s = line.time_s
        if line.event == 'process.started':
            if self._last_s is not None:
                self.spans.append(Span(self._last_s, now_s))
            self._end_store_outage(now_s)
        elif line.event == 'store.lost':
            self._store_lost_s = now_s - line.number('silent_s')
        elif line.event == 'store.regained':
            self._end_store_outage(now_s)
        self._last_s = now_s

    def close(self, end_s: float) -> None:
        """End a disruption that lasts until the end of the logs."""
        self._end_store_outage(end_s)

    def _end_store_outage(self, now_s: float) -> None:
        if self._store_lost_s is not None:
            self.spans.append(Span(self._store_lost_s, now_s))
            self._store_lost_s = None


def find_outages(
    lines: collections.abc.Sequence[_timeline.LogLine],
) -> Outages:
    """Return the outages in lines that are ordered by time.

    A host is disrupted from the last response of its store to the next one,
    and from its last line to its next start. An outage is a time in which at
    least half of the hosts are disrupted and no host has stored a write for
    at least a second.
    """
    hosts: dict[str, _HostTracker] = {}
    writes_s: list[float] = []
    for line in lines:
        hosts.setdefault(line.source, _HostTracker()).process(line)
        if line.event in _WRITE_EVENTS:
            writes_s.append(line.time_s)
    if not writes_s:
        return Outages(())
    for host in hosts.values():
        host.close(lines[-1].time_s)
    disruptions = _majority_disruptions(
        [_merge(host.spans) for host in hosts.values()]
    )
    ends_s = [*writes_s[1:], max(writes_s[-1], lines[-1].time_s)]
    gaps = [
        Span(begin_s, end_s)
        for begin_s, end_s in zip(writes_s, ends_s, strict=True)
        if end_s - begin_s >= _OUTAGE_MIN_S
    ]
    return Outages(_overlaps(disruptions, gaps))


def _merge(spans: collections.abc.Iterable[Span]) -> list[Span]:
    """Return spans in order, with overlapping ones merged."""
    merged: list[Span] = []
    for span in sorted(spans):
        if merged and span.begin_s <= merged[-1].end_s:
            end_s = max(merged[-1].end_s, span.end_s)
            merged[-1] = Span(merged[-1].begin_s, end_s)
        else:
            merged.append(span)
    return merged


def _majority_disruptions(
    by_host: collections.abc.Sequence[collections.abc.Sequence[Span]],
) -> list[Span]:
    """Return the spans in which at least half of the hosts are disrupted."""
    changes = sorted(
        change
        for spans in by_host
        for span in spans
        for change in ((span.begin_s, 1), (span.end_s, -1))
    )
    spans: list[Span] = []
    count = 0
    begin_s: float | None = None
    for time_s, change in changes:
        count += change
        if count * 2 >= len(by_host):
            begin_s = time_s if begin_s is None else begin_s
        elif begin_s is not None:
            spans.append(Span(begin_s, time_s))
            begin_s = None
    return spans


def _overlaps(
    disruptions: collections.abc.Sequence[Span],
    gaps: collections.abc.Sequence[Span],
) -> list[Span]:
    """Return the overlaps of disruptions and gaps that are long enough."""
    spans = []
    for gap in gaps:
        for disruption in disruptions:
            begin_s = max(gap.begin_s, disruption.begin_s)
            end_s = min(gap.end_s, disruption.end_s)
            if end_s - begin_s >= _OUTAGE_MIN_S:
                spans.append(Span(begin_s, end_s))
    return spans
