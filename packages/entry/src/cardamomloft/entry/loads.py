"""Polls upstreams for load reports, one at a time."""

from collections.abc import Callable, Sequence

from cardamomloft.core.clock import Clock
from cardamomloft.core.hints import LoadReport
from cardamomloft.core.model import Endpoint
from cardamomloft.core.steering import Steering
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.hints import UpstreamLoad
from expression import Result
from twisted.internet.defer import Deferred


class LoadPoller:
    """Polls in turn the endpoints at which this entry has a free slot.

    Parameters
    ----------
    client
        Sends the poll.
    clock
        Source of time.
    has_free_slot
        Returns whether this entry has a free slot at an endpoint.
    """

    def __init__(
        self, client: UpstreamClient, clock: Clock, has_free_slot: Callable[[Endpoint], bool]
    ) -> None:
        self._client = client
        self._clock = clock
        self._has_free_slot = has_free_slot
        self._next_index = 0

    def poll(self, endpoints: Sequence[Endpoint], steering: Steering) -> "Deferred[None] | None":
        """Poll the next endpoint with a free slot; pass its report or its failure to `steering`."""
        candidates = [endpoint for endpoint in endpoints if self._has_free_slot(endpoint)]
        if not candidates:
            return None
        self._next_index = (self._next_index + 1) % len(candidates)
        endpoint = candidates[self._next_index]
        requested_at = self._clock.monotonic()

        def on_result(result: Result[UpstreamLoad, str]) -> None:
            match result:
                case Result(tag="ok", ok=load):
                    steering.on_report(endpoint.name, LoadReport(*load, requested_at))
                case _:
                    steering.on_report_lost(endpoint.name)

        return self._client.poll(endpoint).addCallback(on_result)
