"""Non-blocking, buffered writing of lines to a file descriptor."""

from __future__ import annotations

import asyncio
import collections
import os
import typing

__all__ = ('LineWriter',)

# Some ten seconds of the heaviest load.
_QUEUE_MAX_LINES: typing.Final = 4000
# Batching lines saves a system call per line.
_FLUSH_DELAY_S: typing.Final = 0.05
# Writes of up to PIPE_BUF bytes are atomic (POSIX): lines of several
# processes that share a pipe are not interleaved.
_BATCH_MAX_BYTES: typing.Final = 4096


class LineWriter:
    """Writes lines without blocking, and drops lines on overflow.

    A blocking write would stop the whole process once the reader of the
    descriptor stops reading.
    """

    __slots__ = (
        '_buffer',
        '_fd',
        '_lines',
        '_loop',
        '_lost_total',
        '_lost_unreported',
        '_scheduled',
    )

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: collections.deque[str] = collections.deque()
        self._buffer = b''
        # Lines lost since the last log.lost event, and in total.
        self._lost_unreported = 0
        self._lost_total = 0
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(fd, False)

    @property
    def lost(self) -> int:
        """Return how many lines were lost since the process started."""
        return self._lost_total

    def write_line(self, line: str) -> None:
        """Queue a line, or drop it when the queue is full."""
        if len(self._lines) >= _QUEUE_MAX_LINES:
            self._lost_unreported += 1
            self._lost_total += 1
            return
        self._lines.append(line)
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._loop is not loop:
            # The loop of the scheduled flush has ended.
            self._loop, self._scheduled = loop, False
        if not self._scheduled:
            self._scheduled = True
            loop.call_later(_FLUSH_DELAY_S, self._flush_and_reschedule)

    def flush(self) -> bool:
        """Write until the descriptor blocks; return whether all is out."""
        while self._lines or self._buffer:
            if not self._buffer:
                self._buffer = self._next_batch()
            try:
                written = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the descriptor.
                self._lost_total += len(self._lines)
                self._lines.clear()
                self._buffer = b''
                return True
            self._buffer = self._buffer[written:]
        return True

    def _flush_and_reschedule(self) -> None:
        self._scheduled = not self.flush()
        if self._scheduled and self._loop is not None:
            self._loop.call_later(_FLUSH_DELAY_S, self._flush_and_reschedule)

    def _next_batch(self) -> bytes:
        parts = []
        if self._lost_unreported:
            parts.append(
                f'level=warning event=log.lost lines={self._lost_unreported}'
            )
            self._lost_unreported = 0
        size = 0
        while self._lines:
            size += len(self._lines[0]) + 1
            if parts and size > _BATCH_MAX_BYTES:
                break
            parts.append(self._lines.popleft())
        return ('\n'.join(parts) + '\n').encode(errors='replace')
