"""Look-ups of the entries that a client should use."""

import typing as t
from datetime import timedelta

from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import EntryRecord

MAX_LOOKUP_TTL = timedelta(seconds=2)
"""Maximum time for which callers may cache a look-up, within the bound of the settings. A
look-up may name a failed entry for that much longer."""


class LookupResult(t.NamedTuple):
    """Result of a look-up: the addresses to send requests to, and for how long it may be cached."""

    addresses: list[str]
    ttl: timedelta


def lookup_result(named: list[EntryRecord], max_ttl: timedelta) -> LookupResult | Refusal:
    """Return the result that names these entries, or a refusal if there is none."""
    if not named:
        return Refusal(RefusalReason.NOT_READY, "no entry is ready")
    return LookupResult([record.address for record in named], min(MAX_LOOKUP_TTL, max_ttl))
