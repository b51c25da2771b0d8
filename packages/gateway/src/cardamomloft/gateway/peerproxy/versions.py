"""Brings gateways that send requests through each other to the newest configuration of both.

A request that goes through another gateway is handled by that one's configuration. So that its
origin never seems to go back to an older one, the other gateway passes on a newer configuration as
soon as it accepts a request, and states in its answer which one has decided. The origin then sends
requests only through gateways whose configuration is at least as new.
"""

from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock

EXCHANGE_INTERVAL = timedelta(milliseconds=100)
"""Minimum interval between two messages to one gateway. A message may be lost, and until it arrives
each request shows the same difference."""


class PeerVersions:
    """The numbers of the configurations of other gateways.

    Parameters
    ----------
    clock
        Source of time.
    own
        Returns the number of the configuration in force here.
    push
        Sends the configuration in force here to the named gateway.
    ask
        Asks the named gateway for its configuration.
    """

    def __init__(
        self,
        clock: Clock,
        own: Callable[[], int],
        push: Callable[[str], None],
        ask: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._own = own
        self._push = push
        self._ask = ask
        self._newest_heard = 0
        self._exchanged_at: dict[str, timedelta] = {}

    @property
    def newest(self) -> int:
        """The highest number by which a request of this gateway may have been handled."""
        return max(self._own(), self._newest_heard)

    def on_answer(self, peer: str, number: int) -> None:
        """Record that another gateway has handled a request by the configuration `number`."""
        self._newest_heard = max(self._newest_heard, number)
        self._exchange(peer, number)

    def on_request(self, origin: str, number: int) -> None:
        """Record that `origin`, with the configuration `number`, sends a request through here."""
        self._exchange(origin, number)

    def _exchange(self, peer: str, number: int) -> None:
        own, now = self._own(), self._clock.monotonic()
        exchanged_at = self._exchanged_at.get(peer)
        is_due = exchanged_at is None or now - exchanged_at >= EXCHANGE_INTERVAL
        if number == own or not is_due:
            return
        self._exchanged_at[peer] = now
        if number < own:
            self._push(peer)
        else:
            self._ask(peer)
