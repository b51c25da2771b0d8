"""Election of a region's steward by a lease in the control store, as seen by one entry.

A steward watches the configuration key and passes new revisions on to its peers. It makes no
decisions and the revision of a replica never decreases, so having no steward, several of them or
one whose lease has expired is harmless. The lease only limits the store calls per region.

The standbys of a region, the first entries of its roster that are not known to be gone or leaving,
watch the lease key. If the holder stops sending messages to its peers, they watch the
configuration even before the lease has expired. All other entries of a region together read the
lease key once per `REGION_READ_INTERVAL` on average, however many they are.
"""

import random
import typing as t
from collections.abc import Iterable
from datetime import timedelta

from automat import MethodicalMachine
from cardamomloft.core.clock import Clock

LEASE_DURATION = timedelta(seconds=10)
REGION_READ_INTERVAL = timedelta(seconds=5)
MIN_RETRY_DELAY = timedelta(milliseconds=500)
MAX_RETRY_DELAY = timedelta(seconds=20)
HOLDER_SILENCE_TIMEOUT = timedelta(milliseconds=1500)
STANDBYS_PER_REGION = 2


class TryLease(t.NamedTuple):
    """Acquire the region's lease for `duration`; answer with lease_granted or lease_refused."""

    region: str
    duration: timedelta


class Renew(t.NamedTuple):
    """Renew the lease; answer with lease_granted or lease_lost."""

    region: str


class WatchLease(t.NamedTuple):
    """Watch the lease key until its holder changes; answer with lease_held or lease_free."""

    region: str


class ReadLease(t.NamedTuple):
    """Read the lease key without waiting; answer with lease_held or lease_free."""

    region: str


Step = TryLease | Renew | WatchLease | ReadLease


def _steps(outputs: Iterable[Step | None]) -> list[Step]:
    return [step for step in outputs if step is not None]


