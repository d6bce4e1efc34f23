"""What commands on log files share: read, print in a form, draw."""

from __future__ import annotations

import collections.abc
import json
import sys
import typing

from walnutpoint_cli import _course
from walnutpoint_cli import _log_files
from walnutpoint_cli import _options
from walnutpoint_cli import exit_code

__all__ = (
    'LogReport',
    'tell',
)

_FoundT = typing.TypeVar('_FoundT')


class LogReport(typing.Protocol[_FoundT]):
    """What is found in lines, and how it is told."""

    def find(self, lines: collections.abc.Iterable[_course.Line]) -> _FoundT:
        """Return what the lines say."""

    def fields(self, found: _FoundT) -> dict[str, object]:
        """Return it for programs."""

    def write(self, found: _FoundT, output: typing.TextIO) -> None:
        """Print it for people."""

    def draw(self, found: _FoundT, path: str) -> None:
        """Draw it into a file."""


def tell(
    report: LogReport[_FoundT],
    files: tuple[str, ...],
    form: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Tell what log files say, in one form and as a plot."""
    logs = _log_files.LogFiles(files)
    try:
        found = report.find(logs.lines())
    except OSError as error:
        print(f'walnutpoint: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    if form is _options.Output.JSON:
        fields = report.fields(found)
        fields['lines_passed_over'] = logs.passed_over
        json.dump(fields, output, indent=2)
        output.write('\n')
    else:
        report.write(found, output)
        print(f'{logs.passed_over} lines passed over', file=output)
    if plot is not None:
        report.draw(found, plot)
    return exit_code.ExitCode.DONE
