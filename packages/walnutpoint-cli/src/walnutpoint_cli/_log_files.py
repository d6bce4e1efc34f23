"""Reading of log files of several hosts."""

from __future__ import annotations

import collections.abc
import pathlib
import sys
import typing

from walnutpoint_cli import _timeline

__all__ = ('LogFiles',)

_STANDARD_INPUT: typing.Final = '-'


class LogFiles:
    """Reads structured lines, and counts the lines that are skipped."""

    __slots__ = ('_paths', 'passed_over')

    def __init__(self, paths: collections.abc.Sequence[str]) -> None:
        """Set the paths; - stands for standard input."""
        self._paths = paths
        # Number of truncated or unstructured lines.
        self.passed_over = 0

    def lines(self) -> collections.abc.Iterator[_timeline.LogLine]:
        """Yield the lines; raise OSError for an unreadable file."""
        for name in self._paths:
            if name == _STANDARD_INPUT:
                yield from self._parse(sys.stdin, 'stdin')
                continue
            path = pathlib.Path(name)
            with path.open(encoding='utf-8', errors='replace') as stream:
                yield from self._parse(stream, path.stem)

    def _parse(
        self, texts: collections.abc.Iterable[str], source: str
    ) -> collections.abc.Iterator[_timeline.LogLine]:
        for text in texts:
            line = _timeline.parse_line(text, source)
            if line is None:
                self.passed_over += 1
            else:
                yield line
