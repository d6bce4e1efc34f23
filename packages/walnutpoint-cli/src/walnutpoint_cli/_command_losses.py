"""The command that reports late and lost jobs from log files."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _job_times
from walnutpoint_cli import _log_report
from walnutpoint_cli import _losses
from walnutpoint_cli import _options
from walnutpoint_cli import _timeline
from walnutpoint_cli import exit_code

__all__ = ('execute',)

# Bin width of the plot.
_BIN_S: typing.Final = 1.0
# Number of windows that are shown.
_WORST_WINDOWS: typing.Final = 4
_GRADE_LABELS: typing.Final = {
    _job_times.Grade.IN_TIME: 'in time',
    _job_times.Grade.LATE: 'late',
    _job_times.Grade.NOTHING: 'nothing',
}
_COLOURS: typing.Final = {
    _job_times.Grade.IN_TIME: 'tab:green',
    _job_times.Grade.LATE: 'tab:orange',
    _job_times.Grade.NOTHING: 'tab:red',
}


async def execute(
    files: tuple[str, ...],
    output_format: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Report what callers got, what was possible, and the losses."""
    return _log_report.run_report(
        _Report(), files, output_format, plot, output
    )


class _Report:
    """Report what callers got, what was possible, and the losses."""

    __slots__ = ()

    def analyze(
        self, lines: collections.abc.Iterable[_timeline.LogLine]
    ) -> _losses.Losses:
        """Summarize the lines."""
        return _losses.analyze(lines)

    def fields(self, result: _losses.Losses) -> dict[str, object]:
        """Return the result for JSON output."""
        return _fields(result)

    def write(self, result: _losses.Losses, output: typing.TextIO) -> None:
        """Print the result as text."""
        _print(result, output)

    def draw(self, result: _losses.Losses, path: str) -> None:
        """Plot the result into a file."""
        _plot(result, path)


def _fields(result: _losses.Losses) -> dict[str, object]:
    return {
        'jobs': len(result.grades),
        'got': {
            _GRADE_LABELS[grade]: count
            for grade, count in _counts(result).most_common()
        },
        'away_s': [
            [round(span.begin_s, 3), round(span.end_s, 3)]
            for span in result.outages
        ],
        'worst': [
            {
                'begin_s': window.begin_s,
                'jobs': window.jobs,
                'worth': round(window.got, 3),
                'possible': round(window.possible, 3),
            }
            for window in _losses.worst_windows(result, _WORST_WINDOWS)
        ],
        'losses': [
            {
                'job': loss.job_id,
                'queue': loss.queue,
                'asked_s': round(loss.asked_s, 3),
                'got': _GRADE_LABELS[loss.got],
                'possible': _GRADE_LABELS[loss.possible],
                'place': loss.place.value,
                'cause': loss.cause,
            }
            for loss in result.losses
        ],
    }


def _counts(
    result: _losses.Losses,
) -> collections.Counter[_job_times.Grade]:
    return collections.Counter(grade for _, grade in result.grades)


def _print(result: _losses.Losses, output: typing.TextIO) -> None:
    counts = _counts(result)
    got = ', '.join(
        f'{counts[grade]} {_GRADE_LABELS[grade]}' for grade in _GRADE_LABELS
    )
    print(f'{len(result.grades)} jobs with an objective: {got}', file=output)
    for span in result.outages:
        print(
            f'nobody could serve from {span.begin_s:.1f} '
            f'to {span.end_s:.1f} s',
            file=output,
        )
    for window in _losses.worst_windows(result, _WORST_WINDOWS):
        print(
            f'asked for from {window.begin_s:.0f} s on, for 2 s: '
            f'{window.jobs} jobs, worth {window.got:.2f}, '
            f'possible {window.possible:.2f}',
            file=output,
        )
    out_of_reach = [
        loss for loss in result.losses if loss.possible <= loss.got
    ]
    print(f'out of reach: {len(out_of_reach)}', file=output)
    in_reach = [loss for loss in result.losses if loss.possible > loss.got]
    print(f'in reach: {len(in_reach)}', file=output)
    places = collections.Counter(
        (loss.place.value, loss.cause, _GRADE_LABELS[loss.got], loss.queue)
        for loss in in_reach
    )
    for (place, cause, label, queue), count in places.most_common():
        why = f' ({cause})' if cause else ''
        print(f'  {count} {queue}: {label}, {place}{why}', file=output)


def _plot(result: _losses.Losses, path: str) -> None:
    """Plot the grades of the jobs of each second, outages and terms."""
    from matplotlib import figure  # noqa: PLC0415

    chart = figure.Figure(figsize=(9.0, 5.0))
    axes = chart.add_subplot()
    if result.grades:
        axes.hist(
            [
                [at_s for at_s, got in result.grades if got is grade]
                for grade in _GRADE_LABELS
            ],
            bins=int(max(at_s for at_s, _ in result.grades) / _BIN_S) + 1,
            stacked=True,
            color=[_COLOURS[grade] for grade in _GRADE_LABELS],
            label=list(_GRADE_LABELS.values()),
        )
    for span in result.outages:
        axes.axvspan(span.begin_s, span.end_s, color='black', alpha=0.15)
    for at_s in result.terms_s:
        axes.axvline(at_s, color='tab:blue', linewidth=0.8)
    axes.set_xlabel('time (s); grey: nobody could serve; blue: new scheduler')
    axes.set_ylabel('jobs asked for in a second, by what callers got')
    if result.grades:
        axes.legend(fontsize='small')
    chart.savefig(path)
