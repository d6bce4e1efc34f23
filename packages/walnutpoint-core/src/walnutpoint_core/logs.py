"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
import typing

import structlog

__all__ = (
    'configure',
    'get_logger',
)

_QUIET_LIBRARIES: typing.Final = ('httpcore', 'httpx', 'hypercorn')


def configure(level: str) -> None:
    """Write every event at or above a level to standard error."""
    for library in _QUIET_LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)
    minimum = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> typing.Any:
    """Return the logger of one module."""
    return structlog.get_logger(part=name)
