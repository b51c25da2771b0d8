"""Log output that never blocks the event loop: lines for a slow reader are dropped."""

import json
import os

MAX_PENDING_BYTES = 256 * 1024
"""Bytes buffered for a slow reader, enough for a few seconds of request log lines."""


class LogOutput:
    """A file-like object that writes log lines to a descriptor, which becomes non-blocking.

    Parameters
    ----------
    descriptor
        The file descriptor to write to.
    max_pending_bytes
        Bytes buffered for a slow reader. A line that would exceed it is dropped, and the number
        of dropped lines is logged once the buffer is empty.

    Attributes
    ----------
    dropped_lines
        Number of dropped lines that has not been logged yet.
    """

    def __init__(self, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = max_pending_bytes
        self._pending = bytearray()
        self.dropped_lines = 0

    def write(self, line: bytes) -> int:
        """Write or buffer one line, which includes its line end, or drop it."""
        self.flush()
        if self.dropped_lines and not self._pending:
            note = {"message_type": "cardamomloft:lines-left-out", "count": self.dropped_lines}
            self._pending += json.dumps(note).encode() + b"\n"
            self.dropped_lines = 0
        if len(self._pending) + len(line) <= self._limit:
            self._pending += line
        elif line:
            self.dropped_lines += 1
        return len(line)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; there is nowhere else to log this.
                self._pending.clear()
                return
            del self._pending[:written]
