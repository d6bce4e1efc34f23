"""The commands by name, and their arguments."""

from __future__ import annotations

import collections.abc
import functools
import os
import re
import sys
import typing

from absl import flags

from walnutpoint_cli import _command_accounts
from walnutpoint_cli import _command_config
from walnutpoint_cli import _command_document
from walnutpoint_cli import _command_explain
from walnutpoint_cli import _command_jobs
from walnutpoint_cli import _command_losses
from walnutpoint_cli import _command_model
from walnutpoint_cli import _command_request
from walnutpoint_cli import _command_view
from walnutpoint_cli import _command_waits
from walnutpoint_cli import _flags
from walnutpoint_cli import _options
from walnutpoint_cli import _report
from walnutpoint_cli import exit_code

__all__ = (
    'Command',
    'NAMES',
    'find',
)

Command: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[exit_code.ExitCode]
]
_Arguments: typing.TypeAlias = tuple[str, ...]
_LogCommand: typing.TypeAlias = collections.abc.Callable[
    [_Arguments, _options.Output, str | None, typing.TextIO],
    collections.abc.Awaitable[exit_code.ExitCode],
]

_REQUEST: typing.Final = 'request'
_MODEL: typing.Final = 'model'
_ACCOUNTS: typing.Final = 'accounts'
_WAITS: typing.Final = 'waits'
_LOSSES: typing.Final = 'losses'
_EXPLAIN: typing.Final = _command_view.View.EXPLAIN.value
_VIEWS: typing.Final = tuple(view.value for view in _command_view.View)
_JOB_PATTERN: typing.Final = re.compile(r'[^/\s]+/[^/\s]+')


def find(name: str, arguments: _Arguments) -> Command:
    """Return a command with its arguments; raise flags.Error on misuse."""
    if name == _REQUEST:
        _check_count(name, arguments, 0)
        return functools.partial(
            _command_request.execute, _flags.request_options(), sys.stdout
        )
    if name == _MODEL:
        return _model(arguments)
    if name == _ACCOUNTS:
        return _log_command(name, _command_accounts.execute, arguments)
    if name == _WAITS:
        return _log_command(name, _command_waits.execute, arguments)
    if name == _LOSSES:
        return _log_command(name, _command_losses.execute, arguments)
    if name == _EXPLAIN and len(arguments) > 1:
        return functools.partial(
            _command_explain.execute, arguments[0], arguments[1:], sys.stdout
        )
    if name in _VIEWS:
        expected_count = int(name == _command_view.View.EXPLAIN.value)
        _check_count(name, arguments, expected_count)
        return functools.partial(
            _command_view.execute,
            _command_view.View(name),
            ''.join(arguments),
            _flags.operator_options(),
            sys.stdout,
        )
    options = _flags.document_options()
    return _DOCUMENT_COMMANDS[name](
        arguments, options, _report.Report(options.output)
    )


def _model(arguments: _Arguments) -> Command:
    """Return the simulation of one policy, or of all for comparison."""
    if len(arguments) == 3 and arguments[0] == 'run':
        policies: _Arguments = (arguments[2],)
    elif len(arguments) == 2 and arguments[0] == 'compare':
        policies = ()
    else:
        raise flags.Error('model takes run FILE POLICY, or compare FILE')
    return functools.partial(
        _command_model.execute,
        arguments[1],
        policies,
        _flags.plot_path(),
        sys.stdout,
    )


def _log_command(
    name: str, execute: _LogCommand, arguments: _Arguments
) -> Command:
    if not arguments:
        raise flags.Error(f'{name} takes one log file or more')
    return functools.partial(
        _read_logs,
        execute,
        arguments,
        _flags.output_format(),
        _flags.plot_path(),
        sys.stdout,
    )


async def _read_logs(
    execute: _LogCommand,
    files: _Arguments,
    output_format: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    try:
        code = await execute(files, output_format, plot, output)
        output.flush()
    except BrokenPipeError:
        # The reader closed the pipe, as head does; without this the
        # interpreter would fail when it flushes the rest at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), output.fileno())
        return exit_code.ExitCode.DONE
    return code


def _check_count(
    name: str, arguments: _Arguments, expected_count: int
) -> None:
    if len(arguments) != expected_count:
        raise flags.Error(f'{name} takes {expected_count} arguments')


def _jobs(arguments: _Arguments) -> _Arguments:
    for argument in arguments:
        if not _JOB_PATTERN.fullmatch(argument):
            raise flags.Error(f'{argument!r} is not the TEAM/JOB of a job')
    return arguments


def _apply(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    _check_count('apply', arguments, 1)
    text = _flags.document_text(arguments[0])
    return functools.partial(_command_document.apply, text, options, report)


def _diff(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    _check_count('diff', arguments, 1)
    text = _flags.document_text(arguments[0])
    return functools.partial(_command_document.compare, text, options, report)


def _get(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    _check_count('get', arguments, 0)
    return functools.partial(_command_document.fetch, options, report)


def _cancel(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    if not arguments:
        raise flags.Error('cancel takes the TEAM/JOB of one job or more')
    return functools.partial(
        _command_document.cancel, _jobs(arguments), options, report
    )


def _history(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    _check_count('history', arguments, 0)
    return functools.partial(_command_config.history, options, report)


def _config(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    if arguments != ('status',):
        raise flags.Error('config takes the word status')
    return functools.partial(_command_config.status, options, report)


def _show_jobs(
    arguments: _Arguments,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> Command:
    if len(arguments) > 1:
        raise flags.Error('jobs takes one TEAM/JOB or none')
    if not arguments:
        return functools.partial(_command_jobs.show_all, options, report)
    job = _jobs(arguments)[0]
    return functools.partial(_command_jobs.show_one, job, options, report)


_DOCUMENT_COMMANDS: typing.Final = {
    'apply': _apply,
    'diff': _diff,
    'get': _get,
    'cancel': _cancel,
    'history': _history,
    'config': _config,
    'jobs': _show_jobs,
}
NAMES: typing.Final = (
    _REQUEST,
    _MODEL,
    _WAITS,
    _LOSSES,
    _ACCOUNTS,
    *_VIEWS,
    *_DOCUMENT_COMMANDS,
)
