"""Endpoints whose answers are due, which may have gone silent and should be probed."""

from collections import Counter
from collections.abc import Container
from datetime import timedelta

MAX_SILENCE = timedelta(milliseconds=150)
"""Maximum time without a sign of an endpoint, while an answer is due, until it may be probed."""

MIN_SILENCE = timedelta(milliseconds=50)
"""Minimum of that time, which holds during an alarm."""

SILENCE_FACTOR = 2
"""That time as a multiple of the mean time to an answer."""

SUSPECT_INTERVAL = timedelta(seconds=1)
"""Minimum interval of probes of an endpoint that is slow to answer."""

PROBES_PER_EXCHANGE = 0.1
"""Probes of endpoints that are slow to answer, as a fraction of the requests sent."""

MAX_SAVED_PROBES = 4.0
"""Number of such probes that may be made at a time, unless there is an alarm."""

_SMOOTHING = 0.2


class AwaitedAnswers:
    """Knows the endpoints from which an entry awaits answers, and since when they give no sign.

    Endpoints are identified by their addresses, and all instants are monotonic.
    """

    def __init__(self) -> None:
        self._awaited: Counter[str] = Counter()
        self._silent_since: dict[str, timedelta] = {}
        self._probed_at: dict[str, timedelta] = {}
        self._saved_probes = MAX_SAVED_PROBES
        self._mean_answer: timedelta | None = None

    def __bool__(self) -> bool:
        return bool(self._awaited)

    def record_sent(self, address: str, now: timedelta) -> None:
        """Record that an answer of an endpoint is awaited."""
        if not self._awaited[address]:
            self._silent_since[address] = now
        self._awaited[address] += 1
        self._saved_probes = min(MAX_SAVED_PROBES, self._saved_probes + PROBES_PER_EXCHANGE)

    def record_end(self, address: str) -> None:
        """Record that an answer is not awaited any more."""
        self._awaited[address] -= 1
        if self._awaited[address] <= 0:
            del self._awaited[address]
            self._silent_since.pop(address, None)

    def count(self, address: str) -> int:
        """Return the number of answers that are awaited from an endpoint."""
        return self._awaited.get(address, 0)

    def record_answer(self, address: str, now: timedelta) -> None:
        """Record that an answer has begun."""
        took = now - self._silent_since.get(address, now)
        mean = self._mean_answer
        self._mean_answer = took if mean is None else mean + (took - mean) * _SMOOTHING
        self.record_sign(address, now)

    def record_sign(self, address: str, now: timedelta) -> None:
        """Record that an endpoint has answered, or accepted a connection."""
        if address in self._silent_since:
            self._silent_since[address] = now

    def record_probe(self, address: str, now: timedelta) -> None:
        """Record that an endpoint is probed."""
        self._probed_at[address] = now

    def retain(self, addresses: Container[str]) -> None:
        """Forget the probes of endpoints that are not in `addresses`."""
        self._probed_at = {key: at for key, at in self._probed_at.items() if key in addresses}

    def suspects(self, now: timedelta, lost: Container[str], *, alarm: bool) -> list[str]:
        """Return the endpoints to probe because their answers are due; call it at each tick.

        Parameters
        ----------
        now
            The present instant.
        lost
            The endpoints that are known to be lost.
        alarm
            Whether an endpoint has gone silent, so that the others are suspected sooner and all.
        """
        silence, latest = MIN_SILENCE if alarm else self._silence(), now - SUSPECT_INTERVAL
        found = [
            (since, address)
            for address, since in self._silent_since.items()
            if now - since >= silence
            and address not in lost
            and self._probed_at.get(address, latest) <= latest
        ]
        found.sort()
        if not alarm:
            found = found[: int(self._saved_probes)]
            self._saved_probes -= len(found)
        return [address for _, address in found]

    def _silence(self) -> timedelta:
        if self._mean_answer is None:
            return MAX_SILENCE
        return min(max(self._mean_answer * SILENCE_FACTOR, MIN_SILENCE), MAX_SILENCE)
