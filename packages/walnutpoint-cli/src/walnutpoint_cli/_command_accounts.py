"""The command that tells from log files what client accounts had."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_cli import _course
from walnutpoint_cli import _log_report
from walnutpoint_cli import _options
from walnutpoint_cli import _table
from walnutpoint_cli import exit_code

__all__ = ('execute',)

_NOBODY: typing.Final = '-'
_CORES: typing.Final = 1000.0


async def execute(
    files: tuple[str, ...],
    form: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Tell jobs, limits, rates and refused callers by account."""
    return _log_report.tell(_Report(), files, form, plot, output)


@dataclasses.dataclass(slots=True)
class _Account:
    """What the lines of one account say."""

    jobs: int = 0
    beyond: int = 0
    starts: int = 0
    # What it had at work at most, and its limit then; zero: none.
    cores: float = 0.0
    limit_cores: float = 0.0
    weight: float = 0.0
    waits_for_limit: int = 0
    # Its processor over time, for the plot.
    course: list[tuple[float, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Found:
    accounts: dict[str, _Account] = dataclasses.field(default_factory=dict)
    # Callers without a known key, by queue.
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def account(self, line: _course.Line) -> _Account:
        """Return the account that a line names."""
        name = line.fields.get('account', _NOBODY)
        return self.accounts.setdefault(name, _Account())


class _Report:
    """Tell jobs, limits, rates and refused callers by account."""

    __slots__ = ()

    def find(self, lines: collections.abc.Iterable[_course.Line]) -> _Found:
        """Return what the lines say."""
        found = _Found()
        owners: dict[str, str] = {}
        for line in lines:
            if line.event == 'job.seen':
                _note_job(found, owners, line)
            elif line.event == 'run.placed':
                found.account(line).starts += 1
            elif line.event == 'account.load':
                _note_load(found.account(line), line)
            elif line.event == 'caller.refused':
                found.refused[line.fields.get('queue', _NOBODY)] += 1
            elif line.fields.get('cause') == 'account-limit':
                job = line.fields.get('step', '').partition('.')[0]
                if job in owners:
                    found.accounts[owners[job]].waits_for_limit += 1
        return found

    def fields(self, found: _Found) -> dict[str, object]:
        """Return it for programs."""
        return {
            'accounts': _rows(found),
            'refused_callers': dict(found.refused.most_common()),
        }

    def write(self, found: _Found, output: typing.TextIO) -> None:
        """Print it for people."""
        print(_table.columns(_rows(found)), file=output)
        for queue, count in found.refused.most_common():
            print(f'{queue}: {count} callers without a key', file=output)

    def draw(self, found: _Found, path: str) -> None:
        """Draw what each account had at work over time."""
        from matplotlib import figure  # noqa: PLC0415

        drawing = figure.Figure(figsize=(9.0, 5.0))
        axes = drawing.add_subplot()
        for name, account in sorted(found.accounts.items()):
            if account.course:
                times_s, cores = zip(*account.course)
                axes.plot(times_s, cores, label=name)
        axes.set_xlabel('time (s)')
        axes.set_ylabel('cores at work')
        if axes.lines:
            axes.legend(fontsize='x-small', ncols=2)
        drawing.savefig(path)


def _note_job(
    found: _Found, owners: dict[str, str], line: _course.Line
) -> None:
    """Count a job once, also where several terms saw it."""
    job = line.fields.get('job', '')
    if job in owners:
        return
    owners[job] = line.fields.get('account', _NOBODY)
    account = found.account(line)
    account.jobs += 1
    account.beyond += line.fields.get('owed') == 'false'


def _note_load(account: _Account, line: _course.Line) -> None:
    cores = line.number('cpu_millicores') / _CORES
    account.course.append((line.time_s, cores))
    account.weight = line.number('weight')
    if cores >= account.cores:
        account.cores = cores
        account.limit_cores = line.number('limit_millicores') / _CORES


def _rows(found: _Found) -> list[dict[str, object]]:
    """Return a row for each account, the largest first."""
    by_cores = sorted(
        found.accounts.items(), key=lambda item: (-item[1].cores, item[0])
    )
    return [
        {
            'account': name,
            'weight': account.weight,
            'jobs': account.jobs,
            'beyond': account.beyond,
            'starts': account.starts,
            'most_cores': round(account.cores, 1),
            'limit_cores': round(account.limit_cores, 1),
            'waits_for_limit': account.waits_for_limit,
        }
        for name, account in by_cores
    ]
