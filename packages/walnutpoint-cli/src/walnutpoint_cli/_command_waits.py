"""The command that tells from log files why queues waited."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _course
from walnutpoint_cli import _log_report
from walnutpoint_cli import _options
from walnutpoint_cli import _waits
from walnutpoint_cli import exit_code

__all__ = ('execute',)

# Rows of refusals that are told as text; one host alone, or all alike.
_HOSTS: typing.Final = 8
# Tasks that lost more than one worker, of which as many are told as text.
_TASKS: typing.Final = 8
# Of the plot's time axis.
_BIN_S: typing.Final = 1.0


async def execute(
    files: tuple[str, ...],
    form: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Tell waits, refusals and lost work of each queue, by cause."""
    return _log_report.tell(_Report(), files, form, plot, output)


class _Report:
    """Tell waits, refusals and lost work of each queue, by cause."""

    __slots__ = ()

    def find(
        self, lines: collections.abc.Iterable[_course.Line]
    ) -> _waits.Waits:
        """Return what the lines say."""
        return _waits.add_up(lines)

    def fields(self, found: _waits.Waits) -> dict[str, object]:
        """Return it for programs."""
        return _fields(found)

    def write(self, found: _waits.Waits, output: typing.TextIO) -> None:
        """Print it for people."""
        _print(found, output)

    def draw(self, found: _waits.Waits, path: str) -> None:
        """Draw it into a file."""
        _plot(found, path)


def _fields(found: _waits.Waits) -> dict[str, object]:
    return {
        'queues': {
            name: {
                'jobs': queue.jobs,
                'starts': queue.starts,
                'longest_wait_s': round(queue.longest_wait_s, 3),
                'waits_s': _rounded(queue.waits_s),
                'refusals': dict(queue.refusals),
                'lost_s': _rounded(queue.lost_s),
            }
            for name, queue in sorted(found.queues.items())
        },
        'refused': [
            {'kind': kind, 'host': host, 'count': count}
            for (kind, host), count in found.refused.most_common()
        ],
        'terms': [
            {'begin_s': round(begin_s, 3), 'host': host, 'token': token}
            for begin_s, host, token in found.terms
        ],
        'lost_workers': dict(found.lost_workers.most_common()),
        'given_up': {
            task: list(workers) for task, workers in found.given_up.items()
        },
        'store_calls': dict(found.store_calls),
    }


def _rounded(
    amounts: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    return {name: round(value, 3) for name, value in _most(amounts)}


def _most(
    amounts: collections.abc.Mapping[str, float],
) -> list[tuple[str, float]]:
    """Return amounts, the largest first."""
    return sorted(amounts.items(), key=lambda row: -row[1])


def _print(found: _waits.Waits, output: typing.TextIO) -> None:
    for name, queue in sorted(found.queues.items()):
        print(
            f'{name}: {queue.jobs} jobs, {queue.starts} starts, '
            f'longest wait {queue.longest_wait_s:.1f} s',
            file=output,
        )
        for cause, waited_s in _most(queue.waits_s):
            print(f'  waited for {cause}: {waited_s:.1f} s', file=output)
        for cause, count in queue.refusals.most_common():
            print(f'  refused for {cause}: {count}', file=output)
        for cause, lost_s in _most(queue.lost_s):
            print(f'  work lost to {cause}: {lost_s:.1f} s', file=output)
    for (kind, host), count in found.refused.most_common(_HOSTS):
        print(f'refused for {kind} by {host}: {count}', file=output)
    for begin_s, host, token in found.terms:
        print(
            f'{host} schedules from {begin_s:.1f} s on, token {token}',
            file=output,
        )
    for task, workers in found.given_up.items():
        print(
            f'{task} was given up: crashed {", ".join(workers)}', file=output
        )
    for task, count in found.lost_workers.most_common(_TASKS):
        if count > 1:
            print(f'{task} lost its worker {count} times', file=output)
    jobs = max(1, found.jobs)
    for purpose, count in found.store_calls.most_common():
        print(
            f'store {purpose}: {count}, {count / jobs:.2f} a job', file=output
        )


def _plot(found: _waits.Waits, path: str) -> None:
    """Draw how many waits began in each second, by queue and cause."""
    from matplotlib import figure  # noqa: PLC0415

    series: dict[str, collections.Counter[float]] = {}
    for time_s, queue, cause in found.begun:
        row = series.setdefault(f'{queue}: {cause}', collections.Counter())
        row[time_s // _BIN_S * _BIN_S] += 1
    drawing = figure.Figure(figsize=(9.0, 5.0))
    axes = drawing.add_subplot()
    for name, row in sorted(series.items()):
        times_s = sorted(row)
        axes.plot(times_s, [row[t] for t in times_s], label=name)
    axes.set_xlabel('time (s)')
    axes.set_ylabel('waits that began in a second')
    if series:
        axes.legend(fontsize='small')
    drawing.savefig(path)
