"""Rows of the capacity page and what they are worked out from: plan, limits, fits, constants."""

import math
import typing as t
from collections.abc import Callable, Mapping

from slopes_fit import Fit

DAY_S = 86_400
_HOP_MS = 35.0
_KB = 1_000
_MB = 1_000_000
BASE64 = 4 / 3
SMALL_FLEET = 16
LARGEST_FLEET = 32

LOOK_UPS = "entry answering look-ups"
REQUESTS = "entry carrying requests"
STEWARD = "steward"
COMMAND = "operator's command"
STORE = "store's use by us"
PEERS = "peer network"
NODE = "whole node, control"
ROLES = (LOOK_UPS, REQUESTS, STEWARD, COMMAND, STORE, PEERS, NODE)
ASPECTS = ("state", "messages", "processor", "memory", "time")

CONTROL_CPU = 2.7
CONTROL_BYTES = 64 * _MB
CONTROL_BYTES_PER_S = 4 * _KB
VALUE_BYTES = 1 * _MB
IN_FORCE_S = 6.0
STORE_READS = 2_000.0
STORE_WRITES = 300.0


class Plan(t.NamedTuple):
    """A size of the whole system; `blocks_changed` is the part of the map in one change."""

    entries: int
    blocks: int
    regions: int
    look_ups_per_s: float
    changes_per_day: float
    vms_per_day: float
    blocks_changed: int

    def scaled(self, entries: int) -> "Plan":
        """Return this plan for other entries; what they cause grows with them."""
        factor = entries / self.entries
        return self._replace(
            entries=entries,
            blocks=round(self.blocks * factor),
            look_ups_per_s=self.look_ups_per_s * factor,
            changes_per_day=self.changes_per_day * factor,
            vms_per_day=self.vms_per_day * factor,
        )


TARGET = Plan(1_500, 1_200_000, 8, 1_000_000, 780, 4 + 82, 3)


class Row(t.NamedTuple):
    """One figure of one role; `limit` is None where none is set."""

    role: str
    aspect: str
    what: str
    value: float
    unit: str
    limit: float | None
    mechanism: str
    series: tuple[str, ...]

    @property
    def over(self) -> bool:
        """Whether the figure is above its limit."""
        return self.limit is not None and self.value > self.limit


class Working:
    """The fits and constants that rows are worked out from; notes which of them a row used."""

    def __init__(self, fits: Mapping[str, Fit], constants: Mapping[str, float], plan: Plan) -> None:
        self.plan = plan
        self.constants = constants
        self._fits = fits
        self._used: list[str] = []

    def at(self, name: str, size: float) -> float:
        """Return a series' line at a size."""
        self._used.append(name)
        return self._fits[name].at(size)

    def by_entries(self, name: str) -> float:
        """Return a series' line at the plan's entries."""
        return self.at(name, self.plan.entries)

    def slope(self, name: str) -> float:
        """Return what one more of what the sizes count adds."""
        self._used.append(name)
        return self._fits[name].slope

    def row(
        self,
        role: str,
        aspect: str,
        what: str,
        value: Callable[["Working"], float],
        unit: str,
        limit: float | None,
        mechanism: str,
    ) -> Row:
        """Return a row with the series that its value was worked out from."""
        self._used = []
        worked = round(value(self), 6)
        return Row(role, aspect, what, worked, unit, limit, mechanism, tuple(sorted({*self._used})))


def changes_per_s(work: Working) -> float:
    """Return how many changes of configuration come a second."""
    return work.plan.changes_per_day / DAY_S


def vms_wait(work: Working) -> float:
    """Return the seconds between two fetches of the VM list by an entry that is no steward."""
    return max(work.constants["vms_every_s"], work.plan.entries * work.constants["vms_per_entry_s"])


def digest_bytes(work: Working) -> float:
    """Return the bytes of digests that an entry sends and receives a second."""
    entries = work.plan.entries
    targets = entries - 1 if entries <= SMALL_FLEET else work.constants["gossip_targets"]
    return 2 * targets * work.constants["digest_bytes"]


def spread_s(work: Working) -> float:
    """Return the seconds until all entries have a new document."""
    hops = work.by_entries("configuration.hops")
    read = work.by_entries("configuration.unpack") + work.by_entries("configuration.check")
    own = work.by_entries("configuration.decode_record") + work.by_entries("configuration.pack")
    # Digest, request and document are three hops, and only the last of them waits for a check.
    steps = math.ceil(hops / 3)
    in_force = work.by_entries("configuration.put_in_force")
    return (own + hops * _HOP_MS + steps * read + in_force) / 1000
