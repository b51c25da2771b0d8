"""Endpoints that accept no connections from an entry, and when they may be used again.

An endpoint that answers with errors or slowly is bad only by a guess, so the number of endpoints
that are ejected for it is bounded. That an endpoint accepts no connection is a fact, which holds
for any number of them. That the links of the entry itself are the cause is decided elsewhere, by
:mod:`cardamomloft.core.connectivity.reachability`.
"""

import typing as t
from collections.abc import Container
from datetime import timedelta

from cardamomloft.core.connectivity.probes import MAX_PATIENCE, EndpointProbes
from cardamomloft.core.connectivity.silence import AwaitedAnswers

PROBE_INTERVAL = timedelta(milliseconds=200)
"""Interval after which an endpoint that accepted no connection is probed again, at first."""

MAX_PROBE_INTERVAL = timedelta(milliseconds=800)
"""Upper bound of that interval, which doubles with each failed probe. An endpoint that returns is
used again within a second."""

MAX_PROBES_PER_TICK = 2
"""Maximum number of lost endpoints that are probed at a time, which bounds the load of probes."""

ALARM_TIME = timedelta(seconds=2)
"""Duration of an alarm. An endpoint that has gone silent may not be the only one, so others must
prove that they can be reached before a request is sent to them on a connection that was idle."""

RETURN_STEP = timedelta(milliseconds=100)
"""Interval in which successive entries send their first request to an endpoint that is back, as
many at a time as it has slots."""

MAX_RETURN_DELAY = timedelta(seconds=1)
"""Upper bound of the time after which an entry sends its first request there."""

MAX_RETURN_TIME = timedelta(seconds=3)
"""Time after which an endpoint that is back is used as before, even without an answer."""


