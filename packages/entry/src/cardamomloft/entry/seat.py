"""The seat record in the store: whether an earlier process may still use or have lent shares.

Each incarnation of a seat is recorded before it owns any share, and again when it stops cleanly. An
entry that finds a clean stop, or no record, need not wait for a predecessor. An entry that
cannot write its record, because the store is unavailable, uses only loans from its peers.
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
        Whether the store has the record of this incarnation.
    may_have_predecessor
        Whether an earlier incarnation may still use or have lent shares; True until a
        record shows the opposite.
    """

    def __init__(self, me: Incarnation, store: Store) -> None:
        self._me = me
        self._store = store
        self._key = f"seat/{me.seat}"
        self.recorded = False
        self.may_have_predecessor = True
        self._no_predecessor = False

    async def record(self) -> bool:
        """Try once to record this incarnation; return whether it is recorded."""
        match await self._store.get(self._key):
            case Result(tag="ok", ok=found):
                pass
            case _:
                return False
        row = _parse(found)
        if row is not None and row["incarnation"] == self._me.number:
            # The last write took effect although its answer was lost. No earlier write can take
            # effect now, because each one requires the version that was read before it.
            self._set_recorded()
            return True
        self._no_predecessor = found is None or (row is not None and row["stopped"])
        if await self._write(found, stopped=False):
            self._set_recorded()
        return self.recorded

    def _set_recorded(self) -> None:
        self.recorded = True
        self.may_have_predecessor = not self._no_predecessor

    async def record_stop(self) -> bool:
        """Record a clean stop of this incarnation; call it only when no share is used or lent."""
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
