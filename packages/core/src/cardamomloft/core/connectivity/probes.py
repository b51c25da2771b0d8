"""Probes of endpoints, and what they tell when they have no result.

Endpoints that have gone silent can't be told from slow links of the entry by a time alone. Probes
of an endpoint are therefore compared with connections to others that were opened later.
"""

from collections.abc import Container
from datetime import timedelta

from cardamomloft.core.connectivity.attempts import ConnectionAttempts
from cardamomloft.core.connectivity.connecttimes import ConnectTimes

PROBE_TIME = timedelta(milliseconds=1500)
"""Time for which a probe is kept open. It covers the retransmission of a lost SYN packet."""

MIN_PATIENCE = timedelta(milliseconds=100)
"""Minimum time in which a connection must be established while other endpoints can be tried."""

MAX_PATIENCE = timedelta(milliseconds=500)
"""Maximum of that time, which covers several round trips between regions."""

MAX_DELAYED_PATIENCE = timedelta(seconds=1)
"""Maximum of that time while connections to all endpoints are slow."""

DEFAULT_PATIENCE = timedelta(milliseconds=250)
"""That time for an endpoint to which no connection was opened yet."""

PATIENCE_FACTOR = 4
"""That time as a multiple of the usual time to establish a connection."""

OVERDUE_TIME = timedelta(milliseconds=30)
"""Time by which a probe must exceed the expected time before it is compared with another one, and
minimum time until it causes an alarm."""

ALARM_FACTOR = 2
"""Minimum of the time until an alarm as a multiple of the usual time to establish a connection."""

MAX_OVERDUE_ALARM_TIME = timedelta(milliseconds=300)
"""Maximum duration of that alarm unless another endpoint has accepted a connection meanwhile.
Otherwise the links of the entry are slow or down, which new connections do not improve."""

MIN_ATTEMPTS = 2
"""Number of probes that must be slower than later connections to others, as packets get lost."""

MAX_ATTEMPTS = 3
"""Maximum number of probes of an endpoint at a time, unless it is lost."""

OVERTAKEN_TIME = timedelta(milliseconds=50)
"""Time by which a connection to another endpoint must be faster, besides the usual time to
establish a connection, as the way to the other endpoint may be shorter."""


