"""The commands by their names, and the arguments that each takes."""

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
from walnutpoint_cli import _command_course
from walnutpoint_cli import _command_document
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
_Words: typing.TypeAlias = tuple[str, ...]
_LogCommand: typing.TypeAlias = collections.abc.Callable[
    [_Words, _options.Output, str | None, typing.TextIO],
    collections.abc.Awaitable[exit_code.ExitCode],
]

_REQUEST: typing.Final = 'request'
_MODEL: typing.Final = 'model'
_ACCOUNTS: typing.Final = 'accounts'
_WAITS: typing.Final = 'waits'
_LOSSES: typing.Final = 'losses'
_EXPLAIN: typing.Final = _command_view.View.EXPLAIN.value
_VIEWS: typing.Final = tuple(view.value for view in _command_view.View)
_JOB: typing.Final = re.compile(r'[^/\s]+/[^/\s]+')


def find(name: str, words: _Words) -> Command:
    """Return a command with its arguments; faulty ones raise flags.Error."""
    if name == _REQUEST:
        _take(name, words, 0)
        return functools.partial(
            _command_request.execute, _flags.request_options(), sys.stdout
        )
    if name == _MODEL:
        return _model(words)
    if name == _ACCOUNTS:
        return _of_logs(name, _command_accounts.execute, words)
    if name == _WAITS:
        return _of_logs(name, _command_waits.execute, words)
    if name == _LOSSES:
        return _of_logs(name, _command_losses.execute, words)
    if name == _EXPLAIN and len(words) > 1:
        return functools.partial(
            _command_course.execute, words[0], words[1:], sys.stdout
        )
    if name in _VIEWS:
        wanted = int(name == _command_view.View.EXPLAIN.value)
        _take(name, words, wanted)
        return functools.partial(
            _command_view.execute,
            _command_view.View(name),
            ''.join(words),
            _flags.operator_options(),
            sys.stdout,
        )
    options = _flags.document_options()
    return _DOCUMENT_COMMANDS[name](
        words, options, _report.Report(options.output)
    )


def _model(words: _Words) -> Command:
    """Return the play of one policy, or of all to compare them."""
    if len(words) == 3 and words[0] == 'run':
        wanted: _Words = (words[2],)
    elif len(words) == 2 and words[0] == 'compare':
        wanted = ()
    else:
        raise flags.Error('model takes run FILE POLICY, or compare FILE')
    return functools.partial(
        _command_model.execute,
        words[1],
        wanted,
        _flags.plot_path(),
        sys.stdout,
    )


def _of_logs(name: str, execute: _LogCommand, words: _Words) -> Command:
    if not words:
        raise flags.Error(f'{name} takes one log file or more')
    return functools.partial(
        _read_logs,
        execute,
        words,
        _flags.output_form(),
        _flags.plot_path(),
        sys.stdout,
    )


async def _read_logs(
    execute: _LogCommand,
    files: _Words,
    form: _options.Output,
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    try:
        code = await execute(files, form, plot, output)
        output.flush()
    except BrokenPipeError:
        # The reader has seen enough, as head does; the interpreter would
        # flush what is left once more.
        os.dup2(os.open(os.devnull, os.O_WRONLY), output.fileno())
        return exit_code.ExitCode.DONE
    return code


def _take(name: str, words: _Words, wanted: int) -> None:
    if len(words) != wanted:
        raise flags.Error(f'{name} takes {wanted} arguments')


def _jobs(words: _Words) -> _Words:
    for word in words:
        if not _JOB.fullmatch(word):
            raise flags.Error(f'{word!r} is not the TEAM/JOB of a job')
    return words


def _apply(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    _take('apply', words, 1)
    text = _flags.document_text(words[0])
    return functools.partial(_command_document.apply, text, options, report)


def _diff(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    _take('diff', words, 1)
    text = _flags.document_text(words[0])
    return functools.partial(_command_document.compare, text, options, report)


def _get(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    _take('get', words, 0)
    return functools.partial(_command_document.fetch, options, report)


def _cancel(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    if not words:
        raise flags.Error('cancel takes the TEAM/JOB of one job or more')
    return functools.partial(
        _command_document.cancel, _jobs(words), options, report
    )


def _history(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    _take('history', words, 0)
    return functools.partial(_command_config.history, options, report)


def _config(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    if words != ('status',):
        raise flags.Error('config takes the word status')
    return functools.partial(_command_config.status, options, report)


def _show_jobs(
    words: _Words, options: _options.DocumentOptions, report: _report.Report
) -> Command:
    if len(words) > 1:
        raise flags.Error('jobs takes one TEAM/JOB or none')
    if not words:
        return functools.partial(_command_jobs.show_all, options, report)
    job = _jobs(words)[0]
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
