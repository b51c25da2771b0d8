"""One entry's attempts to be a steward of its region.

A steward watches the configuration key and passes new revisions on. It decides nothing, so no
steward, several of them, or one that is paused past its lease do no harm: copies only go up. The
lease is there to keep the number of store calls down to a few per region.

The two standbys of a region, the first two of its roster that are not known to be out, wait on the
lease key. If the holder also goes silent towards its peers, they watch the configuration before
the lease has run out. Every other entry reads the lease key seldom, so that all of them together
make one read in `SLOW_READ`, however many they are.
"""

import random
import typing as t
from collections.abc import Iterable
from datetime import timedelta

from automat import MethodicalMachine
from cardamomloft.core.clock import Clock

LEASE_DURATION = timedelta(seconds=10)
SLOW_READ = timedelta(seconds=5)
FIRST_RETRY = timedelta(milliseconds=500)
LAST_RETRY = timedelta(seconds=20)
SILENCE = timedelta(milliseconds=1500)
STANDBYS_PER_REGION = 2


class TryLease(t.NamedTuple):
    """Acquire the region's lease for `duration`; answer by lease_granted or lease_refused."""

    region: str
    duration: timedelta


class Renew(t.NamedTuple):
    """Renew the lease; answer by lease_granted or lease_lost."""

    region: str


class WatchLease(t.NamedTuple):
    """Wait on the lease key until its holder changes; answer by lease_held or lease_free."""

    region: str


class ReadLease(t.NamedTuple):
    """Read the lease key at once; answer by lease_held or lease_free."""

    region: str


Step = TryLease | Renew | WatchLease | ReadLease


def _steps(outputs: Iterable[Step | None]) -> list[Step]:
    return [step for step in outputs if step is not None]


