"""Scenarios of the simulation: zones, endpoints, load and faults."""

import typing as t
from collections.abc import Mapping
from datetime import timedelta


class Traits(t.NamedTuple):
    """Properties of the endpoints of the simulated service.

    Attributes
    ----------
    slots, queue
        Concurrent requests and queue length; requests beyond both are refused.
    cache_size
        Number of keys in the LRU cache.
    service_time
        Median service time on a cache miss.
    warm_fraction
        Service time on a cache hit, as a fraction of `service_time`.
    spread
        Standard deviation of the logarithm of the service time.
    """

    slots: int
    queue: int
    cache_size: int
    service_time: timedelta
    warm_fraction: float
    spread: float


class Load(t.NamedTuple):
    """The load of the callers of one zone.

    Attributes
    ----------
    per_s
        Mean requests per second.
    key_count
        Number of distinct affinity keys; the zone (or the region, with `Scenario.regional`) does
        not share them with others.
    skew
        Zipf exponent of the key popularity.
    swing, phase
        Amplitude of a sine wave of period `WAVE_PERIOD` on the load, as a fraction of `per_s`, and
        its phase, as a fraction of the period.
    """

    per_s: float
    key_count: int
    skew: float
    swing: float = 0.0
    phase: float = 0.0


class Burst(t.NamedTuple):
    """A period in which the load of all zones is multiplied by `factor`."""

    begin: timedelta
    end: timedelta
    factor: float


class Crash(t.NamedTuple):
    """A crash of all endpoints of a zone, which restart with empty caches."""

    begin: timedelta
    end: timedelta
    zone: str


class Degradation(t.NamedTuple):
    """A period in which randomly chosen endpoints are degraded.

    Attributes
    ----------
    fraction
        Fraction of all endpoints.
    slowness
        Factor on their service time.
    errors
        Fraction of their requests that end with an error, after the usual service time.
    """

    begin: timedelta
    end: timedelta
    fraction: float
    slowness: float = 1.0
    errors: float = 0.0


class Noise(t.NamedTuple):
    """Recurring short periods in which an endpoint's machine is slow, as the endpoint states.

    Attributes
    ----------
    fraction
        Fraction of the time.
    duration
        Length of a period.
    slowness
        Factor on the service time of requests that start in a period.
    """

    fraction: float
    duration: timedelta
    slowness: float


class Drain(t.NamedTuple):
    """A drain of a zone for some time; its endpoints keep their caches."""

    begin: timedelta
    end: timedelta
    zone: str


class Scenario(t.NamedTuple):
    """The input of one simulation.

    Attributes
    ----------
    zones
        The region of each zone.
    endpoints
        Number of endpoints in each zone.
    entries_per_zone
        Number of gateways in each zone.
    entries
        Number of gateways in zones that have another number.
    traits
        Properties of the endpoints.
    load
        The load of each zone's callers.
    target, timeout
        An answer within `target` has full credit; one after `timeout` has none.
    idempotent
        Whether requests may run more than once.
    length
        Duration of the load.
    bursts, crashes, drains, degradations
        Events during the run.
    cross_region
        One-way latency between regions.
    silence
        Time after which a send to a crashed endpoint fails; None: at the request's deadline.
    regional
        Whether the callers of a region share their keys; otherwise those of a zone do.
    noise
        Noise of the endpoints' machines.
    """

    zones: Mapping[str, str]
    endpoints: Mapping[str, int]
    entries_per_zone: int
    traits: Traits
    load: Mapping[str, Load]
    target: timedelta
    timeout: timedelta
    idempotent: bool = False
    length: timedelta = timedelta(seconds=20)
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[Crash, ...] = ()
    drains: tuple[Drain, ...] = ()
    degradations: tuple[Degradation, ...] = ()
    cross_region: timedelta = timedelta(milliseconds=35)
    silence: timedelta | None = None
    regional: bool = False
    noise: Noise | None = None
    entries: Mapping[str, int] = {}

    def entry_count(self) -> int:
        """Return the number of gateways."""
        return sum(self.entries.get(zone, self.entries_per_zone) for zone in self.zones)


