"""Requests that wait at a gateway, and the state of the queue of each service."""

import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.estimates import expected_load
from cardamomloft.core.model import Refusal
from cardamomloft.core.queueing.returns import CallerIdentity
from cardamomloft.core.queueing.servicequeue import ANONYMOUS, QueueBounds, ServiceQueue, Waiter
from cardamomloft.core.selection import Choice
from cardamomloft.core.upstreamtable import Upstream
from cardamomloft.gateway.calls import Call
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

ASSUMED_TIMEOUT_FRACTION = 0.25
"""Maximum of the assumed duration of a request, as a fraction of its rule's timeout."""

Choose = Callable[[], Choice | Refusal]


class HeldRequest(Waiter):
    """A waiting request of one run.

    Attributes
    ----------
    choose
        Returns an endpoint or a refusal at the present time.
    decided
        Fires with the choice or the refusal.
    overload
        The refusal of the last attempt.
    """

    __slots__ = ("choose", "decided", "overload")

    choose: Choose
    decided: "Deferred[Choice | Refusal]"
    overload: Refusal


class QueuedService:
    """The queue of one service with its timer."""

    def __init__(self, bounds: QueueBounds) -> None:
        self.queue = ServiceQueue(bounds)
        self.timer: IDelayedCall | None = None
        self.turn_due = False
        self.in_turn = False
        self.passed_over: dict[str, int] = {}
        self.counts: Counter[str] = Counter()
        self.logged: Counter[str] = Counter()

    def keeps_free(self, held: HeldRequest, upstream: Upstream, now: timedelta) -> bool:
        """Return whether the queue of an endpoint is kept free for other requests.

        A request that has waited and can only be answered late would make others late too, so it is
        sent only to an endpoint with a free slot. Less urgent ones are not sent to that endpoint
        in its place. Callers that return at the time that they were told are sent in any case.
        """
        passed_over = self.passed_over.get(upstream.id)
        if passed_over is not None and passed_over < held.priority:
            return True
        full = expected_load(upstream, now) >= upstream.registration.slots
        waits = held.admitted and not held.returning
        if waits and full and self.queue.is_late(held, now):
            self.passed_over.setdefault(upstream.id, held.priority)
            return True
        return False

    def fields(self, now: timedelta) -> dict[str, t.Any]:
        """Return the values for a log line or the status page."""
        rate = self.queue.estimate.rate(0, now)
        return {
            "waiting": len(self.queue),
            "bytes": self.queue.size,
            "longest_wait_ms": self.queue.longest_wait(now) // timedelta(milliseconds=1),
            "completed_per_s": None if rate is None else round(rate, 2),
            "told_to_return": len(self.queue.returns.expected),
        }

    def grown_fields(self, now: timedelta) -> dict[str, t.Any] | None:
        """Return the values for a log line, with what was decided since the last call.

        None if no request waits and none was refused.
        """
        grown = self.counts - self.logged
        self.logged = self.counts.copy()
        if not len(self.queue) and not any(name.startswith("refused") for name in grown):
            return None
        return {**self.fields(now), "counts": dict(grown)}

    def metrics_text(self, name: str, now: timedelta) -> str:
        """Return the length and the longest wait for the metrics page."""
        label = f'{{service="{name}"}}'
        longest = self.queue.longest_wait(now).total_seconds()
        return (
            f"cardamomloft_queue_waiting{label} {len(self.queue)}\n"
            f"cardamomloft_queue_longest_wait_seconds{label} {longest:g}\n"
        )


def account_of(call: Call) -> tuple[str, float]:
    """Return the name of the caller's account and the rate of its quota, 0 without one."""
    if call.account is None:
        return ANONYMOUS, 0.0
    return call.account.name, call.account.rate_per_s


def assumed_duration(call: Call) -> timedelta:
    """Return the time that an answer takes, while none was observed.

    Rules without a target have the timeout as their target, which no request could meet.
    """
    return min(call.rule.target, call.rule.timeout * ASSUMED_TIMEOUT_FRACTION)


def identity_of(call: Call, address: str) -> CallerIdentity:
    """Return by what the caller is recognised when it returns.

    Without an affinity key, `call.key` differs for each attempt, so the path stands for it.
    """
    key = call.key if call.rule.keyed else call.target
    if call.account is None:
        return CallerIdentity(address, True, key)
    return CallerIdentity(call.account.name, False, key)
