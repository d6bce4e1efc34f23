"""The program walnutpoint: send requests, and show what happens to them.

Usage: walnutpoint COMMAND [FLAGS]

Commands:
  request     send one request, or --count of them, and say what became of it
  status      show the state of one entry process
  endpoints   show the endpoints, their owners and their slots
  owners      show the entry processes and what they own
  explain ID  show what happened to the request with this id

Exit codes:
  0  done
  1  refused: the request did not run, or the view was refused
  2  usage error
  3  unknown outcome: the request may have run
  4  cannot reach the address; nothing was sent
With --count the code is that of the worst: 3, then 4, then 1, then 0.
"""

from __future__ import annotations

import collections.abc
import functools
import logging
import sys

from absl import app
from absl import flags
import anyio

from walnutpoint_cli import _command_request
from walnutpoint_cli import _command_view
from walnutpoint_cli import _flags
from walnutpoint_cli import exit_code

__all__ = (
    'main',
    'run',
)

_HELP_FLAGS = frozenset(('-h', '-help', '--help', '--helpfull'))
_REQUEST = 'request'


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=_parse)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Execute the command that the arguments name."""
    # The HTTP client logs each request at a level that absl prints.
    logging.getLogger('httpx').setLevel(logging.WARNING)
    try:
        return anyio.run(_command(arguments[1:]))
    except flags.Error as fault:
        return _usage(fault)


def _parse(arguments: collections.abc.Sequence[str]) -> list[str]:
    # absl's own help ends with exit code 1.
    if _HELP_FLAGS.intersection(arguments) or arguments[1:] == ['help']:
        print(f'{__doc__}\nFlags:\n{_flags.help_text()}')
        sys.exit(exit_code.ExitCode.DONE)
    try:
        return _flags.parse(arguments)
    except flags.Error as fault:
        sys.exit(_usage(fault))


def _command(
    words: collections.abc.Sequence[str],
) -> collections.abc.Callable[
    [], collections.abc.Awaitable[exit_code.ExitCode]
]:
    names = [_REQUEST, *(view.value for view in _command_view.View)]
    if not words or words[0] not in names:
        raise flags.Error(f'the command must be one of {", ".join(names)}')
    subjects = words[1:]
    wanted = int(words[0] == _command_view.View.EXPLAIN.value)
    if len(subjects) != wanted:
        raise flags.Error(f'{words[0]} takes {wanted} arguments')
    if words[0] == _REQUEST:
        return functools.partial(
            _command_request.execute, _flags.request_options(), sys.stdout
        )
    return functools.partial(
        _command_view.execute,
        _command_view.View(words[0]),
        ''.join(subjects),
        _flags.operator_options(),
        sys.stdout,
    )


def _usage(fault: flags.Error) -> exit_code.ExitCode:
    print(f'walnutpoint: {fault}; see --help', file=sys.stderr)
    return exit_code.ExitCode.USAGE
