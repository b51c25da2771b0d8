"""What to believe of a control store that has come back from an older copy of itself.

What was written since the copy is missing or stands there in an older form until those who wrote it
write it again. What is known here may be later than the copy or earlier, so each kind of fact is
taken in the way that breaks no promise if it is wrong:

- a configuration never goes back, restored or not;
- an endpoint or entry that is missing is kept for the time in which it writes itself again;
- an endpoint that had said it leaves, or was gone, gets nothing on the word of the copy, and an
  entry that was gone is not named, until they write themselves again or have stood there for longer
  than the dead do: they may have written before the list was read;
- a zone that is drained in the copy is drained, and one that was drained before stays so for a
  while: the operators' later word, either way, is written again.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatch

from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecorded, Fact, UpstreamRegistered, ZoneDrained
from cardamomloft.core.upstreamtable import UpstreamTable

CONFIRMATION_TIMEOUT = timedelta(seconds=10)
"""How long the copy is doubted. The leases of the dead run out in it, and operators write again
what they had announced; a zone that they had opened again idles for so long."""


class Sifted(t.NamedTuple):
    """The facts of a restored store: those to take, and those that are known to be out of date."""

    taken: tuple[Fact, ...]
    doubted: tuple[Fact, ...]


def classify_facts(facts: Iterable[Fact], book: UpstreamTable, entries: EntryTable) -> Sifted:
    """Divide the list of a restored store by what is known here."""
    taken: list[Fact] = []
    doubted: list[Fact] = []
    for fact in facts:
        (doubted if _is_outdated(fact, book, entries) else taken).append(fact)
    return Sifted(tuple(taken), tuple(doubted))


def missing_drains(facts: Iterable[Fact], book: UpstreamTable) -> set[str]:
    """Return the zones that are drained here and not in the list."""
    return book.drained_zones - {fact.zone for fact in facts if isinstance(fact, ZoneDrained)}


@singledispatch
def _is_outdated(fact: Fact, book: UpstreamTable, entries: EntryTable) -> bool:
    return False


@_is_outdated.register
def _(fact: UpstreamRegistered, book: UpstreamTable, entries: EntryTable) -> bool:
    return book.is_outdated(fact.registration)


@_is_outdated.register
def _(fact: EntryRecorded, book: UpstreamTable, entries: EntryTable) -> bool:
    return entries.has_gone(fact.record.name)
