"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
import typing

import structlog

from walnutpoint_core import _line_writer
from walnutpoint_core import _rate

__all__ = (
    'configure',
    'configure_stdout',
    'flush',
    'get_logger',
    'left_out',
    'lost',
)

_QUIET_LIBRARIES: typing.Final = ('httpcore', 'httpx', 'hypercorn')
_STDOUT_FD: typing.Final = 1
_writers: list[_line_writer.LineWriter] = []
_rate_limiter: typing.Final = _rate.RateLimit()


class _LineLogger:
    """Passes rendered lines to a writer."""

    __slots__ = ('_write',)

    def __init__(self, writer: _line_writer.LineWriter) -> None:
        self._write = writer.write_line

    def msg(self, message: str) -> None:
        """Write one line."""
        self._write(message)

    debug = info = warning = error = critical = exception = msg


def configure(level: str) -> None:
    """Write every event at or above a level to standard error."""
    _configure(level, structlog.PrintLoggerFactory(file=sys.stderr))


def configure_stdout(level: str) -> None:
    """Write events to standard output without ever blocking."""
    writer = _line_writer.LineWriter(_STDOUT_FD)
    _writers.append(writer)
    _configure(level, lambda *_args: _LineLogger(writer))


def lost() -> int:
    """Return how many lines the reader was too slow for."""
    return sum(writer.lost for writer in _writers)


def left_out() -> int:
    """Return how many lines the rate limit left out."""
    return _rate_limiter.left_out


def flush() -> None:
    """Write the queued lines until the descriptors block."""
    for writer in _writers:
        writer.flush()


def get_logger(name: str) -> typing.Any:
    """Return the logger of one module."""
    return structlog.get_logger(part=name)


def _configure(level: str, factory: typing.Any) -> None:
    for library in _QUIET_LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)
    minimum = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            _rate_limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