class Stewardship:
    """State machine of one entry's attempts to hold the lease; it does no store calls itself.

    The owner performs at most one :data:`Step` at a time and reports its outcome by exactly one of
    the lease inputs or `store_failed`; a pending watch is such a step. Each input returns the
    steps to perform next. While `watches_configuration` is true, the owner also watches the
    configuration key.

    Parameters
    ----------
    region
        The region whose lease is tried for.
    rng
        Source of jitter, so that entries started together don't call the store together.
    """

    _machine = MethodicalMachine()

    def __init__(self, region: str, clock: Clock, rng: random.Random) -> None:
        self._region = region
        self._clock = clock
        self._rng = rng
        self._standby = False
        self._region_size = 1
        self._holder: str | None = None
        self._last_holder_message_at: timedelta | None = None
        self._failures = 0
        self._next_step_at = clock.monotonic() + self._with_jitter(MIN_RETRY_DELAY)
        self._step_started_at = clock.monotonic()
        self._last_probe_at = clock.monotonic()
        self._step_pending = False
        self._is_steward = False

    # States.

    @_machine.state(initial=True)
    def _idle(self) -> None:
        """No step is pending; the next one is due at `_next_step_at`."""

    @_machine.state()
    def _reading(self) -> None:
        """A read or a watch of the lease key is pending."""

    @_machine.state()
    def _acquiring(self) -> None:
        """A request to acquire the lease is pending."""

    @_machine.state()
    def _steward(self) -> None:
        """The lease is held; its next renewal is due at `_next_step_at`."""

    @_machine.state()
    def _renewing(self) -> None:
        """The lease is held; a request to renew it is pending."""

    # Inputs. Those with an underscore come from `tick`.

    @_machine.input()
    def _read_due(self) -> None: ...

    @_machine.input()
    def _renew_due(self) -> None: ...

    @_machine.input()
    def lease_free(self) -> None:
        """Report that nobody holds the lease."""

    @_machine.input()
    def lease_held(self, holder: str) -> None:
        """Report that `holder`, given as ``seat/number``, has the lease."""

    @_machine.input()
    def lease_granted(self) -> None:
        """Report that this entry acquired or renewed the lease."""

    @_machine.input()
    def lease_refused(self) -> None:
        """Report that the lease was not acquired because another process holds it."""

    @_machine.input()
    def lease_lost(self) -> None:
        """Report that the lease was not renewed because it had expired."""

    @_machine.input()
    def store_failed(self) -> None:
        """Report that the store is unavailable or the step's outcome is unknown."""

    # Outputs.

    @_machine.output()
    def _start_read(self) -> Step:
        self._begin_step()
        if self._standby and self._holder is not None:
            return WatchLease(self._region)
        return ReadLease(self._region)

    @_machine.output()
    def _start_acquisition(self) -> Step:
        self._begin_step()
        self._holder = None
        return TryLease(self._region, LEASE_DURATION)

    @_machine.output()
    def _start_renewal(self) -> Step:
        self._begin_step()
        return Renew(self._region)

    @_machine.output()
    def _record_holder(self, holder: str) -> None:
        self._step_pending = False
        self._failures = 0
        if holder != self._holder:
            self._holder = holder
            self._last_holder_message_at = self._clock.monotonic()
        self._next_step_at = self._clock.monotonic() + self._read_interval()

    @_machine.output()
    def _record_grant(self) -> None:
        self._step_pending = False
        self._failures = 0
        self._is_steward = True
        self._next_step_at = self._step_started_at + LEASE_DURATION / 3

    @_machine.output()
    def _record_refusal(self) -> None:
        self._step_pending = False
        self._failures += 1
        self._next_step_at = self._clock.monotonic() + max(self._back_off(), self._read_interval())

    @_machine.output()
    def _record_loss(self) -> None:
        self._step_pending = False
        self._is_steward = False
        self._next_step_at = self._clock.monotonic() + self._with_jitter(MIN_RETRY_DELAY)

    @_machine.output()
    def _record_failure(self) -> None:
        self._step_pending = False
        self._failures += 1
        self._next_step_at = self._clock.monotonic() + self._back_off()

    _idle.upon(_read_due, enter=_reading, outputs=[_start_read], collector=_steps)
    _reading.upon(lease_free, enter=_acquiring, outputs=[_start_acquisition], collector=_steps)
    _reading.upon(lease_held, enter=_idle, outputs=[_record_holder], collector=_steps)
    _reading.upon(store_failed, enter=_idle, outputs=[_record_failure], collector=_steps)
    _acquiring.upon(lease_granted, enter=_steward, outputs=[_record_grant], collector=_steps)
    _acquiring.upon(lease_refused, enter=_idle, outputs=[_record_refusal], collector=_steps)
    _acquiring.upon(store_failed, enter=_idle, outputs=[_record_failure], collector=_steps)
    _steward.upon(_renew_due, enter=_renewing, outputs=[_start_renewal], collector=_steps)
    _renewing.upon(lease_granted, enter=_steward, outputs=[_record_grant], collector=_steps)
    _renewing.upon(lease_lost, enter=_idle, outputs=[_record_loss], collector=_steps)
    _renewing.upon(store_failed, enter=_steward, outputs=[_record_failure], collector=_steps)

    @property
    def is_steward(self) -> bool:
        """Whether the store's last answer gave this entry the lease; it may have expired since."""
        return self._is_steward

    @property
    def watches_configuration(self) -> bool:
        """Whether to watch the configuration key and pass its revisions on."""
        return self._is_steward or (self._standby and self._holder_silent())

    def set_role(self, *, standby: bool, size: int) -> None:
        """Set whether this entry is a standby, and the number of entries in its region."""
        if standby and not self._standby:
            self._next_step_at = min(
                self._next_step_at, self._clock.monotonic() + self._with_jitter(MIN_RETRY_DELAY)
            )
        self._standby = standby
        self._region_size = max(size, 1)

    def record_message(self, process: str) -> None:
        """Record a message from `process`, which is named as in the lease.

        Another incarnation of the holder's seat has no lease and does not count as the holder.
        """
        if process == self._holder:
            self._last_holder_message_at = self._clock.monotonic()

    def peer_to_probe(self) -> str | None:
        """Return the holder's seat if a digest should be requested from it now, else None."""
        now = self._clock.monotonic()
        if (
            not self._standby
            or self._holder is None
            or now - self._last_probe_at < HOLDER_SILENCE_TIMEOUT / 3
        ):
            return None
        self._last_probe_at = now
        return self._holder.partition("/")[0]

    def tick(self) -> list[Step]:
        """Return the step to perform now, if one is due and none is pending."""
        if self._clock.monotonic() < self._next_step_at or self._step_pending:
            return []
        return self._renew_due() if self._is_steward else self._read_due()

    def _begin_step(self) -> None:
        self._step_pending = True
        self._step_started_at = self._clock.monotonic()

    def _holder_silent(self) -> bool:
        if self._holder is None or self._last_holder_message_at is None:
            return False
        return self._clock.monotonic() - self._last_holder_message_at > HOLDER_SILENCE_TIMEOUT

    def _read_interval(self) -> timedelta:
        if self._standby:
            return self._with_jitter(MIN_RETRY_DELAY / 5)
        return self._with_jitter(REGION_READ_INTERVAL * self._region_size)

    def _back_off(self) -> timedelta:
        return self._with_jitter(
            min(MIN_RETRY_DELAY * 2 ** min(self._failures, 10), MAX_RETRY_DELAY)
        )

    def _with_jitter(self, delay: timedelta) -> timedelta:
        return delay * self._rng.uniform(0.5, 1.5)
