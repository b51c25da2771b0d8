"""Sending to peers by seat, and telling them what this entry has in force."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.document import Document
from cardamomloft.core.membership import Membership
from cardamomloft.core.messages import Digest, DocumentRequest, Message, Outgoing
from cardamomloft.core.model import Incarnation
from cardamomloft.core.shares import Shares

INTERVAL = timedelta(seconds=1)
DIGEST_FANOUT = 6
ASKED_HOLDERS = 4


Send = Callable[[str, Message, Incarnation | None], object]


class Gossip:
    """Talks to peers by the addresses of the roster.

    Parameters
    ----------
    send
        Queues a message for an address; a process may be named that alone may take it.
    describe
        Builds this entry's digest.
    """

    def __init__(
        self,
        send: Send,
        rng: random.Random,
        membership: Membership,
        shares: Shares,
        describe: Callable[[], Digest],
    ) -> None:
        self._send = send
        self._rng = rng
        self._membership = membership
        self._shares = shares
        self._describe = describe
        self._addresses: dict[str, str] = {}

    def configure(self, document: Document) -> None:
        """Take the addresses of a roster."""
        self._addresses = {seat: row["peers"] for seat, row in document["entries"].items()}

    def send(self, outgoing: Iterable[Outgoing], to: Incarnation | None = None) -> None:
        """Send each message; answers are for the very process `to`, not for its successor."""
        for seat, message in outgoing:
            # Seeds are addresses: at the start nobody's seat is known.
            address = seat if ":" in seat else self._addresses.get(seat)
            if address is not None:
                named = to if to is not None and to.seat == seat else None
                self._send(address, message, named)

    def spread(self) -> None:
        """Send the digest to a few peers, and ask holders whose agreement is missing for theirs."""
        digest = self._describe()
        self._membership.set_own_digest(digest)
        targets = self._membership.gossip_targets(self._rng, DIGEST_FANOUT)
        self.send(Outgoing(seat, digest) for seat in targets)
        # Their digests may come by chance only.
        lacking = sorted(self._shares.awaited)
        asked = self._rng.sample(lacking, min(ASKED_HOLDERS, len(lacking)))
        question = DocumentRequest(digest.revision)
        self.send(Outgoing(seat, question) for seat in asked)

    def announce(self) -> None:
        """Tell those that wait for our word, and a few others, what has changed here."""
        digest = self._describe()
        self._membership.set_own_digest(digest)
        targets = set(self._membership.gossip_targets(self._rng, DIGEST_FANOUT))
        targets |= self._shares.partners
        self.send(Outgoing(seat, digest) for seat in sorted(targets))
