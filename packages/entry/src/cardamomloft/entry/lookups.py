"""Answers callers' look-ups: which entries to use, and the prefix for operation ids."""

import socket
from datetime import timedelta

from cardamomloft.callers.app import LookupAnswer, LookupEntry
from cardamomloft.core.membership import Membership
from cardamomloft.core.model import Incarnation
from cardamomloft.core.operations import OperationIds
from cardamomloft.core.router import Router

ENTRIES_PER_LOOKUP = 3
"""Maximum number of entries in one answer; callers use the next one if one fails."""

LOOKUP_VALIDITY = timedelta(seconds=2)
"""How long callers may cache an answer; a stopping entry accepts requests for longer than that."""


class Lookups:
    """Answers the look-ups of one entry.

    Parameters
    ----------
    me
        This process.
    membership
        Chooses the entries.
    ids
        Creates this entry's prefixes of operation ids.
    """

    def __init__(self, me: Incarnation, membership: Membership, ids: OperationIds) -> None:
        self._me = me
        self._membership = membership
        self._ids = ids

    def answer(self, client: str, router: Router, revision: int) -> LookupAnswer:
        """Return the entries for the IPv4 address `client`, and a prefix for operation ids."""
        site = router.classifier.site_of(int.from_bytes(socket.inet_aton(client)))
        seats = self._membership.entries_for(site, ENTRIES_PER_LOOKUP)
        executor, prefix, remaining = self._choose_executor(seats)
        rows = router.document["entries"]
        entries = [LookupEntry(name=seat, address=rows[seat]["callers"]) for seat in seats]
        return LookupAnswer(
            site=site,
            entries=entries,
            executor=executor,
            operation_prefix=prefix,
            valid_ms=min(LOOKUP_VALIDITY, remaining) // timedelta(milliseconds=1),
            revision=revision,
        )

    def _choose_executor(self, seats: list[str]) -> tuple[str, str, timedelta]:
        for seat in seats:
            if seat == self._me.seat:
                break
            found = self._membership.prefix_of(seat)
            if found is not None:
                return seat, *found
        own = self._ids.prefix()
        return self._me.seat, own.text, own.valid_for
