"""When this entry sent its present and recent requests to each endpoint."""

from datetime import timedelta

from cardamomloft.core.loads.statements import MAX_FORWARDED_AGE


class OwnSends:
    """The instants of sends, and of the answers in the last second, by the hash of the endpoint.

    An endpoint's statement that another entry has passed on counts the requests that this entry
    had there when it was made. Some of them may have been answered since.
    """

    def __init__(self) -> None:
        self._sends: dict[int, list[tuple[timedelta, timedelta | None]]] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def record_sent(self, endpoint: int, now: timedelta) -> None:
        """Record that a request is sent."""
        self._sends.setdefault(endpoint, []).append((now, None))

    def record_end(self, endpoint: int, sent_at: timedelta, now: timedelta) -> None:
        """Record that the request sent at `sent_at` was answered or given up."""
        sends = self._sends.get(endpoint, [])
        for place, (sent, ended) in enumerate(sends):
            if sent == sent_at and ended is None:
                sends[place] = (sent, now)
                return

    def count_at(self, endpoint: int, at: timedelta) -> int:
        """Return the number of requests in flight at an instant of the last second."""
        sends = self._sends.get(endpoint)
        if sends is None:
            return 0
        return sum(sent <= at and (ended is None or at < ended) for sent, ended in sends)

    def expire(self, now: timedelta) -> None:
        """Forget requests that were answered more than a second ago."""
        for endpoint, sends in list(self._sends.items()):
            kept = [
                (sent, ended)
                for sent, ended in sends
                if ended is None or now - ended <= MAX_FORWARDED_AGE
            ]
            if kept:
                self._sends[endpoint] = kept
            else:
                del self._sends[endpoint]
