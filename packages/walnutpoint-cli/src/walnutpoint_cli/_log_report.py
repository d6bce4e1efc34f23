"""The common parts of the commands on log files."""

from __future__ import annotations

import collections.abc
import json
import sys
import typing

from walnutpoint_cli import _log_files
from walnutpoint_cli import _options
from walnutpoint_cli import _timeline
from walnutpoint_cli import exit_code

__all__ = (
    'LogReport',
    'run_report',
)

_ResultT = typing.TypeVar('_ResultT')


class LogReport(typing.Protocol[_ResultT]):
    """An analysis of log lines, and the output of its result."""

    def analyze(
        self, lines: collections.abc.Iterable[_timeline.LogLine]
    ) -> _ResultT:
        """Summarize the lines."""

    def fields(self, result: _ResultT) -> dict[str, object]:
        """Return the result for JSON output."""

    def write(self, result: _ResultT, output: typing.TextIO) -> None:
        """Print the result as text."""

    def draw(self, result: _ResultT, path: str) -> None:
        """Plot the result into a file."""


def run_report(
    report: LogReport[_ResultT],
    files: tuple[str, ...],
    output_format: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Analyze log files, and print and plot the result."""
    logs = _log_files.LogFiles(files)
    try:
        result = report.analyze(logs.lines())
    except OSError as error:
        print(f'walnutpoint: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    if output_format is _options.Output.JSON:
        fields = report.fields(result)
        fields['lines_passed_over'] = logs.passed_over
        json.dump(fields, output, indent=2)
        output.write('\n')
    else:
        report.write(result, output)
        print(f'{logs.passed_over} lines passed over', file=output)
    if plot is not None:
        report.draw(result, plot)
    return exit_code.ExitCode.DONE
