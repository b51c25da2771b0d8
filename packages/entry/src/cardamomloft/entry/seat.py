"""The seat record: whether an earlier life of this seat may have left uses and loans behind.

A life is recorded in the store before it owns any share, and a clean stop is noted there. An
entry that finds the note, or no record at all, need not wait for a predecessor. One that cannot
record its life (the store is away) works on loans from its peers until it can.
"""

import json
import typing as t

from cardamomloft.core.model import Incarnation
from cardamomloft.store.keyvalue import Record, Store
from expression import Result


class SeatRow(t.TypedDict):
    """Value of ``seat/<name>``."""

    incarnation: str
    stopped: bool


class SeatRecord:
    """The record of this process in its seat.

    Attributes
    ----------
    recorded
        Whether the store has this life.
    predecessor
        Whether an earlier life may still have uses or loans; True until the contrary is known.
    """

    def __init__(self, me: Incarnation, store: Store) -> None:
        self._me = me
        self._store = store
        self._key = f"seat/{me.seat}"
        self.recorded = False
        self.predecessor = True
        self._clean = False

    async def record(self) -> bool:
        """Try once to record this life; return whether it is recorded."""
        match await self._store.get(self._key):
            case Result(tag="ok", ok=found):
                pass
            case _:
                return False
        row = _parse(found)
        if row is not None and row["incarnation"] == self._me.number:
            # The last try took effect although its answer was lost: the one before it cannot, as
            # each is conditional on the version that it had read.
            self._note_recorded()
            return True
        self._clean = found is None or (row is not None and row["stopped"])
        if await self._write(found, stopped=False):
            self._note_recorded()
        return self.recorded

    def _note_recorded(self) -> None:
        self.recorded = True
        self.predecessor = not self._clean

    async def note_stop(self) -> bool:
        """Note that this life has ended cleanly; call it when nothing is used or lent."""
        match await self._store.get(self._key):
            case Result(tag="ok", ok=found):
                pass
            case _:
                return False
        row = _parse(found)
        if row is None or row["incarnation"] != self._me.number:
            return False
        return await self._write(found, stopped=True)

    async def _write(self, found: Record | None, *, stopped: bool) -> bool:
        value = json.dumps(SeatRow(incarnation=self._me.number, stopped=stopped)).encode()
        version = 0 if found is None else found.version
        match await self._store.compare_and_swap(self._key, value, version):
            case Result(tag="ok", ok=swapped):
                return swapped
            case _:
                return False


def _parse(found: Record | None) -> SeatRow | None:
    if found is None:
        return None
    try:
        row = json.loads(found.value)
        return SeatRow(incarnation=str(row["incarnation"]), stopped=row["stopped"] is True)
    except (ValueError, KeyError, TypeError):
        return None
