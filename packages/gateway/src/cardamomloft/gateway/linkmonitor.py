"""Monitors this gateway's links to the upstream endpoints, and probes them when it hears of none.

While the links are down, failures say nothing about the endpoints, so none is held against them.
"""

import random
import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.connectivity.probes import PROBE_TIME
from cardamomloft.core.connectivity.reachability import (
    ONE_FAILED_TIME,
    SIGN_DELAY,
    ProbeTarget,
    Reachability,
)
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.observers import ConnectionFailure
from cardamomloft.upstreams.probing import any_true, probe
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IDelayedCall

MAX_LATENESS = timedelta(milliseconds=100)
"""Lateness of a timer above which the process was suspended or busy. Silence until then says
nothing, so that what has arrived meanwhile is read before links are probed."""

READ_DELAY = timedelta(milliseconds=20)
"""Time after a timer in which a connection that is already established is still noticed."""

_EVIDENCE = "links are down"

_MS = timedelta(milliseconds=1)

Probe = Callable[[t.Any, str, timedelta], "Deferred[bool]"]


class _UnconfirmedFailure(t.NamedTuple):
    at: timedelta
    confirmed: "Deferred[bool]"


class _Round(t.NamedTuple):
    """Probes that were started together."""

    started_at: timedelta
    targets: list[ProbeTarget]


