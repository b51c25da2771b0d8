"""Times that connections take, for each endpoint and for an entry as a whole."""

from collections import deque
from collections.abc import Container
from datetime import timedelta

RECENT_TIME = timedelta(seconds=2)
"""Time for which a connection tells how slow the entry's own links are."""

RECENT_COUNT = 5
"""Number of connections that are compared."""

DELAY_FACTOR = 2
"""Multiple of the present delay that is added to times, as delays may grow."""

_ZERO = timedelta(0)
_RISE = 0.1


class ConnectTimes:
    """Knows how long connections take, and how much longer at present.

    The time to an endpoint follows shorter ones at once and longer ones slowly, so that it
    approximates the path without queues. What recent connections have taken beyond that is the
    delay of the entry's own links and processor, which concerns all endpoints.
    """

    def __init__(self) -> None:
        self._usual: dict[str, timedelta] = {}
        self._delays: deque[tuple[timedelta, timedelta]] = deque(maxlen=RECENT_COUNT)

    def record(self, address: str, took: timedelta, now: timedelta) -> None:
        """Record that a connection was established after a time."""
        usual = self._usual.get(address)
        if usual is None:
            self._usual[address] = took
            return
        self._delays.append((now, max(_ZERO, took - usual)))
        self._usual[address] = took if took < usual else usual + (took - usual) * _RISE

    def usual(self, address: str) -> timedelta | None:
        """Return the time that a connection to an endpoint takes, None if none was opened."""
        return self._usual.get(address)

    @property
    def delay(self) -> timedelta:
        """The time by which connections to all endpoints are slower at present.

        The longest of several is left out, as a lost packet may be the reason.
        """
        delays = sorted(delay for _, delay in self._delays)
        return delays[max(0, len(delays) - 2)] if delays else _ZERO

    @property
    def reserve(self) -> timedelta:
        """The time to add to the usual time of a connection at present."""
        return self.delay * DELAY_FACTOR

    def expire(self, now: timedelta) -> None:
        """Forget delays that are not recent any more."""
        while self._delays and now - self._delays[0][0] >= RECENT_TIME:
            self._delays.popleft()

    def retain(self, addresses: Container[str]) -> None:
        """Forget the endpoints that are not in `addresses`."""
        self._usual = {key: took for key, took in self._usual.items() if key in addresses}
