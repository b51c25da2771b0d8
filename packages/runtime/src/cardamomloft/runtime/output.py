"""Standard output that never blocks the loop: what a slow reader does not take is left out."""

import json
import os

PENDING_BYTES = 256 * 1024
"""Bytes kept for a reader that is behind: about six seconds of 100 lines of 413 bytes,
the mean of the 3,844 lines about requests of one recorded day."""


class LogOutput:
    """A file-like object for log lines, over a descriptor that is made non-blocking.

    Parameters
    ----------
    descriptor
        Where the lines go.
    pending_bytes
        How much is kept while the reader is behind; whole lines beyond it are left out, and
        their number is logged when there is room again.
    """

    def __init__(self, descriptor: int, pending_bytes: int = PENDING_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = pending_bytes
        self._pending = bytearray()
        self.left_out = 0

    def write(self, line: bytes) -> int:
        """Take one line, with its line end."""
        self.flush()
        if self.left_out and not self._pending:
            note = {"message_type": "cardamomloft:lines-left-out", "count": self.left_out}
            self._pending += json.dumps(note).encode() + b"\n"
            self.left_out = 0
        if len(self._pending) + len(line) <= self._limit:
            self._pending += line
        elif line:
            self.left_out += 1
        return len(line)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone for good, and there is nowhere else to say so.
                self._pending.clear()
                return
            del self._pending[:written]
