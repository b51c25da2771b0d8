"""Asking upstreams for their load, one after the other."""

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
    """Polls the endpoints that this entry may use now, so that hints are about those.

    Parameters
    ----------
    usable
        Tells whether this entry has a free slot at an endpoint.
    """

    def __init__(
        self, client: UpstreamClient, clock: Clock, usable: Callable[[Endpoint], bool]
    ) -> None:
        self._client = client
        self._clock = clock
        self._usable = usable
        self._turn = 0

    def poll(self, endpoints: Sequence[Endpoint], steering: Steering) -> "Deferred[None] | None":
        """Ask the endpoint whose turn it is, and give steering its report."""
        usable = [endpoint for endpoint in endpoints if self._usable(endpoint)]
        if not usable:
            return None
        self._turn = (self._turn + 1) % len(usable)
        endpoint = usable[self._turn]
        asked = self._clock.monotonic()

        def take(result: Result[UpstreamLoad, str]) -> None:
            match result:
                case Result(tag="ok", ok=load):
                    steering.on_report(endpoint.name, LoadReport(*load, asked))
                case _:
                    steering.on_report_lost(endpoint.name)

        return self._client.poll(endpoint).addCallback(take)