WAVE_PERIOD = timedelta(seconds=36)
"""Period of the load wave."""

IN_ZONE_LATENCY = timedelta(microseconds=100)
CROSS_ZONE_LATENCY = timedelta(microseconds=500)
"""One-way latencies between machines within a zone and between zones of a region."""

_SECOND = timedelta(seconds=1)
_ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
_ENDPOINTS = {"a1": 1, "a2": 1, "b1": 2, "b2": 2, "c1": 3, "c2": 3}


def scenario(name: str, use: float = 0.7) -> Scenario:
    """Return a scenario by its name.

    Parameters
    ----------
    name
        ``calm``: steady load; ``burst``: 1.7 times the load for 3 s; ``loss``: the endpoints of a
        zone are down for 4.5 s; ``hot``: few keys get most requests; ``roomy``: caches of twice
        the size; ``fleet``, ``fleet-drain`` and ``fleet-loss``: short targets, few slots and a load
        wave that reaches one region after the other; ``crowd``, ``crowd-slow`` and
        ``crowd-heavy``: many gateways and endpoints;
        ``lookups``, ``lookups-burst`` and ``lookups-noise``: unequal regions, few slots.
    use
        Load as a fraction of the capacity of all slots when every key is cached.

    Raises
    ------
    KeyError
        If there is no scenario of that name.
    """
    if name.startswith("fleet"):
        return _fleet(name, use)
    if name.startswith("lookups"):
        return _lookups(name, use)
    if name.startswith("crowd"):
        return _many_gateways(name, use)
    traits = Traits(4, 12, 36, timedelta(milliseconds=480), 0.25, 0.15)
    slots = sum(_ENDPOINTS.values()) * traits.slots
    capacity = slots / (traits.service_time.total_seconds() * traits.warm_fraction)
    # Three quarters of the keys that all caches can hold, if each key is cached once.
    key_count = sum(_ENDPOINTS.values()) * traits.cache_size * 3 // 4 // len(_ZONES)
    load = Load(use * capacity / len(_ZONES), key_count, 0.2)
    calm = Scenario(
        zones=_ZONES,
        endpoints=_ENDPOINTS,
        entries_per_zone=2,
        traits=traits,
        load=dict.fromkeys(_ZONES, load),
        target=timedelta(milliseconds=400),
        timeout=timedelta(milliseconds=1200),
    )
    found = {
        "calm": calm,
        "burst": calm._replace(bursts=(Burst(6 * _SECOND, 9 * _SECOND, 1.7),)),
        "loss": calm._replace(crashes=(Crash(6 * _SECOND, 10.5 * _SECOND, "b1"),)),
        "roomy": calm._replace(traits=traits._replace(cache_size=2 * traits.cache_size)),
        "hot": calm._replace(load=dict.fromkeys(_ZONES, load._replace(skew=1.5))),
    }
    return found[name]


_FLEET_ENDPOINTS = {"a1": 2, "a2": 1, "b1": 2, "b2": 2, "c1": 3, "c2": 2}


def _fleet(name: str, use: float) -> Scenario:
    """Return a scenario with few keys, all of which fit into every cache."""
    traits = Traits(3, 6, 1000, timedelta(milliseconds=480), 0.3, 0.15)
    slots = sum(_FLEET_ENDPOINTS.values()) * traits.slots
    capacity = slots / (traits.service_time.total_seconds() * traits.warm_fraction)
    load = Load(use * capacity / len(_ZONES), 12, 0.0, swing=0.55)
    phases = {"a": 0.0, "b": 1 / 3, "c": 2 / 3}
    calm = Scenario(
        zones=_ZONES,
        endpoints=_FLEET_ENDPOINTS,
        entries_per_zone=2,
        traits=traits,
        load={zone: load._replace(phase=phases[region]) for zone, region in _ZONES.items()},
        target=timedelta(milliseconds=300),
        timeout=timedelta(milliseconds=800),
        idempotent=True,
        length=timedelta(seconds=40),
        cross_region=timedelta(milliseconds=12),
    )
    found = {
        "fleet": calm,
        "fleet-drain": calm._replace(drains=(Drain(2 * _SECOND, 11 * _SECOND, "c2"),)),
        "fleet-loss": calm._replace(
            crashes=tuple(Crash(10 * _SECOND, 16 * _SECOND, zone) for zone in ("c1", "c2"))
        ),
    }
    return found[name]


