"""The exit codes of the command line."""

from __future__ import annotations

import enum

__all__ = ('ExitCode',)


class ExitCode(enum.IntEnum):
    """The exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    NOT_IN_FORCE = 7
    JOB_FAILED = 8
    NOT_ENDED = 9
