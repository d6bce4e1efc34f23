"""Printing of results, failures and progress."""

from __future__ import annotations

import sys
import typing

import msgspec
import yaml

from walnutpoint_cli import _operator
from walnutpoint_cli import _options
from walnutpoint_cli import _table
from walnutpoint_cli import exit_code

__all__ = ('Report',)

_FAULT_FIELDS: typing.Final = ('field', 'given', 'allowed', 'in_force')


class Report:
    """Prints results to one stream and progress to another."""

    __slots__ = ('_err', '_out', '_output')

    def __init__(
        self,
        output: _options.Output,
        out: typing.TextIO | None = None,
        err: typing.TextIO | None = None,
    ) -> None:
        self._output = output
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def progress(self, line: str) -> None:
        """Print a progress line."""
        print(_table.printable(line), file=self._err, flush=True)

    def struct(self, result: msgspec.Struct) -> None:
        """Print a result that has only scalar fields."""
        fields = msgspec.to_builtins(result)
        if self._output is _options.Output.JSON:
            self._json(fields)
            return
        shown = {
            key: value for key, value in fields.items() if value is not None
        }
        print(_table.lines(shown), file=self._out)

    def rows(self, fields: dict[str, typing.Any], name: str) -> None:
        """Print a result whose main part is a list."""
        if self._output is _options.Output.JSON:
            self._json(fields)
            return
        listed = fields.get(name, [])
        other_fields = {
            key: value for key, value in fields.items() if key != name
        }
        parts = [_table.columns(listed)]
        if other_fields:
            parts.insert(0, _table.lines(other_fields))
        print('\n\n'.join(parts), file=self._out)

    def document(self, fields: dict[str, typing.Any]) -> None:
        """Print a document for editing."""
        if self._output is _options.Output.JSON:
            self._json(fields)
            return
        text = yaml.safe_dump(fields, allow_unicode=True, sort_keys=False)
        lines = (_table.printable(line) for line in text.splitlines())
        print('\n'.join(lines), file=self._out)

    def failure(
        self, reply: _operator.Reply, submission_id: str = ''
    ) -> exit_code.ExitCode:
        """Print a failure, and return its exit code."""
        faults = reply.fields.get('faults', [])
        if self._output is _options.Output.JSON:
            fields = {
                'verdict': reply.code.name.lower(),
                'failure': reply.detail,
                'faults': faults,
            }
            if submission_id:
                fields['submission_id'] = submission_id
            self._json(fields)
            return reply.code
        print(_table.printable(reply.detail), file=self._out)
        if faults:
            rows = [
                {name: fault.get(name) or None for name in _FAULT_FIELDS}
                for fault in faults
            ]
            print(f'\n{_table.columns(rows)}', file=self._out)
        if submission_id and reply.code is exit_code.ExitCode.UNKNOWN:
            print(
                'It is unknown whether it was accepted: send it again with '
                f'--submission_id {submission_id}',
                file=self._out,
            )
        return reply.code

    def _json(self, fields: dict[str, typing.Any]) -> None:
        print(msgspec.json.encode(fields).decode(), file=self._out)
