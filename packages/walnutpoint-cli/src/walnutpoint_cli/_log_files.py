"""Log files of several hosts, read line by line."""

from __future__ import annotations

import collections.abc
import pathlib
import sys
import typing

from walnutpoint_cli import _course

__all__ = ('LogFiles',)

_STANDARD_INPUT: typing.Final = '-'


class LogFiles:
    """Reads structured lines, and counts all others."""

    __slots__ = ('_names', 'passed_over')

    def __init__(self, names: collections.abc.Sequence[str]) -> None:
        """Name the files; - is standard input."""
        self._names = names
        # Lines that are cut, or not of this system.
        self.passed_over = 0

    def lines(self) -> collections.abc.Iterator[_course.Line]:
        """Return the lines; raise OSError where a file can't be read."""
        for name in self._names:
            if name == _STANDARD_INPUT:
                yield from self._parse(sys.stdin, 'stdin')
                continue
            path = pathlib.Path(name)
            with path.open(encoding='utf-8', errors='replace') as stream:
                yield from self._parse(stream, path.stem)

    def _parse(
        self, texts: collections.abc.Iterable[str], source: str
    ) -> collections.abc.Iterator[_course.Line]:
        for text in texts:
            line = _course.parse_line(text, source)
            if line is None:
                self.passed_over += 1
            else:
                yield line