class LinkMonitor:
    """Observes the exchanges of a client, and decides whether its links work.

    Parameters
    ----------
    reactor, clock, rng
        The event loop, and sources of time and randomness.
    client
        Sends requests to endpoints; the monitor becomes its observer.
    targets
        Returns the endpoints that may be probed.
    on_changed
        Called when links went down or work again.
    metrics
        Counts probes, failures, and the exchanges that are aborted or suspected.
    probe
        Opens a connection to an address; see :func:`~cardamomloft.upstreams.probing.probe`.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        client: UpstreamClient,
        targets: Callable[[], Iterable[ProbeTarget]],
        on_changed: Callable[[], None],
        metrics: Metrics,
        probe: Probe = probe,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._client = client
        self._targets = targets
        self._on_changed = on_changed
        self._metrics = metrics
        self._probe = probe
        self._reachability = Reachability()
        self._timer: IDelayedCall | None = None
        self._due = timedelta(0)
        self._round: _Round | None = None
        self._round_timer: IDelayedCall | None = None
        self._waiting: list[Deferred[None]] = []
        self._unconfirmed: list[_UnconfirmedFailure] = []
        self._stopped = False
        client.observers.add(self)

    # Observations of the client.

    def sent(self, address: str) -> None:
        """Observe the start of an exchange."""
        self._reachability.record_sent(self._clock.monotonic())
        self._schedule()

    def connected(self, address: str, took: timedelta) -> None:
        """Observe that a new connection is established."""
        self._metrics.count("connections.opened")
        self.reached(address, took)

    def reached(self, address: str, took: timedelta) -> None:
        """Observe that a probe was accepted."""
        now = self._clock.monotonic()
        self._reachability.record_connected(address, now, took)
        self._confirm_failures_before(now - SIGN_DELAY)

    def answered(self, address: str) -> None:
        """Observe the head of an answer."""
        now = self._clock.monotonic()
        self._reachability.record_answer(address, now)
        self._confirm_failures_before(now - SIGN_DELAY)

    def failed(self, address: str, reason: ConnectionFailure) -> None:
        """Observe that there is no connection, or that one was lost before an answer began."""
        self._metrics.count("connections.failed")
        self._reachability.record_failure(address, self._clock.monotonic())
        self._schedule()

    def ended(self, address: str) -> None:
        """Observe the end of the wait for an answer."""
        self._reachability.record_end()

    # Decisions.

    @property
    def down(self) -> bool:
        """Whether no new connection to any endpoint can be established."""
        return self._reachability.down

    def may_send(self, address: str) -> bool:
        """Return whether a request may be sent to the endpoint at `address`."""
        if not self.down:
            return True
        now, connected = self._clock.monotonic(), self._client.has_idle(address)
        return self._reachability.may_send(now, connected=connected)

    def may_send_any(self) -> bool:
        """Return whether requests may be sent to endpoints with open connections."""
        return self._reachability.connections_work(self._clock.monotonic())

    def is_suspected(self) -> bool:
        """Return whether several endpoints have failed and none has given a sign since."""
        return self.down or self._round is not None or self._reachability.failed_count > 1

    def verdict(self) -> "Deferred[None]":
        """Return a Deferred that fires once it is known whether failures are those of the links."""
        may_probe = self._reachability.may_probe(self._clock.monotonic())
        if self._stopped or self.down or not (self._round or may_probe):
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        if self._round is None:
            self._start_probe()
        return waiting

    def confirm(self) -> "Deferred[bool]":
        """Return a Deferred of whether links worked when the last failure was observed.

        It fires once an endpoint gives a sign or a probe has ended. When all connections are reset,
        the first failure can't be told from that of a single endpoint before.
        """
        if self._stopped or self.down:
            return succeed(False)
        confirmed: Deferred[bool] = Deferred()
        self._unconfirmed.append(_UnconfirmedFailure(self._clock.monotonic(), confirmed))
        self._schedule()
        return confirmed

    def status(self) -> dict[str, t.Any]:
        """Return the state of the links for the status page."""
        now, down_since = self._clock.monotonic(), self._reachability.down_since
        return {
            "down": self.down,
            "down_ms": None if down_since is None else (now - down_since) // _MS,
            "open_connections_work": self._reachability.connections_work(now),
            "failed_endpoints": self._reachability.failed_count,
        }

    def stop(self) -> None:
        """Stop probing."""
        self._stopped = True
        for timer in (self._timer, self._round_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._release()
        self._end_unconfirmed(self._clock.monotonic(), works=False)

    # Probes.

    def _next_probe(self) -> timedelta | None:
        due = self._reachability.next_probe()
        if not self._unconfirmed:
            return due
        confirmed_by = self._unconfirmed[0].at + ONE_FAILED_TIME
        return confirmed_by if due is None else min(due, confirmed_by)

    def _schedule(self) -> None:
        due = self._next_probe()
        if due is None or self._round is not None or self._stopped:
            return
        if self._timer is not None and self._timer.active():
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        delay = max(timedelta(0), due - self._clock.monotonic())
        self._timer = self._reactor.callLater(delay.total_seconds(), self._check)

    def _check(self) -> None:
        self._timer = None
        now, due = self._clock.monotonic(), self._next_probe()
        if now - self._due > MAX_LATENESS and due is not None:
            self._due = now
            self._timer = self._reactor.callLater(MAX_LATENESS.total_seconds() / 2, self._check)
        elif due is not None and due <= now:
            self._start_probe()
        else:
            self._schedule()
        self._suspect_exchanges()

    def _start_probe(self) -> None:
        started_at = self._clock.monotonic()
        targets = self._reachability.targets(self._targets(), self._rng)
        self._reachability.start_probe(started_at)
        if not targets:
            self._release()
            # Without other endpoints nothing speaks against a failure of this one.
            self._end_unconfirmed(started_at, works=True)
            self._schedule()
            return
        self._round = current = _Round(started_at, targets)
        limit = self._reachability.probe_timeout(started_at).total_seconds()
        self._round_timer = self._reactor.callLater(limit, self._expire, current)
        probes = [self._probe_one(target.address) for target in targets]
        any_true(probes).addCallback(self._end_probe, current)

    def _probe_one(self, address: str) -> "Deferred[bool]":
        self._metrics.count("probes")
        started_at = self._clock.monotonic()

        def record(connected: bool) -> bool:
            if connected and not self._stopped:
                self._client.observers.reached(address, self._clock.monotonic() - started_at)
            return connected

        return self._probe(self._reactor, address, PROBE_TIME).addCallback(record)

    def _expire(self, expired: _Round) -> None:
        """Wait until sockets are read, as timers run before, and judge what is known then."""
        self._round_timer = self._reactor.callLater(
            READ_DELAY.total_seconds(), self._end_round, expired, connected=False, definite=False
        )

    def _end_probe(self, connected: bool, ended: _Round) -> None:
        if self._stopped:
            return
        if self._round is ended:
            self._end_round(ended, connected=connected, definite=True)
        elif connected or self._round is None:
            self._record_verdict(ended, connected=connected, definite=True)
            self._schedule()

    def _end_round(self, ended: _Round, *, connected: bool, definite: bool) -> None:
        self._round = None
        if self._round_timer is not None and self._round_timer.active():
            self._round_timer.cancel()
        self._record_verdict(ended, connected=connected, definite=definite)
        self._release()
        self._end_unconfirmed(ended.started_at, works=not self.down)
        self._schedule()

    def _record_verdict(self, ended: _Round, *, connected: bool, definite: bool) -> None:
        now, down_since = self._clock.monotonic(), self._reachability.down_since
        if self._reachability.end_probe(ended.started_at, connected=connected, definite=definite):
            if self.down:
                self._log_down(ended.targets, now)
            else:
                down = now - (down_since or now)
                log("endpoints-reachable", down_ms=down // _MS)
            self._on_changed()
        self._suspect_exchanges()

    def _log_down(self, targets: list[ProbeTarget], now: timedelta) -> None:
        self._metrics.count("links_down")
        log(
            "endpoints-unreachable",
            probed=[target.address for target in targets],
            failed_endpoints=self._reachability.failed_count,
            silence_ms=self._reachability.silence(now) // _MS,
        )

    def _suspect_exchanges(self) -> None:
        """Free what was not sent, and suspect what was sent on connections that don't work."""
        if not self.down:
            return
        self._metrics.count("aborted_sends", self._client.abort_unsent(_EVIDENCE))
        if not self._reachability.connections_work(self._clock.monotonic()):
            self._metrics.count("suspected_sends", self._client.suspect(_EVIDENCE))

    def _confirm_failures_before(self, instant: timedelta) -> None:
        if self._unconfirmed and self._unconfirmed[0].at <= instant:
            self._end_unconfirmed(instant, works=True)

    def _end_unconfirmed(self, until: timedelta, *, works: bool) -> None:
        """Decide on the failures that were observed until an instant."""
        decided = [failure for failure in self._unconfirmed if failure.at <= until]
        self._unconfirmed = self._unconfirmed[len(decided) :]
        for failure in decided:
            failure.confirmed.callback(works)

    def _release(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)
