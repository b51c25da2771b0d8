"""Finds the helpers that accept no connections while their answers are awaited."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.linkmonitor import Probe
from cardamomloft.upstreams.probing import probe
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

SILENCE_TIME = timedelta(milliseconds=300)
"""Time without an answer of a helper after which it is probed. Requests may take longer, so that
only a probe tells a slow answer from a lost one."""

PROBE_TIMEOUT = timedelta(milliseconds=300)
"""Time in which a helper must accept the connection of a probe."""


def next_probe(sent_at: timedelta, heard_at: timedelta | None) -> timedelta:
    """Return when a helper is probed that got a request and was heard at the given instants."""
    last = sent_at if heard_at is None else max(sent_at, heard_at)
    return last + SILENCE_TIME


class HelperSilence:
    """Probes helpers; the requests at one helper share its probes.

    Parameters
    ----------
    reactor, clock
        The event loop, and the source of time.
    probe
        Opens a connection to an address; see :func:`~cardamomloft.upstreams.probing.probe`.
    """

    def __init__(self, reactor: t.Any, clock: Clock, probe: Probe = probe) -> None:
        self.reactor = reactor
        self.clock = clock
        self._probe = probe
        self._heard: dict[str, timedelta] = {}
        self._waiting: dict[str, list[Deferred[bool]]] = {}
        self._in_flight: dict[str, int] = {}

    def watch(self, peer: EntryRecord, on_verdict: Callable[[bool], None]) -> "Watch":
        """Watch a request at a helper; `on_verdict` gets whether a probe found it silent."""
        self._in_flight[peer.name] = self._in_flight.get(peer.name, 0) + 1
        return Watch(self, peer, on_verdict)

    def record_end(self, name: str, *, answered: bool) -> None:
        """Record the end of a request at a helper."""
        if answered:
            self._heard[name] = self.clock.monotonic()
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]
            self._heard.pop(name, None)

    def heard_at(self, name: str) -> timedelta | None:
        """Return when a helper was heard last while requests were at it."""
        return self._heard.get(name)

    def is_silent(self, peer: EntryRecord) -> "Deferred[bool]":
        """Return whether a helper neither accepts nor refuses a connection in time.

        One that refuses it is stopping, and finishes the requests that it has.
        """
        verdict: Deferred[bool] = Deferred()
        waiting = self._waiting.setdefault(peer.name, [])
        waiting.append(verdict)
        if len(waiting) == 1:
            started_at = self.clock.monotonic()
            outcome = self._probe(self.reactor, peer.proxy, PROBE_TIMEOUT)
            outcome.addCallback(self._end_probe, peer.name, started_at)
        return verdict

    def _end_probe(self, connected: bool, name: str, started_at: timedelta) -> None:
        now = self.clock.monotonic()
        silent = not connected and now - started_at >= PROBE_TIMEOUT
        if not silent and name in self._in_flight:
            self._heard[name] = now
        for verdict in self._waiting.pop(name):
            verdict.callback(silent)


class Watch:
    """Watches one request at a helper until `stop` is called."""

    def __init__(
        self, silence: HelperSilence, peer: EntryRecord, on_verdict: Callable[[bool], None]
    ) -> None:
        self._silence = silence
        self._peer = peer
        self._on_verdict = on_verdict
        self._since = silence.clock.monotonic()
        self._stopped = False
        self._timer: IDelayedCall | None = None
        self._schedule()

    def stop(self, *, answered: bool) -> None:
        """Stop watching; `answered` tells whether the helper has answered."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._silence.record_end(self._peer.name, answered=answered)

    def _schedule(self) -> None:
        due = next_probe(self._since, self._silence.heard_at(self._peer.name))
        delay = max(timedelta(0), due - self._silence.clock.monotonic())
        self._timer = self._silence.reactor.callLater(delay.total_seconds(), self._check)

    def _check(self) -> None:
        due = next_probe(self._since, self._silence.heard_at(self._peer.name))
        if due > self._silence.clock.monotonic():
            self._schedule()
        else:
            self._silence.is_silent(self._peer).addCallback(self._end_probe)

    def _end_probe(self, silent: bool) -> None:
        if self._stopped:
            return
        if silent:
            self._since = self._silence.clock.monotonic()
        self._schedule()
        self._on_verdict(silent)
