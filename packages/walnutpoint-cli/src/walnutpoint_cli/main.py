"""The program walnutpoint: send requests and documents, and show their state.

Usage: walnutpoint COMMAND [FLAGS]

Commands:
  request     send one request, or --count of them, and show the outcome
  status      show the state of one entry process
  endpoints   show the endpoints, their owners and their slots
  owners      show the entry processes and what they own
  explain ID  show what happened to the request with this id
  explain ID FILE...  show the timeline of a job from logs of several hosts;
              - reads standard input
  accounts FILE...  show from log files the use of client accounts, and
              the callers refused for their key; --output json, --plot FILE
  waits FILE...  show from log files the waits of each queue by cause, its
              refusals and lost work; --output json, --plot FILE
  losses FILE...  show from log files the late and lost jobs, where the
              time went, and what was out of reach; --output json, --plot FILE
  model run FILE POLICY    simulate a policy of an experiment in virtual time
  model compare FILE       simulate every policy of an experiment
  apply FILE  put a document in force; - reads standard input
  diff FILE   show what a document would change
  get         show the configuration as a document to edit, or of one --team
  cancel TEAM/JOB...  cancel jobs
  history     show the accepted documents
  config status       show the revision in force in each process
  jobs [TEAM/JOB]     show jobs, or one with its tasks

Exit codes:
  0  done
  1  refused: the request did not run, the document or view was refused
  2  usage error
  3  unknown outcome: the request may have run, the document may be accepted
  4  cannot reach the address; nothing was sent
  5  conflict: another operator changed the same field meanwhile
  6  unavailable: the document was not accepted; try again later
  7  not in force everywhere: time ran out, or revisions differ
  8  the job has failed or was cancelled
  9  the job had not ended when the time ran out
With --count the worst outcome decides: 3, then 4, then 1, then 0.
"""

from __future__ import annotations

import collections.abc
import logging
import sys

from absl import app
from absl import flags
import anyio

from walnutpoint_cli import _commands
from walnutpoint_cli import _flags
from walnutpoint_cli import exit_code

__all__ = (
    'main',
    'run',
)

_HELP_FLAGS = frozenset(('-h', '-help', '--help', '--helpfull'))


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=_parse)


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Execute the command that the arguments name."""
    # absl prints the level at which httpx logs each request.
    logging.getLogger('httpx').setLevel(logging.WARNING)
    try:
        return anyio.run(_command(arguments[1:]))
    except flags.Error as fault:
        return _usage(fault)


def _parse(arguments: collections.abc.Sequence[str]) -> list[str]:
    # The help of absl exits with code 1.
    if _HELP_FLAGS.intersection(arguments) or arguments[1:] == ['help']:
        print(f'{__doc__}\nFlags:\n{_flags.help_text()}')
        sys.exit(exit_code.ExitCode.DONE)
    try:
        return _flags.parse(arguments)
    except flags.Error as fault:
        sys.exit(_usage(fault))


def _command(words: collections.abc.Sequence[str]) -> _commands.Command:
    if not words or words[0] not in _commands.NAMES:
        raise flags.Error(
            f'the command must be one of {", ".join(_commands.NAMES)}'
        )
    return _commands.find(words[0], tuple(words[1:]))


def _usage(fault: flags.Error) -> exit_code.ExitCode:
    print(f'walnutpoint: {fault}; see --help', file=sys.stderr)
    return exit_code.ExitCode.USAGE