class EndpointProbes:
    """Knows the probes of endpoints without a result, and the signs that endpoints have given.

    Endpoints are identified by their addresses, and all instants are monotonic. An endpoint gives a
    sign when it accepts a connection or answers. Those that are known to be lost are passed in.
    """

    def __init__(self) -> None:
        self._heard: dict[str, timedelta] = {}
        self._connect_times = ConnectTimes()
        self._attempts = ConnectionAttempts()

    def __bool__(self) -> bool:
        return bool(self._attempts.addresses())

    # Observations.

    def record_answer(self, address: str, now: timedelta) -> None:
        """Record that an endpoint has begun to answer on an open connection."""
        self._heard[address] = now

    def record_connected(self, address: str, took: timedelta, now: timedelta) -> None:
        """Record that an endpoint has accepted a connection after a time."""
        self._heard[address] = now
        self._connect_times.record(address, took, now)
        self._attempts.record_established(address, now - took, now)

    def start(self, address: str, now: timedelta) -> None:
        """Record the start of a probe."""
        self._attempts.start(address, now)

    def end(self, address: str, started_at: timedelta) -> None:
        """Record the end of a probe."""
        self._attempts.end(address, started_at)

    def expire(self, now: timedelta) -> None:
        """Forget delays that are not recent any more; call it periodically."""
        self._connect_times.expire(now)

    def retain(self, addresses: Container[str]) -> None:
        """Forget the signs of endpoints that are not in `addresses`."""
        self._connect_times.retain(addresses)
        self._heard = {key: at for key, at in self._heard.items() if key in addresses}

    # Times.

    def heard_at(self, address: str) -> timedelta | None:
        """Return the instant of the last sign of an endpoint, None without any."""
        return self._heard.get(address)

    def usual(self, address: str) -> timedelta | None:
        """Return the time that a connection to an endpoint takes, None if none was opened."""
        return self._connect_times.usual(address)

    def patience(self, address: str) -> timedelta:
        """Return how long a connection may take while another endpoint can be tried."""
        patience = self._undelayed_patience(address)
        return max(patience, min(patience + self._connect_times.reserve, MAX_DELAYED_PATIENCE))

    def _undelayed_patience(self, address: str) -> timedelta:
        usual = self.usual(address)
        if usual is None:
            return DEFAULT_PATIENCE
        return min(max(usual * PATIENCE_FACTOR, MIN_PATIENCE), MAX_PATIENCE)

    def _usual_or_default(self, address: str) -> timedelta:
        usual = self.usual(address)
        return DEFAULT_PATIENCE / PATIENCE_FACTOR if usual is None else usual

    # Decisions.

    def is_probed(self, address: str) -> bool:
        """Return whether a probe of an endpoint has no result yet."""
        return bool(self._attempts.pending(address))

    def overdue_since(self, lost: Container[str], now: timedelta) -> timedelta | None:
        """Return the start of a probe that is overdue for an alarm, None without one."""
        for address in self._suspected(lost):
            usual = self._usual_or_default(address)
            allowed = max(OVERDUE_TIME, usual * ALARM_FACTOR) + self._connect_times.reserve
            for since in self._fresh_attempts(address):
                if now - since < allowed:
                    continue
                recent = now - since < allowed + MAX_OVERDUE_ALARM_TIME
                if recent or self._attempts.is_overtaken(address, since):
                    return since
        return None

    def silent(self, lost: Container[str], read_at: timedelta) -> list[str]:
        """Return the endpoints that have gone silent.

        Parameters
        ----------
        lost
            The endpoints that are known to be lost.
        read_at
            The instant since which all sockets were read. What has happened later may be unread.
        """
        return [address for address in self._suspected(lost) if self._is_silent(address, read_at)]

    def checks(self, lost: Container[str], now: timedelta) -> list[str]:
        """Return the endpoints to probe for a decision about those whose probes are overdue.

        These are the same ones again once another connection was faster, and the one that gave a
        sign last if no other connection was opened since.
        """
        self.expire(now)
        suspected = self._suspected(lost)
        overdue = [address for address in suspected if self._is_overdue(address, now)]
        again = [address for address in overdue if self._should_repeat(address, now)]
        compared = all(
            self._attempts.has_control(address, self._attempts.pending(address)[-1], suspected)
            for address in overdue
        )
        return again if compared and not again else [*again, *self._controls(lost)[:1]]

    def _suspected(self, lost: Container[str]) -> list[str]:
        return [address for address in self._attempts.addresses() if address not in lost]

    def _fresh_attempts(self, address: str) -> list[timedelta]:
        """Return the starts of the probes of an endpoint since its last sign."""
        return self._attempts.pending(address, self._heard.get(address))

    def _is_overdue(self, address: str, now: timedelta) -> bool:
        expected = self._usual_or_default(address) + self._connect_times.reserve
        return now - self._attempts.pending(address)[0] >= expected + OVERDUE_TIME

    def _is_silent(self, address: str, read_at: timedelta) -> bool:
        attempts = self._fresh_attempts(address)
        if not attempts or read_at - attempts[0] < self._undelayed_patience(address):
            return False
        by = read_at - self._usual_or_default(address) - OVERTAKEN_TIME
        overtaken = [at for at in attempts if self._attempts.is_overtaken(address, at, by)]
        return len(overtaken) >= MIN_ATTEMPTS

    def _should_repeat(self, address: str, now: timedelta) -> bool:
        if len(self._attempts.pending(address)) >= MAX_ATTEMPTS:
            return False
        attempts = self._fresh_attempts(address)
        if not attempts:
            return now - self._heard[address] >= MIN_PATIENCE
        few = len(attempts) < MIN_ATTEMPTS
        return few and self._attempts.is_overtaken(address, attempts[-1])

    def _controls(self, lost: Container[str]) -> list[str]:
        """Return the endpoints to compare with, those that gave a sign last first."""
        probed = set(self._attempts.addresses())
        known = [key for key in self._heard if key not in lost and key not in probed]
        return sorted(known, key=self._heard.__getitem__, reverse=True)
