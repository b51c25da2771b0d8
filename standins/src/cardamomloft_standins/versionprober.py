"""Probes which configuration each gateway of a :class:`LinkFleet` has in force.

Each configuration has a rule of its own, which later ones keep for a while. All times are those of
``time.monotonic``, in seconds.
"""

import http.client
import itertools
import random
import threading
import time
import typing as t
from collections.abc import Iterable

from cardamomloft_standins import endpoints

KEPT = 6
"""Number of configurations that have a configuration's rule."""

APPLY_S = 2.5
"""Time in which a confirmed configuration must be in force."""

ROLLBACK_SLACK_S = 0.25
"""Time after which no older configuration than one that was seen may decide."""

CONTACT_S = 4.0
"""Time without a disturbance after which the bound applies."""

INTERVAL_S = 0.03
"""Interval between two probes."""

_ABSENT, _PRESENT = 404, 200


class Version(t.NamedTuple):
    """A configuration that was confirmed at `confirmed`."""

    number: int
    confirmed: float


class Probe(t.NamedTuple):
    """A request to a gateway's process `pid` by the rule of the configuration `version`."""

    gateway: str
    pid: int
    version: int
    sent: float
    received: float
    status: int


class Disturbance(t.NamedTuple):
    """A gateway, or all if `gateway` is empty, was disturbed from `begin` until `end`."""

    gateway: str
    begin: float
    end: float


def version_rules(newest: int) -> list[dict[str, t.Any]]:
    """Return the rules of the configuration `newest` and of those that it keeps."""
    return [
        {
            "name": f"version-{number}",
            "when": {"host": endpoints.HOST, "path": _prefix(number)},
            "then": {
                "services": [{"service": "menus", "weight": 1}],
                "idempotent": True,
                "timeout": "1s",
                "attempts": 2,
            },
        }
        for number in range(max(1, newest - KEPT + 1), newest + 1)
    ]


class VersionProber(threading.Thread):
    """Sends probes until it is stopped.

    Parameters
    ----------
    fleet
        The gateways.
    seed
        Seed of the gateways and configurations that are probed.

    Attributes
    ----------
    versions
        The configurations that are confirmed.
    begun
        When the writing of each configuration began.
    probes
        The probes that were answered.
    """

    def __init__(self, fleet: t.Any, seed: int) -> None:
        super().__init__()
        self.versions: list[Version] = []
        self.begun: list[float] = []
        self.probes: list[Probe] = []
        self.stopped = threading.Event()
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def run(self) -> None:
        """Probe gateways drawn at random."""
        while not self.stopped.wait(INTERVAL_S):
            if self.versions:
                self._probe(self._rng.choice(self._fleet.settings))

    def _probe(self, cfg: dict[str, t.Any]) -> None:
        newest = self.versions[-1].number
        version = max(1, newest - self._rng.randrange(3))
        pid, sent = self._fleet.pid(cfg), time.monotonic()
        status = _status(cfg["callers"], f"{_prefix(version)}{next(self._numbers)}")
        if status and pid == self._fleet.pid(cfg):
            probe = Probe(cfg["name"], pid, version, sent, time.monotonic(), status)
            self.probes.append(probe)


def late(
    probes: Iterable[Probe],
    versions: list[Version],
    begun: list[float],
    disturbances: list[Disturbance],
) -> list[Probe]:
    """Return the probes that found a confirmed configuration not in force in time."""
    confirmed = {version.number: version.confirmed for version in versions}
    return [
        probe
        for probe in probes
        if probe.status == _ABSENT
        and probe.version in confirmed
        and probe.sent >= confirmed[probe.version] + APPLY_S
        and _is_kept(probe, begun)
        and not _is_disturbed(probe, disturbances)
    ]


def older(probes: Iterable[Probe], begun: list[float]) -> list[tuple[Probe, Probe]]:
    """Return pairs of probes of one process whose second one was decided by an older version."""
    found, seen = [], {}
    for probe in sorted(probes, key=lambda probe: probe.received):
        key = (probe.gateway, probe.pid, probe.version)
        if probe.status == _PRESENT:
            seen.setdefault(key, probe)
        elif probe.status == _ABSENT and key in seen:
            earlier = seen[key]
            is_later = probe.sent >= earlier.received + ROLLBACK_SLACK_S
            if is_later and _is_kept(probe, begun):
                found.append((earlier, probe))
    return found


def _is_kept(probe: Probe, begun: list[float]) -> bool:
    """Return whether every newer configuration that may decide has the probe's rule."""
    newest = sum(at <= probe.received for at in begun)
    return newest - probe.version < KEPT


def _is_disturbed(probe: Probe, disturbances: list[Disturbance]) -> bool:
    return any(
        one.gateway in ("", probe.gateway)
        and one.begin <= probe.received
        and probe.sent < one.end + CONTACT_S
        for one in disturbances
    )


def _prefix(number: int) -> str:
    return f"/versions/{number}/"


def _status(address: str, path: str) -> int:
    """Return the status of the answer to a request, 0 without one."""
    conn = http.client.HTTPConnection(address, timeout=2)
    headers = {"Host": endpoints.HOST, "x-request-id": path, "x-deadline-ms": "1000"}
    try:
        conn.request("GET", path, headers=headers)
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()
