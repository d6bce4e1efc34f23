"""Lines to a descriptor that never hold up the process."""

from __future__ import annotations

import asyncio
import collections
import os
import typing

__all__ = ('LineWriter',)

# Lines that wait for a reader: some ten seconds of the heaviest load.
_LINES_MAX: typing.Final = 4000
# Lines are joined for this long, which saves a system call a line.
_JOIN_S: typing.Final = 0.05
# A pipe takes this much whole or not at all (POSIX, PIPE_BUF): lines of
# several processes that share one are not torn apart.
_JOINED_BYTES: typing.Final = 4096


class LineWriter:
    """Writes lines without blocking; what does not fit is counted.

    A reader that stops reading would otherwise stop the process at its next
    line, and with it every caller.
    """

    __slots__ = (
        '_fd',
        '_lines',
        '_loop',
        '_lost',
        '_lost_total',
        '_rest',
        '_scheduled',
    )

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: collections.deque[str] = collections.deque()
        self._rest = b''
        # Lines dropped since the last line that says so, and in all.
        self._lost = 0
        self._lost_total = 0
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(fd, False)

    @property
    def lost(self) -> int:
        """Return how many lines were dropped since the process began."""
        return self._lost_total

    def write_line(self, line: str) -> None:
        """Queue a line."""
        if len(self._lines) >= _LINES_MAX:
            self._lost += 1
            self._lost_total += 1
            return
        self._lines.append(line)
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._loop is not loop:
            # The loop that was to write has ended.
            self._loop, self._scheduled = loop, False
        if not self._scheduled:
            self._scheduled = True
            loop.call_later(_JOIN_S, self._flush_later)

    def flush(self) -> bool:
        """Write what the descriptor takes; tell whether that was all."""
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._join()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more: there is nobody to tell.
                self._lost_total += len(self._lines)
                self._lines.clear()
                self._rest = b''
                return True
            self._rest = self._rest[written:]
        return True

    def _flush_later(self) -> None:
        self._scheduled = not self.flush()
        if self._scheduled and self._loop is not None:
            self._loop.call_later(_JOIN_S, self._flush_later)

    def _join(self) -> bytes:
        parts = []
        if self._lost:
            parts.append(f'level=warning event=log.lost lines={self._lost}')
            self._lost = 0
        size = 0
        while self._lines:
            size += len(self._lines[0]) + 1
            if parts and size > _JOINED_BYTES:
                break
            parts.append(self._lines.popleft())
        return ('\n'.join(parts) + '\n').encode(errors='replace')
