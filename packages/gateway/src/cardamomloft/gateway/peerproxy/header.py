"""The header of proxied requests, which only gateways can state correctly."""

import hmac
import typing as t
from urllib.parse import parse_qsl, urlencode

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason

PROXY_HEADER = "cardamomloft-proxied"
"""Name of the header. Requests of callers that have it reach endpoints without it when proxied."""

CONFIGURATION_HEADER = "cardamomloft-configuration"
"""Header of answers to proxied requests: the number of the configuration that decided them."""

MAX_DELIVERIES = 1_000


class ProxyHeader(t.NamedTuple):
    """What a gateway states about a request that it sends through another gateway.

    Attributes
    ----------
    token
        The secret in the record of the gateway that is addressed.
    origin
        Name of the gateway that got the request from its caller.
    client
        Address of the caller.
    service
        The service that was chosen.
    configuration
        Highest number of a configuration by which the origin's requests may have been handled.
    deliveries
        Number of endpoints that may have got the request already.
    counted
        Whether the origin has counted the request for its retry budget.
    """

    token: str
    origin: str
    client: str
    service: str
    configuration: int
    deliveries: int
    counted: bool

    def encode(self) -> str:
        """Return the value of the header."""
        return urlencode({**self._asdict(), "counted": int(self.counted)})

    def states_token(self, token: str) -> bool:
        """Return whether the stated token is `token`."""
        return bool(token) and hmac.compare_digest(self.token.encode(), token.encode())


def read_proxy_header(head: RequestHead) -> ProxyHeader | Refusal:
    """Return the header of a proxied request, or a refusal if it is missing or malformed."""
    values = [value for name, value in head.headers if name == PROXY_HEADER]
    try:
        if len(values) != 1:
            raise ValueError(f"{len(values)} headers {PROXY_HEADER}")
        fields = dict(parse_qsl(values[0], strict_parsing=True, keep_blank_values=True))
        return ProxyHeader(
            fields["token"],
            fields["origin"],
            fields["client"],
            fields["service"],
            int(fields["configuration"]),
            min(max(0, int(fields["deliveries"])), MAX_DELIVERIES),
            fields["counted"] == "1",
        )
    except (ValueError, KeyError):
        return Refusal(RefusalReason.NOT_A_PEER, f"{PROXY_HEADER} is missing or malformed")


def without_proxy_header(head: RequestHead) -> RequestHead:
    """Return the head of a request without the header."""
    return head._replace(headers=tuple(pair for pair in head.headers if pair[0] != PROXY_HEADER))
