"""Which facts to accept from a control store that was restored from an older copy.

Items written after the copy was made are missing or outdated until their owners write them again.
This entry's state may be newer or older than the copy, so each kind of fact is handled in the way
that is safe if it is wrong:

- the revision of the configuration never decreases;
- a missing endpoint or entry is kept for the grace period in which it registers again;
- an endpoint known as leaving or gone gets no requests, and an entry known as gone is not
  recommended, until it registers again or its record has outlasted the leases of dead processes;
- a zone drained in the copy is drained, and one drained before stays drained for a while, until
  the operators have repeated what they changed since the copy.
"""

import typing as t
from collections.abc import Iterable, Set
from datetime import timedelta
from functools import singledispatch

from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecorded, Fact, UpstreamRegistered, ZoneDrained
from cardamomloft.core.upstreamtable import UpstreamTable

CONFIRMATION_TIMEOUT = timedelta(seconds=10)
"""How long facts that contradict this entry's state stay unconfirmed.

The leases of dead processes expire within it, and operators repeat lost changes. A zone whose drain
had ended before the restore gets no requests for this long.
"""


class ClassifiedFacts(t.NamedTuple):
    """The facts of a restored store: those to apply now, and those known to be outdated."""

    accepted: tuple[Fact, ...]
    unconfirmed: tuple[Fact, ...]


def classify_facts(
    facts: Iterable[Fact], table: UpstreamTable, entries: EntryTable
) -> ClassifiedFacts:
    """Divide the facts of a restored store by comparing them with this entry's state."""
    accepted: list[Fact] = []
    unconfirmed: list[Fact] = []
    for fact in facts:
        (unconfirmed if _is_outdated(fact, table, entries) else accepted).append(fact)
    return ClassifiedFacts(tuple(accepted), tuple(unconfirmed))


def missing_drains(facts: Iterable[Fact], drained_zones: Set[str]) -> set[str]:
    """Return the zones that are drained at this entry but not in a listing of the store."""
    return set(drained_zones) - {fact.zone for fact in facts if isinstance(fact, ZoneDrained)}


@singledispatch
def _is_outdated(fact: Fact, table: UpstreamTable, entries: EntryTable) -> bool:
    return False


@_is_outdated.register
def _(fact: UpstreamRegistered, table: UpstreamTable, entries: EntryTable) -> bool:
    return table.is_outdated(fact.registration)


@_is_outdated.register
def _(fact: EntryRecorded, table: UpstreamTable, entries: EntryTable) -> bool:
    return entries.has_gone(fact.record.name)
