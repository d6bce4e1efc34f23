"""The command that reports the causes of waits from log files."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _log_report
from walnutpoint_cli import _options
from walnutpoint_cli import _timeline
from walnutpoint_cli import _waits
from walnutpoint_cli import exit_code

__all__ = ('execute',)

# Enough to tell whether one host refuses or all do.
_REFUSALS_SHOWN_MAX: typing.Final = 8
# Tasks that lost more than one worker, in the text output.
_TASKS_SHOWN_MAX: typing.Final = 8
# Bin width of the plot.
_BIN_S: typing.Final = 1.0


async def execute(
    files: tuple[str, ...],
    output_format: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Report waits, refusals and lost work of each queue, by cause."""
    return _log_report.run_report(
        _Report(), files, output_format, plot, output
    )


class _Report:
    """Report waits, refusals and lost work of each queue, by cause."""

    __slots__ = ()

    def analyze(
        self, lines: collections.abc.Iterable[_timeline.LogLine]
    ) -> _waits.Waits:
        """Summarize the lines."""
        return _waits.summarize(lines)

    def fields(self, result: _waits.Waits) -> dict[str, object]:
        """Return the result for JSON output."""
        return _fields(result)

    def write(self, result: _waits.Waits, output: typing.TextIO) -> None:
        """Print the result as text."""
        _print(result, output)

    def draw(self, result: _waits.Waits, path: str) -> None:
        """Plot the result into a file."""
        _plot(result, path)


def _fields(result: _waits.Waits) -> dict[str, object]:
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
            for name, queue in sorted(result.queues.items())
        },
        'refused': [
            {'kind': kind, 'host': host, 'count': count}
            for (kind, host), count in result.refused.most_common()
        ],
        'terms': [
            {'begin_s': round(begin_s, 3), 'host': host, 'token': token}
            for begin_s, host, token in result.terms
        ],
        'lost_workers': dict(result.lost_workers.most_common()),
        'given_up': {
            task: list(workers) for task, workers in result.given_up.items()
        },
        'store_calls': dict(result.store_calls),
    }


def _rounded(
    seconds_by_cause: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    return {
        name: round(value, 3)
        for name, value in _largest_first(seconds_by_cause)
    }


def _largest_first(
    seconds_by_cause: collections.abc.Mapping[str, float],
) -> list[tuple[str, float]]:
    """Return the items in descending order of seconds."""
    return sorted(seconds_by_cause.items(), key=lambda row: -row[1])


def _print(result: _waits.Waits, output: typing.TextIO) -> None:
    for name, queue in sorted(result.queues.items()):
        print(
            f'{name}: {queue.jobs} jobs, {queue.starts} starts, '
            f'longest wait {queue.longest_wait_s:.1f} s',
            file=output,
        )
        for cause, waited_s in _largest_first(queue.waits_s):
            print(f'  waited for {cause}: {waited_s:.1f} s', file=output)
        for cause, count in queue.refusals.most_common():
            print(f'  refused for {cause}: {count}', file=output)
        for cause, lost_s in _largest_first(queue.lost_s):
            print(f'  work lost to {cause}: {lost_s:.1f} s', file=output)
    for (kind, host), count in result.refused.most_common(_REFUSALS_SHOWN_MAX):
        print(f'refused for {kind} by {host}: {count}', file=output)
    for begin_s, host, token in result.terms:
        print(
            f'{host} schedules from {begin_s:.1f} s on, token {token}',
            file=output,
        )
    for task, workers in result.given_up.items():
        print(
            f'{task} was given up: crashed {", ".join(workers)}', file=output
        )
    for task, count in result.lost_workers.most_common(_TASKS_SHOWN_MAX):
        if count > 1:
            print(f'{task} lost its worker {count} times', file=output)
    jobs = max(1, result.jobs)
    for purpose, count in result.store_calls.most_common():
        print(
            f'store {purpose}: {count}, {count / jobs:.2f} a job', file=output
        )


def _plot(result: _waits.Waits, path: str) -> None:
    """Plot the waits that began in each second, by queue and cause."""
    from matplotlib import figure  # noqa: PLC0415

    series: dict[str, collections.Counter[float]] = {}
    for time_s, queue, cause in result.wait_starts:
        row = series.setdefault(f'{queue}: {cause}', collections.Counter())
        row[time_s // _BIN_S * _BIN_S] += 1
    chart = figure.Figure(figsize=(9.0, 5.0))
    axes = chart.add_subplot()
    for name, row in sorted(series.items()):
        times_s = sorted(row)
        axes.plot(times_s, [row[t] for t in times_s], label=name)
    axes.set_xlabel('time (s)')
    axes.set_ylabel('waits that began in a second')
    if series:
        axes.legend(fontsize='small')
    chart.savefig(path)
