"""Sends messages to peers by seat, and this entry's digest to some of them."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.document import Document
from cardamomloft.core.membership import Membership
from cardamomloft.core.messages import Digest, DocumentRequest, Message, Outgoing
from cardamomloft.core.model import Incarnation
from cardamomloft.core.shares import Shares

DIGEST_INTERVAL = timedelta(seconds=1)
DIGEST_FANOUT = 6
MAX_HOLDER_REQUESTS = 4


Send = Callable[[str, Message, Incarnation | None], object]


class Gossip:
    """Sends messages to the addresses of the roster.

    Parameters
    ----------
    send
        Queues a message for an address, optionally for one process only.
    rng
        Chooses the peers to send to.
    membership
        Chooses the peers that get a digest.
    shares
        Names the peers that share limits with this entry.
    make_digest
        Builds this entry's digest.
    """

    def __init__(
        self,
        send: Send,
        rng: random.Random,
        membership: Membership,
        shares: Shares,
        make_digest: Callable[[], Digest],
    ) -> None:
        self._send = send
        self._rng = rng
        self._membership = membership
        self._shares = shares
        self._make_digest = make_digest
        self._addresses: dict[str, str] = {}

    def configure(self, document: Document) -> None:
        """Use the addresses of the roster in `document`."""
        self._addresses = {seat: row["peers"] for seat, row in document["entries"].items()}

    def send(self, outgoing: Iterable[Outgoing], to: Incarnation | None = None) -> None:
        """Send each message; those for the seat of `to` only to that process, not a successor."""
        for seat, message in outgoing:
            # Seed peers are given by address, since no roster is known at the start.
            address = seat if ":" in seat else self._addresses.get(seat)
            if address is not None:
                process = to if to is not None and to.seat == seat else None
                self._send(address, message, process)

    def send_digests(self) -> None:
        """Send the digest to a few peers, and request missing digests from holders of limits."""
        digest = self._make_digest()
        self._membership.set_own_digest(digest)
        targets = self._membership.gossip_targets(self._rng, DIGEST_FANOUT)
        self.send(Outgoing(seat, digest) for seat in targets)
        # Random gossip alone may take long to reach these holders.
        missing = sorted(self._shares.awaited)
        chosen = self._rng.sample(missing, min(MAX_HOLDER_REQUESTS, len(missing)))
        request = DocumentRequest(digest.revision)
        self.send(Outgoing(seat, request) for seat in chosen)

    def announce(self) -> None:
        """Send the digest now to a few peers and to all that share limits with this entry."""
        digest = self._make_digest()
        self._membership.set_own_digest(digest)
        targets = set(self._membership.gossip_targets(self._rng, DIGEST_FANOUT))
        targets |= self._shares.partners
        self.send(Outgoing(seat, digest) for seat in sorted(targets))
