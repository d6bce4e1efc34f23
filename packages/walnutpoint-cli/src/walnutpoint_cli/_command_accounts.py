"""The command that summarizes the use of client accounts from log files."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_cli import _log_report
from walnutpoint_cli import _options
from walnutpoint_cli import _table
from walnutpoint_cli import _timeline
from walnutpoint_cli import exit_code

__all__ = ('execute',)

_NO_ACCOUNT: typing.Final = '-'
_MILLICORES_PER_CORE: typing.Final = 1000.0


async def execute(
    files: tuple[str, ...],
    output_format: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Report jobs, limits, rates and refused callers by account."""
    return _log_report.run_report(
        _Report(), files, output_format, plot, output
    )


@dataclasses.dataclass(slots=True)
class _Account:
    """The usage of one account."""

    jobs: int = 0
    beyond: int = 0
    starts: int = 0
    # The most cores in use at once, and the limit then; zero for none.
    cores: float = 0.0
    limit_cores: float = 0.0
    weight: float = 0.0
    waits_for_limit: int = 0
    # Cores in use by time, for the plot.
    cores_over_time: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class _Accounts:
    accounts: dict[str, _Account] = dataclasses.field(default_factory=dict)
    # Number of callers without a known key, by queue.
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def account(self, line: _timeline.LogLine) -> _Account:
        """Return the account of a line."""
        name = line.fields.get('account', _NO_ACCOUNT)
        return self.accounts.setdefault(name, _Account())


class _Report:
    """Report jobs, limits, rates and refused callers by account."""

    __slots__ = ()

    def analyze(
        self, lines: collections.abc.Iterable[_timeline.LogLine]
    ) -> _Accounts:
        """Summarize the lines."""
        result = _Accounts()
        account_by_job: dict[str, str] = {}
        for line in lines:
            if line.event == 'job.seen':
                _add_job(result, account_by_job, line)
            elif line.event == 'run.placed':
                result.account(line).starts += 1
            elif line.event == 'account.load':
                _add_load(result.account(line), line)
            elif line.event == 'caller.refused':
                result.refused[line.fields.get('queue', _NO_ACCOUNT)] += 1
            elif line.fields.get('cause') == 'account-limit':
                job = line.fields.get('step', '').partition('.')[0]
                if job in account_by_job:
                    result.accounts[account_by_job[job]].waits_for_limit += 1
        return result

    def fields(self, result: _Accounts) -> dict[str, object]:
        """Return the result for JSON output."""
        return {
            'accounts': _rows(result),
            'refused_callers': dict(result.refused.most_common()),
        }

    def write(self, result: _Accounts, output: typing.TextIO) -> None:
        """Print the result as text."""
        print(_table.columns(_rows(result)), file=output)
        for queue, count in result.refused.most_common():
            print(f'{queue}: {count} callers without a key', file=output)

    def draw(self, result: _Accounts, path: str) -> None:
        """Plot the cores in use of each account over time."""
        from matplotlib import figure  # noqa: PLC0415

        chart = figure.Figure(figsize=(9.0, 5.0))
        axes = chart.add_subplot()
        for name, account in sorted(result.accounts.items()):
            if account.cores_over_time:
                times_s, cores = zip(*account.cores_over_time)
                axes.plot(times_s, cores, label=name)
        axes.set_xlabel('time (s)')
        axes.set_ylabel('cores at work')
        if axes.lines:
            axes.legend(fontsize='x-small', ncols=2)
        chart.savefig(path)


def _add_job(
    result: _Accounts, account_by_job: dict[str, str], line: _timeline.LogLine
) -> None:
    """Count a job once, even if several terms logged it."""
    job = line.fields.get('job', '')
    if job in account_by_job:
        return
    account_by_job[job] = line.fields.get('account', _NO_ACCOUNT)
    account = result.account(line)
    account.jobs += 1
    account.beyond += line.fields.get('owed') == 'false'


def _add_load(account: _Account, line: _timeline.LogLine) -> None:
    cores = line.number('cpu_millicores') / _MILLICORES_PER_CORE
    account.cores_over_time.append((line.time_s, cores))
    account.weight = line.number('weight')
    if cores >= account.cores:
        account.cores = cores
        account.limit_cores = (
            line.number('limit_millicores') / _MILLICORES_PER_CORE
        )


def _rows(result: _Accounts) -> list[dict[str, object]]:
    """Return a row for each account, by descending cores."""
    by_cores = sorted(
        result.accounts.items(), key=lambda item: (-item[1].cores, item[0])
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
