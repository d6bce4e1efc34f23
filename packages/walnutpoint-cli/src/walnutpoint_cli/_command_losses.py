"""The command that tells from log files which jobs were lost, and where."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _course
from walnutpoint_cli import _job_times
from walnutpoint_cli import _log_report
from walnutpoint_cli import _losses
from walnutpoint_cli import _options
from walnutpoint_cli import exit_code

__all__ = ('execute',)

# Of the plot's time axis.
_BIN_S: typing.Final = 1.0
# Windows that are told.
_WORST: typing.Final = 4
_WORDS: typing.Final = {
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
    form: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Tell what callers got, what was possible, and where it was lost."""
    return _log_report.tell(_Report(), files, form, plot, output)


class _Report:
    """Tell what callers got, what was possible, and where it was lost."""

    __slots__ = ()

    def find(
        self, lines: collections.abc.Iterable[_course.Line]
    ) -> _losses.Losses:
        """Return what the lines say."""
        return _losses.account(lines)

    def fields(self, found: _losses.Losses) -> dict[str, object]:
        """Return it for programs."""
        return _fields(found)

    def write(self, found: _losses.Losses, output: typing.TextIO) -> None:
        """Print it for people."""
        _print(found, output)

    def draw(self, found: _losses.Losses, path: str) -> None:
        """Draw it into a file."""
        _plot(found, path)


def _fields(found: _losses.Losses) -> dict[str, object]:
    return {
        'jobs': len(found.grades),
        'got': {
            _WORDS[grade]: count
            for grade, count in _counts(found).most_common()
        },
        'away_s': [
            [round(span.begin_s, 3), round(span.end_s, 3)]
            for span in found.away
        ],
        'worst': [
            {
                'begin_s': window.begin_s,
                'jobs': window.jobs,
                'worth': round(window.got, 3),
                'possible': round(window.possible, 3),
            }
            for window in _losses.worst_windows(found, _WORST)
        ],
        'losses': [
            {
                'job': loss.job_id,
                'queue': loss.queue,
                'asked_s': round(loss.asked_s, 3),
                'got': _WORDS[loss.got],
                'possible': _WORDS[loss.possible],
                'place': loss.place.value,
                'cause': loss.cause,
            }
            for loss in found.losses
        ],
    }


def _counts(
    found: _losses.Losses,
) -> collections.Counter[_job_times.Grade]:
    return collections.Counter(grade for _, grade in found.grades)


def _print(found: _losses.Losses, output: typing.TextIO) -> None:
    counts = _counts(found)
    got = ', '.join(f'{counts[grade]} {_WORDS[grade]}' for grade in _WORDS)
    print(f'{len(found.grades)} jobs with an objective: {got}', file=output)
    for span in found.away:
        print(
            f'nobody could serve from {span.begin_s:.1f} '
            f'to {span.end_s:.1f} s',
            file=output,
        )
    for window in _losses.worst_windows(found, _WORST):
        print(
            f'asked for from {window.begin_s:.0f} s on, for 2 s: '
            f'{window.jobs} jobs, worth {window.got:.2f}, '
            f'possible {window.possible:.2f}',
            file=output,
        )
    out_of_reach = [loss for loss in found.losses if loss.possible <= loss.got]
    print(f'out of reach: {len(out_of_reach)}', file=output)
    in_reach = [loss for loss in found.losses if loss.possible > loss.got]
    print(f'in reach: {len(in_reach)}', file=output)
    places = collections.Counter(
        (loss.place.value, loss.cause, _WORDS[loss.got], loss.queue)
        for loss in in_reach
    )
    for (place, cause, words, queue), count in places.most_common():
        why = f' ({cause})' if cause else ''
        print(f'  {count} {queue}: {words}, {place}{why}', file=output)


def _plot(found: _losses.Losses, path: str) -> None:
    """Draw what the jobs of each second got, and what happened meanwhile."""
    from matplotlib import figure  # noqa: PLC0415

    drawing = figure.Figure(figsize=(9.0, 5.0))
    axes = drawing.add_subplot()
    if found.grades:
        axes.hist(
            [
                [at_s for at_s, got in found.grades if got is grade]
                for grade in _WORDS
            ],
            bins=int(max(at_s for at_s, _ in found.grades) / _BIN_S) + 1,
            stacked=True,
            color=[_COLOURS[grade] for grade in _WORDS],
            label=list(_WORDS.values()),
        )
    for span in found.away:
        axes.axvspan(span.begin_s, span.end_s, color='black', alpha=0.15)
    for at_s in found.terms_s:
        axes.axvline(at_s, color='tab:blue', linewidth=0.8)
    axes.set_xlabel('time (s); grey: nobody could serve; blue: new scheduler')
    axes.set_ylabel('jobs asked for in a second, by what callers got')
    if found.grades:
        axes.legend(fontsize='small')
    drawing.savefig(path)
