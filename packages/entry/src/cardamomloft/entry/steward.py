"""Makes a steward's store calls: the region's lease and the watch on the configuration."""

import random
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.changes import decode_record
from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Incarnation
from cardamomloft.core.replication import Replica, pack
from cardamomloft.core.stewardship import ReadLease, Renew, Step, Stewardship, TryLease, WatchLease
from cardamomloft.runtime.logs import log
from cardamomloft.store.keyvalue import Record, Store, WatchResult
from expression import Result
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

CONFIGURATION_KEY = "config/current"
WATCH_TIMEOUT = timedelta(minutes=5)
"""How long the store may hold a watch that sees no change."""
INITIAL_BACK_OFF = timedelta(milliseconds=500)
MAX_BACK_OFF = timedelta(seconds=10)


def offer_record(replica: Replica, record: Record | None) -> None:
    """Offer the replica the store's configuration record; None if there is no record."""
    if record is None:
        replica.on_store_empty()
        return
    match decode_record(record.value):
        case Result(tag="ok", ok=row):
            outcome = replica.offer(row["number"], pack(row["document"]))
            if outcome.is_error():
                log("configuration-refused", number=row["number"], detail=str(outcome.error))
        case Result(error=detail):
            log("configuration-unreadable", detail=detail)


class StewardRunner:
    """Executes the steps of one entry's :class:`Stewardship` with store calls.

    Parameters
    ----------
    on_offer
        Called after a successful read of the configuration.
    on_fault
        Called with exceptions; a step that raises counts as failed.

    Attributes
    ----------
    stewardship
        Decides whether this entry is its region's steward.
    """

    def __init__(
        self,
        me: Incarnation,
        region: str,
        clock: Clock,
        rng: random.Random,
        store: Store,
        replica: Replica,
        stewardship: Stewardship,
        on_offer: Callable[[], None],
        on_fault: Callable[[Failure], None],
    ) -> None:
        self._me = me
        self._key = f"steward/{region}"
        self._clock = clock
        self._rng = rng
        self._store = store
        self._replica = replica
        self.stewardship = stewardship
        self._on_offer = on_offer
        self._on_fault = on_fault
        self._lease: str | None = None
        self._lease_index = 0
        self._config_index = 0
        self._watching = False
        self._failures = 0
        self._next_watch_at = clock.monotonic()
        self._last_offered: Record | None = None

    def tick(self) -> None:
        """Start the steps that are due, and the configuration watch if it should run."""
        self._start(self.stewardship.tick())
        due = self._clock.monotonic() >= self._next_watch_at
        if self.stewardship.watches_configuration and not self._watching and due:
            self._watching = True
            ensureDeferred(self._watch()).addErrback(self._on_watch_failure).addBoth(
                self._watch_ended
            )

    async def release(self) -> None:
        """Release the lease, so that a standby need not wait until it expires."""
        if self._lease is not None:
            await self._store.release(self._lease)

    def _start(self, steps: list[Step]) -> None:
        for step in steps:
            ensureDeferred(self._execute(step)).addErrback(self._on_step_failure)

    def _on_step_failure(self, failure: Failure) -> None:
        self._on_fault(failure)
        self._start(self.stewardship.store_failed())

    async def _execute(self, step: Step) -> None:
        match step:
            case TryLease(_, duration):
                next_steps = await self._try_lease(duration)
            case Renew():
                next_steps = await self._renew()
            case WatchLease():
                result = await self._store.watch(self._key, self._lease_index, WATCH_TIMEOUT)
                next_steps = self._on_lease_read(result)
            case ReadLease():
                result = await self._store.watch(self._key, 0, WATCH_TIMEOUT)
                next_steps = self._on_lease_read(result)
        self._start(next_steps)

    async def _try_lease(self, duration: timedelta) -> list[Step]:
        match await self._store.create_lease(duration):
            case Result(tag="ok", ok=lease):
                pass
            case _:
                return self.stewardship.store_failed()
        match await self._store.acquire(self._key, str(self._me).encode(), lease):
            case Result(tag="ok", ok=True):
                self._lease = lease
                log("steward", key=self._key)
                return self.stewardship.lease_granted()
            case Result(tag="ok"):
                await self._store.release(lease)
                return self.stewardship.lease_refused()
        # The write may have succeeded; the lease is not renewed and expires.
        return self.stewardship.store_failed()

    async def _renew(self) -> list[Step]:
        match await self._store.renew(t.cast(str, self._lease)):
            case Result(tag="ok", ok=True):
                return self.stewardship.lease_granted()
            case Result(tag="ok"):
                self._lease = None
                return self.stewardship.lease_lost()
        return self.stewardship.store_failed()

    def _on_lease_read(self, result: Result[WatchResult, t.Any]) -> list[Step]:
        match result:
            case Result(tag="ok", ok=WatchResult(record, index)):
                self._lease_index = index
            case _:
                self._lease_index = 0
                return self.stewardship.store_failed()
        if record is None:
            return self.stewardship.lease_free()
        return self.stewardship.lease_held(record.value.decode("utf-8", "replace"))

    async def _watch(self) -> None:
        while self.stewardship.watches_configuration:
            result = await self._store.watch(CONFIGURATION_KEY, self._config_index, WATCH_TIMEOUT)
            match result:
                case Result(tag="ok", ok=WatchResult(record, index)):
                    self._config_index = index
                    self._offer(record)
                    self._failures = 0
                case _:
                    self._back_off()
                    return

    def _offer(self, record: Record | None) -> None:
        """Offer a new record; a watch that timed out returns the same record again."""
        if record is None or self._last_offered != record:
            offer_record(self._replica, record)
        self._last_offered = record
        self._on_offer()

    def _on_watch_failure(self, failure: Failure) -> None:
        self._back_off()
        self._on_fault(failure)

    def _back_off(self) -> None:
        self._config_index = 0
        wait = min(INITIAL_BACK_OFF * 2 ** min(self._failures, 6), MAX_BACK_OFF)
        self._failures += 1
        self._next_watch_at = self._clock.monotonic() + wait * self._rng.uniform(0.5, 1.0)

    def _watch_ended(self, _: object) -> None:
        self._watching = False
