"""Rows of the capacity page and the model that computes them from fits and constants."""

import math
import typing as t
from collections.abc import Callable, Mapping

from slopes_fit import Fit

DAY_S = 86_400
_HOP_MS = 35.0
_KB = 1_000
_MB = 1_000_000
BASE64_FACTOR = 4 / 3
FULL_MESH_MAX_ENTRIES = 16
MAX_MEASURED_ENTRIES = 32

LOOK_UPS = "entry answering look-ups"
REQUESTS = "entry carrying requests"
STEWARD = "steward"
COMMAND = "operator's command"
STORE = "store's use by us"
PEERS = "peer network"
NODE = "whole node, control"
ROLES = (LOOK_UPS, REQUESTS, STEWARD, COMMAND, STORE, PEERS, NODE)
ASPECTS = ("state", "messages", "processor", "memory", "time")

MAX_CONTROL_CPU_PERCENT = 2.7
MAX_CONTROL_BYTES = 64 * _MB
MAX_CONTROL_BYTES_PER_S = 4 * _KB
MAX_VALUE_BYTES = 1 * _MB
MAX_IN_FORCE_S = 6.0
MAX_STORE_READS_PER_S = 2_000.0
MAX_STORE_WRITES_PER_S = 300.0


class Plan(t.NamedTuple):
    """Size of the whole system; `blocks_changed` is the number of client blocks in one change."""

    entries: int
    blocks: int
    regions: int
    look_ups_per_s: float
    changes_per_day: float
    vms_per_day: float
    blocks_changed: int

    def scaled(self, entries: int) -> "Plan":
        """Return the plan for another fleet size, with blocks and rates scaled in proportion."""
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
    """One computed value of one role; `limit` is None if the value is not limited."""

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
        """Whether the value exceeds its limit."""
        return self.limit is not None and self.value > self.limit


class CapacityModel:
    """Evaluates fits and constants at a plan, and records which series each row uses."""

    def __init__(self, fits: Mapping[str, Fit], constants: Mapping[str, float], plan: Plan) -> None:
        self.plan = plan
        self.constants = constants
        self._fits = fits
        self._used: list[str] = []

    def at(self, name: str, size: float) -> float:
        """Return the fitted value of a series at a size."""
        self._used.append(name)
        return self._fits[name].at(size)

    def by_entries(self, name: str) -> float:
        """Return the fitted value of a series at the plan's number of entries."""
        return self.at(name, self.plan.entries)

    def slope(self, name: str) -> float:
        """Return the increase of a series' value per unit of size."""
        self._used.append(name)
        return self._fits[name].slope

    def row(
        self,
        role: str,
        aspect: str,
        what: str,
        value: Callable[["CapacityModel"], float],
        unit: str,
        limit: float | None,
        mechanism: str,
    ) -> Row:
        """Return a row with the computed value and the names of the series it depends on."""
        self._used = []
        computed = round(value(self), 6)
        return Row(
            role, aspect, what, computed, unit, limit, mechanism, tuple(sorted({*self._used}))
        )


def changes_per_s(model: CapacityModel) -> float:
    """Return the rate of configuration changes per second."""
    return model.plan.changes_per_day / DAY_S


def vm_list_interval_s(model: CapacityModel) -> float:
    """Return the seconds between fetches of the VM list by an entry that is not a steward."""
    return max(
        model.constants["vms_every_s"], model.plan.entries * model.constants["vms_per_entry_s"]
    )


def digest_bytes_per_s(model: CapacityModel) -> float:
    """Return the bytes of digests that an entry sends and receives per second."""
    entries = model.plan.entries
    targets = entries - 1 if entries <= FULL_MESH_MAX_ENTRIES else model.constants["gossip_targets"]
    return 2 * targets * model.constants["digest_bytes"]


def propagation_s(model: CapacityModel) -> float:
    """Return the seconds until a new document is in force at all entries."""
    hops = model.by_entries("configuration.hops")
    read_ms = model.by_entries("configuration.unpack") + model.by_entries("configuration.check")
    first_ms = model.by_entries("configuration.decode_record") + model.by_entries(
        "configuration.pack"
    )
    # Digest, request and document are three hops; only the document has to be checked.
    steps = math.ceil(hops / 3)
    in_force_ms = model.by_entries("configuration.put_in_force")
    return (first_ms + hops * _HOP_MS + steps * read_ms + in_force_ms) / 1000