class Evidence(t.NamedTuple):
    """What one entry knows of an endpoint that accepts no connection.

    Attributes
    ----------
    silence
        Time since its last sign, None without any.
    usual
        Usual time to establish a connection to it, None if none was opened.
    awaited
        Number of answers that are awaited from it.
    """

    silence: timedelta | None
    usual: timedelta | None
    awaited: int

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line."""
        return {
            "silence_ms": _ms(self.silence),
            "usual_connect_ms": _ms(self.usual),
            "awaited": self.awaited,
        }


class _Outage:
    """The state of an endpoint that accepts no connections."""

    def __init__(self, since: timedelta) -> None:
        self.since = since
        self.probe_at = since + PROBE_INTERVAL
        self.interval = PROBE_INTERVAL
        self.heard = False

    def record_failed_probe(self, now: timedelta) -> None:
        self.interval = min(self.interval * 2, MAX_PROBE_INTERVAL)
        self.probe_at = now + self.interval


class EndpointOutages:
    """Knows which endpoints accept no connections from one entry.

    Endpoints are identified by their addresses, and all instants are monotonic. The user observes
    exchanges and connections, probes the endpoints that `suspects` and `due_probes` return, and
    records the results.
    """

    def __init__(self) -> None:
        self._lost: dict[str, _Outage] = {}
        self._returned: dict[str, timedelta] = {}
        self._awaited = AwaitedAnswers()
        self._probes = EndpointProbes()
        self._alarm_at: timedelta | None = None

    def __bool__(self) -> bool:
        return bool(self._lost or self._returned)

    # Observations.

    def record_sent(self, address: str, now: timedelta) -> None:
        """Record that an answer of an endpoint is awaited."""
        self._awaited.record_sent(address, now)
        self._probes.expire(now)

    def record_end(self, address: str) -> None:
        """Record that an answer is not awaited any more."""
        self._awaited.record_end(address)

    def record_answer(self, address: str, now: timedelta) -> None:
        """Record that an endpoint has begun to answer on an open connection."""
        self._probes.record_answer(address, now)
        self._awaited.record_answer(address, now)
        self._returned.pop(address, None)
        if address in self._lost:
            self._lost[address].heard = True

    def record_connected(self, address: str, took: timedelta, now: timedelta) -> bool:
        """Record that an endpoint has accepted a connection; return whether it was lost before."""
        self._awaited.record_sign(address, now)
        self._probes.record_connected(address, took, now)
        if self._lost.pop(address, None) is None:
            return False
        self._returned[address] = now
        return True

    def record_lost(self, address: str, now: timedelta, *, silent: bool) -> bool:
        """Record that an endpoint accepts no connection; return whether this is new.

        Parameters
        ----------
        address
            The endpoint.
        now
            The present instant.
        silent
            Whether it gave no answer. After that other endpoints may be silent as well; one that
            refuses connections has closed the open ones too, so that nothing is sent on these.
        """
        self._returned.pop(address, None)
        outage = self._lost.get(address)
        if outage is None:
            self._lost[address] = _Outage(now)
            if silent:
                self._alarm_at = now
            return True
        outage.record_failed_probe(now)
        return False

    def evidence(self, address: str, now: timedelta) -> Evidence:
        """Return what is known of an endpoint, for the log."""
        heard_at = self._probes.heard_at(address)
        return Evidence(
            None if heard_at is None else now - heard_at,
            self._probes.usual(address),
            self._awaited.count(address),
        )

    def forget(self) -> None:
        """Use all endpoints again, as failures had another cause."""
        self._lost.clear()
        self._returned.clear()
        self._alarm_at = None

    def retain(self, addresses: Container[str]) -> None:
        """Forget the endpoints that are not in `addresses`; call it periodically."""
        self._awaited.retain(addresses)
        self._probes.retain(addresses)
        for known in (self._lost, self._returned):
            for address in [address for address in known if address not in addresses]:
                del known[address]

    # Decisions about requests.

    def is_lost(self, address: str, *, connected: bool = False) -> bool:
        """Return whether an endpoint accepts no connections.

        With `connected`, an open connection to it is enough if it has answered on one since.
        """
        outage = self._lost.get(address)
        return outage is not None and not (connected and outage.heard)

    def lost(self) -> list[str]:
        """Return the addresses of the endpoints that accept no connections."""
        return list(self._lost)

    @property
    def returning_count(self) -> int:
        """Number of endpoints that are back and have not answered yet."""
        return len(self._returned)

    def is_returning(
        self, address: str, in_flight: int, rank: int, slots: int, now: timedelta
    ) -> bool:
        """Return whether an endpoint that is back can't take another request of this entry yet.

        All entries find it empty, and what they know of its load is old. Each sends one request,
        in turns, and continues once that is answered with the present load.

        Parameters
        ----------
        address
            The endpoint.
        in_flight
            Number of requests of this entry in progress there.
        rank
            This entry's rank among all for the endpoint, from 0.
        slots
            Number of requests that the endpoint runs at the same time.
        now
            The present instant.
        """
        since = self._returned.get(address)
        if since is None:
            return False
        if now >= since + MAX_RETURN_TIME:
            del self._returned[address]
            return False
        turn = since + min(RETURN_STEP * (rank // max(1, slots)), MAX_RETURN_DELAY)
        return in_flight > 0 or now < turn

    def patience(self, address: str) -> timedelta:
        """Return how long a connection may take while another endpoint can be tried."""
        return self._probes.patience(address)

    def needs_new_connection(self, address: str, now: timedelta) -> bool:
        """Return whether an endpoint must accept a connection before a request is sent to it.

        Nothing is sent to an endpoint that has gone silent then, so that the request can be sent
        to another one, whether it may run twice or not.
        """
        alarm_at = self._alarm_since(now)
        if alarm_at is None:
            return False
        heard_at = self._probes.heard_at(address)
        return heard_at is None or heard_at < alarm_at

    def _alarm_since(self, now: timedelta) -> timedelta | None:
        """Return when the last endpoint went silent, or seems to have; None without an alarm."""
        if self._alarm_at is not None and now - self._alarm_at < ALARM_TIME:
            return self._alarm_at
        return self._probes.overdue_since(self._lost, now)

    # Probes.

    def suspects(self, now: timedelta) -> list[str]:
        """Return the endpoints to probe because their answers are due; call it at each tick."""
        alarm = self._alarm_since(now) is not None
        return self._awaited.suspects(now, self._lost, alarm=alarm)

    def silent(self, read_at: timedelta) -> list[str]:
        """Return the endpoints that have gone silent; call it at each tick.

        Parameters
        ----------
        read_at
            The instant since which all sockets were read. What has happened later may be unread.
        """
        return self._probes.silent(self._lost, read_at)

    def checks(self, now: timedelta) -> list[str]:
        """Return the endpoints to probe for a decision about those whose probes are overdue."""
        return self._probes.checks(self._lost, now)

    def due_probes(self, now: timedelta) -> list[str]:
        """Return the lost endpoints to probe now, those that were due first."""
        due = [
            (outage.probe_at, address)
            for address, outage in self._lost.items()
            if outage.probe_at <= now
        ]
        return [address for _, address in sorted(due)[:MAX_PROBES_PER_TICK]]

    def start_probe(self, address: str, now: timedelta) -> None:
        """Record the start of a probe."""
        self._probes.start(address, now)
        self._awaited.record_probe(address, now)
        if address in self._lost:
            self._lost[address].probe_at = now + MAX_PATIENCE

    def is_probed(self, address: str) -> bool:
        """Return whether a probe of an endpoint has no result yet."""
        return self._probes.is_probed(address)

    def end_probe(self, address: str, started_at: timedelta) -> None:
        """Record the end of a probe; its result is recorded besides."""
        self._probes.end(address, started_at)

    def has_given_sign(self, address: str, since: timedelta) -> bool:
        """Return whether an endpoint has answered or accepted a connection after an instant."""
        heard_at = self._probes.heard_at(address)
        return heard_at is not None and heard_at > since

    @property
    def is_idle(self) -> bool:
        """Whether no answer or probe is awaited and none is lost, so that nothing can be due."""
        return not (self._awaited or self._lost or self._probes)


def _ms(duration: timedelta | None) -> float | None:
    return None if duration is None else round(duration / timedelta(milliseconds=1), 1)
