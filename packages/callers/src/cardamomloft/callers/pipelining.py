"""Limits for handling pipelined requests concurrently.

A caller may send requests before the first is answered, and gets the answers in the order of its
requests. Handling them one after the other makes short requests wait for long ones. Handling them
concurrently needs memory for answers that are complete before their turn. Requests overlap only if
all of them are idempotent (RFC 9112, section 9.3.2), since others may depend on earlier ones.
"""

import typing as t

MAX_REQUESTS_PER_CONNECTION = 8
"""Maximum number of requests of one connection that are handled concurrently."""

MAX_HELD_BYTES_PER_CONNECTION = 512 * 1024
"""Bytes of held answers at which a connection reads no further request.

Twice the largest answer that a gateway buffers.
"""

MAX_REQUESTS_AHEAD = 64
"""Maximum number of requests handled ahead of their turn on all connections of a process."""

MAX_HELD_BYTES = 8 * 1024 * 1024
"""Bytes of held answers on all connections at which no further request is read.

Together with the answers of requests that are already running, at most 24 MB are held.
"""


class PipelineBudget:
    """Requests and memory in use for pipelining on all connections of a process.

    Attributes
    ----------
    requests
        Number of requests that are handled ahead of their turn.
    held_bytes
        Size of the complete answers that wait for their turn.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.held_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether no further request may be handled ahead of its turn."""
        return self.requests >= MAX_REQUESTS_AHEAD or self.held_bytes >= MAX_HELD_BYTES


class PipelineUsage:
    """The share of the pipelining budget that one request uses.

    Parameters
    ----------
    budget
        The budget that is charged while the request is ahead of its turn.
    """

    def __init__(self, budget: PipelineBudget) -> None:
        self._budget = budget
        self._ahead = False
        self.held_bytes = 0

    def start_ahead(self) -> None:
        """Charge the budget for a request that is handled ahead of its turn."""
        self._ahead = True
        self._budget.requests += 1

    def hold_answer(self, size: int) -> None:
        """Charge the budget for a held answer of `size` bytes."""
        self.held_bytes += size
        self._budget.held_bytes += size

    def release(self) -> None:
        """Release everything charged: it is the request's turn or the caller disconnected."""
        self._budget.requests -= self._ahead
        self._budget.held_bytes -= self.held_bytes
        self._ahead, self.held_bytes = False, 0


def may_read_next(usages: t.Sequence[PipelineUsage], budget: PipelineBudget) -> bool:
    """Return whether a connection with the open requests `usages` may read another request."""
    if not usages:
        return True
    if len(usages) >= MAX_REQUESTS_PER_CONNECTION or budget.is_exhausted:
        return False
    return sum(usage.held_bytes for usage in usages) < MAX_HELD_BYTES_PER_CONNECTION