class Stewardship:
    """The state of one entry's attempt.

    The owner does at most one :data:`Step` at a time and reports its outcome by exactly one of
    the lease inputs or `store_failed`; a waiting watch is such a step. It watches the
    configuration key while `watches_configuration` is true. Each input returns the steps that
    follow at once.

    Parameters
    ----------
    region
        The region whose lease is tried for.
    rng
        Jitter, so that entries started together don't call together.
    """

    _machine = MethodicalMachine()

    def __init__(self, region: str, clock: Clock, rng: random.Random) -> None:
        self._region = region
        self._clock = clock
        self._rng = rng
        self._standby = False
        self._size = 1
        self._holder: str | None = None
        self._holder_heard: timedelta | None = None
        self._failures = 0
        self._next = clock.monotonic() + self._jittered(FIRST_RETRY)
        self._asked = clock.monotonic()
        self._probed = clock.monotonic()
        self._step_out = False
        self._is_steward = False

    # States.

    @_machine.state(initial=True)
    def _idle(self) -> None:
        """Nothing asked; the next step is due at `_next`."""

    @_machine.state()
    def _looking(self) -> None:
        """A read of or a watch on the lease key is out."""

    @_machine.state()
    def _asking(self) -> None:
        """The lease has been asked for."""

    @_machine.state()
    def _steward(self) -> None:
        """The lease is held, and the next renewal is due at `_next`."""

    @_machine.state()
    def _renewing(self) -> None:
        """The lease is held and its renewal is out."""

    # Inputs. Those with an underscore come from `tick`.

    @_machine.input()
    def _look_due(self) -> None: ...

    @_machine.input()
    def _renew_due(self) -> None: ...

    @_machine.input()
    def lease_free(self) -> None:
        """Take the answer that nobody holds the lease."""

    @_machine.input()
    def lease_held(self, holder: str) -> None:
        """Take the answer that `holder` has the lease, which it names as ``seat/number``."""

    @_machine.input()
    def lease_granted(self) -> None:
        """Take the answer that the lease is ours, anew or renewed."""

    @_machine.input()
    def lease_refused(self) -> None:
        """Take the answer that another holds the lease."""

    @_machine.input()
    def lease_lost(self) -> None:
        """Take the answer to a renewal that the lease had run out."""

    @_machine.input()
    def store_failed(self) -> None:
        """Take that the step's outcome is unknown or the store is away."""

    # Outputs.

    @_machine.output()
    def _start_look(self) -> Step:
        self._begin()
        if self._standby and self._holder is not None:
            return WatchLease(self._region)
        return ReadLease(self._region)

    @_machine.output()
    def _start_asking(self) -> Step:
        self._begin()
        self._holder = None
        return TryLease(self._region, LEASE_DURATION)

    @_machine.output()
    def _start_renewal(self) -> Step:
        self._begin()
        return Renew(self._region)

    @_machine.output()
    def _note_holder(self, holder: str) -> None:
        self._step_out = False
        self._failures = 0
        if holder != self._holder:
            self._holder = holder
            self._holder_heard = self._clock.monotonic()
        self._next = self._clock.monotonic() + self._pause_between_looks()

    @_machine.output()
    def _note_grant(self) -> None:
        self._step_out = False
        self._failures = 0
        self._is_steward = True
        self._next = self._asked + LEASE_DURATION / 3

    @_machine.output()
    def _note_refusal(self) -> None:
        self._step_out = False
        self._failures += 1
        self._next = self._clock.monotonic() + max(self._back_off(), self._pause_between_looks())

    @_machine.output()
    def _note_loss(self) -> None:
        self._step_out = False
        self._is_steward = False
        self._next = self._clock.monotonic() + self._jittered(FIRST_RETRY)

    @_machine.output()
    def _note_failure(self) -> None:
        self._step_out = False
        self._failures += 1
        self._next = self._clock.monotonic() + self._back_off()

    _idle.upon(_look_due, enter=_looking, outputs=[_start_look], collector=_steps)
    _looking.upon(lease_free, enter=_asking, outputs=[_start_asking], collector=_steps)
    _looking.upon(lease_held, enter=_idle, outputs=[_note_holder], collector=_steps)
    _looking.upon(store_failed, enter=_idle, outputs=[_note_failure], collector=_steps)
    _asking.upon(lease_granted, enter=_steward, outputs=[_note_grant], collector=_steps)
    _asking.upon(lease_refused, enter=_idle, outputs=[_note_refusal], collector=_steps)
    _asking.upon(store_failed, enter=_idle, outputs=[_note_failure], collector=_steps)
    _steward.upon(_renew_due, enter=_renewing, outputs=[_start_renewal], collector=_steps)
    _renewing.upon(lease_granted, enter=_steward, outputs=[_note_grant], collector=_steps)
    _renewing.upon(lease_lost, enter=_idle, outputs=[_note_loss], collector=_steps)
    _renewing.upon(store_failed, enter=_steward, outputs=[_note_failure], collector=_steps)

    @property
    def is_steward(self) -> bool:
        """Whether the lease was ours when the store last said; it may have run out since."""
        return self._is_steward

    @property
    def watches_configuration(self) -> bool:
        """Whether to watch the configuration key and pass on what it says."""
        return self._is_steward or (self._standby and self._holder_silent())

    def set_role(self, *, standby: bool, size: int) -> None:
        """Set whether this entry is a standby, and the number of entries in its region."""
        if standby and not self._standby:
            self._next = min(self._next, self._clock.monotonic() + self._jittered(FIRST_RETRY))
        self._standby = standby
        self._size = max(size, 1)

    def record_message(self, process: str) -> None:
        """Note that a process, named as in the lease, sent a message.

        A new life of the holder's seat has no lease, so hearing it must not pass for the holder.
        """
        if process == self._holder:
            self._holder_heard = self._clock.monotonic()

    def peer_to_probe(self) -> str | None:
        """Return the holder's seat if it should now be asked for its digest."""
        now = self._clock.monotonic()
        if not self._standby or self._holder is None or now - self._probed < SILENCE / 3:
            return None
        self._probed = now
        return self._holder.partition("/")[0]

    def tick(self) -> list[Step]:
        """Return the step to do now, if one is due and none is out."""
        if self._clock.monotonic() < self._next or self._step_out:
            return []
        return self._renew_due() if self._is_steward else self._look_due()

    def _begin(self) -> None:
        self._step_out = True
        self._asked = self._clock.monotonic()

    def _holder_silent(self) -> bool:
        if self._holder is None or self._holder_heard is None:
            return False
        return self._clock.monotonic() - self._holder_heard > SILENCE

    def _pause_between_looks(self) -> timedelta:
        if self._standby:
            return self._jittered(FIRST_RETRY / 5)
        return self._jittered(SLOW_READ * self._size)

    def _back_off(self) -> timedelta:
        return self._jittered(min(FIRST_RETRY * 2 ** min(self._failures, 10), LAST_RETRY))

    def _jittered(self, wait: timedelta) -> timedelta:
        return wait * self._rng.uniform(0.5, 1.5)