_MANY_GATEWAYS_ENDPOINTS = {"a": 15, "b": 63, "c": 75}


def _many_gateways(name: str, use: float) -> Scenario:
    """Return a scenario with so many gateways that each rarely sends to a given endpoint.

    Region ``a`` has a tenth of the endpoints and a third of the load.
    """
    traits = Traits(5, 15, 13, timedelta(milliseconds=1632), 0.25, 0.15)
    zones = {
        f"{region}{number}": region for region in _MANY_GATEWAYS_ENDPOINTS for number in (1, 2, 3)
    }
    endpoints = {zone: _MANY_GATEWAYS_ENDPOINTS[region] for zone, region in zones.items()}
    slots = sum(endpoints.values()) * traits.slots
    capacity = slots / (traits.service_time.total_seconds() * traits.warm_fraction)
    load = Load(use * capacity / len(zones), 336, 0.2, swing=0.55)
    phases = {"a": 0.1, "b": 0.43, "c": 0.77}
    calm = Scenario(
        zones=zones,
        endpoints=endpoints,
        entries_per_zone=21,
        traits=traits,
        load={zone: load._replace(phase=phases[region]) for zone, region in zones.items()},
        target=timedelta(milliseconds=1000),
        timeout=timedelta(milliseconds=3000),
        idempotent=True,
        length=timedelta(seconds=30),
        silence=timedelta(milliseconds=700),
        regional=True,
    )
    slow = Degradation(8 * _SECOND, 14.5 * _SECOND, 0.16, slowness=5.0)
    failing = Degradation(14 * _SECOND, 20.5 * _SECOND, 0.14, errors=0.45)
    burst = Burst(10 * _SECOND, 13 * _SECOND, 1.7)
    found = {
        "crowd": calm,
        "crowd-slow": calm._replace(degradations=(slow,)),
        "crowd-heavy": calm._replace(
            degradations=(slow, failing),
            bursts=(burst,),
            crashes=(Crash(18 * _SECOND, 22.5 * _SECOND, "c3"),),
        ),
    }
    return found[name]


def _lookups(name: str, use: float) -> Scenario:
    """Return a scenario with regions of unequal capacity, equal demand and unevenly hashed keys.

    Load is stated in answers by all endpoints, and with noise also their work time.
    """
    traits = Traits(3, 9, 20, timedelta(milliseconds=640), 0.3, 0.15)
    endpoints = {"a1": 3, "a2": 3, "b1": 12, "b2": 12, "c1": 15, "c2": 14}
    capacity = 59 * traits.slots / (traits.service_time.total_seconds() * traits.warm_fraction)
    phases = {"a": 0.1, "b": 0.43, "c": 0.77}
    load = Load(use * capacity / len(_ZONES), 87, 0.2, swing=0.55)
    calm = Scenario(
        zones=_ZONES,
        endpoints=endpoints,
        entries_per_zone=12,
        entries={"a2": 11, "b2": 11, "c2": 11},
        traits=traits,
        load={zone: load._replace(phase=phases[region]) for zone, region in _ZONES.items()},
        target=timedelta(milliseconds=586),
        timeout=timedelta(milliseconds=3515),
        idempotent=True,
        length=timedelta(seconds=24),
        regional=True,
    )
    burst = (Burst(8 * _SECOND, 14 * _SECOND, 2.4),)
    noise = Noise(0.15, timedelta(milliseconds=600), 2.5)
    found = {
        "lookups": calm,
        "lookups-burst": calm._replace(bursts=burst),
        "lookups-noise": calm._replace(bursts=burst, noise=noise),
    }
    return found[name]


NAMES = (
    "calm",
    "burst",
    "loss",
    "hot",
    "roomy",
    "fleet",
    "fleet-drain",
    "fleet-loss",
    "crowd",
    "crowd-slow",
    "crowd-heavy",
    "lookups",
    "lookups-burst",
    "lookups-noise",
)
