"""What an experiment plays: places, endpoints, load and what goes wrong."""

import typing as t
from collections.abc import Mapping
from datetime import timedelta


class Traits(t.NamedTuple):
    """What the endpoints of the modelled service are like.

    Attributes
    ----------
    slots, queue
        Requests that one runs at a time, and that wait besides; more are refused.
    keeps
        Objects that one has at hand; the one used longest ago makes room.
    work
        Time of a request whose object is not at hand.
    warm_part
        Part of it that is left when the object is at hand.
    spread
        Standard deviation of the logarithm of the time of work.
    """

    slots: int
    queue: int
    keeps: int
    work: timedelta
    warm_part: float
    spread: float


class Load(t.NamedTuple):
    """What the callers of one zone ask for.

    Attributes
    ----------
    per_s
        Requests a second.
    objects
        Different objects that they ask for; no other zone's callers ask for these.
    skew
        Exponent of Zipf's law by which some objects are asked for more often.
    swing, phase
        Part of `per_s` by which the load rises and falls in waves of `WAVE`, and where the wave
        begins, in parts of it.
    """

    per_s: float
    objects: int
    skew: float
    swing: float = 0.0
    phase: float = 0.0


class Burst(t.NamedTuple):
    """A time in which all callers ask `factor` times as often."""

    begin: timedelta
    end: timedelta
    factor: float


class Crash(t.NamedTuple):
    """A zone whose endpoints are lost, and come back with nothing at hand."""

    begin: timedelta
    end: timedelta
    zone: str


class Ailment(t.NamedTuple):
    """A time in which a part of the endpoints, drawn by the seed, are not well.

    Attributes
    ----------
    part
        Part of all endpoints.
    slowness
        How many times as long their work takes.
    errors
        Part of their requests that end with an error, after the usual time.
    """

    begin: timedelta
    end: timedelta
    part: float
    slowness: float = 1.0
    errors: float = 0.0


class Drain(t.NamedTuple):
    """A zone whose endpoints are to get nothing for a time; they keep what they have at hand."""

    begin: timedelta
    end: timedelta
    zone: str


class Scenario(t.NamedTuple):
    """One experiment's world.

    Attributes
    ----------
    zones
        The region of each zone.
    endpoints
        How many endpoints each zone has.
    entries_per_zone
        Gateways in each zone.
    traits
        What the endpoints are like.
    load
        What the callers of each zone ask for.
    target, timeout
        The time within which an answer counts whole, and that after which it counts nothing.
    idempotent
        Whether requests may run more than once.
    length
        How long load is played.
    bursts, crashes, drains, ailments
        What happens meanwhile.
    cross_region
        Time one way between regions.
    silence
        After how long a send to a lost endpoint fails, as its connection does; None: at the end of
        the request's time.
    regional
        Whether all callers of a region ask for the same objects, not only those of a zone.
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
    ailments: tuple[Ailment, ...] = ()
    cross_region: timedelta = timedelta(milliseconds=35)
    silence: timedelta | None = None
    regional: bool = False


WAVE = timedelta(seconds=36)
"""Length of a wave of load, that of the played days."""

IN_ZONE = timedelta(microseconds=100)
CROSS_ZONE = timedelta(microseconds=500)
"""Times one way between machines, those of the first deployment."""

_SECOND = timedelta(seconds=1)
_ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
_ENDPOINTS = {"a1": 1, "a2": 1, "b1": 2, "b2": 2, "c1": 3, "c2": 3}


def scenario(name: str, use: float = 0.7) -> Scenario:
    """Return a scenario by its name.

    Parameters
    ----------
    name
        ``calm``; ``burst``: 1.7 times the load for 3 s; ``loss``: a zone's endpoints are lost for
        4.5 s; ``hot``: few objects get most requests; ``roomy``: endpoints have room for twice
        the objects; ``fleet``, ``fleet-drain`` and ``fleet-loss``: short targets, few slots, and
        waves of load that reach the regions one after the other.
    use
        Load in parts of what all slots can do when every object is at hand.

    Raises
    ------
    KeyError
        If there is none of that name.
    """
    if name.startswith("fleet"):
        return _fleet(name, use)
    if name.startswith("crowd"):
        return _crowd(name, use)
    traits = Traits(4, 12, 36, timedelta(milliseconds=480), 0.25, 0.15)
    slots = sum(_ENDPOINTS.values()) * traits.slots
    capacity = slots / (traits.work.total_seconds() * traits.warm_part)
    # As many objects as all endpoints have at hand when each is at one of them.
    objects = sum(_ENDPOINTS.values()) * traits.keeps * 3 // 4 // len(_ZONES)
    load = Load(use * capacity / len(_ZONES), objects, 0.2)
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
        "roomy": calm._replace(traits=traits._replace(keeps=2 * traits.keeps)),
        "hot": calm._replace(load=dict.fromkeys(_ZONES, load._replace(skew=1.5))),
    }
    return found[name]


_FLEET_ENDPOINTS = {"a1": 2, "a2": 1, "b1": 2, "b2": 2, "c1": 3, "c2": 2}


def _fleet(name: str, use: float) -> Scenario:
    """Return a scenario like the look-ups of a fleet of technicians: few objects, all at hand."""
    traits = Traits(3, 6, 1000, timedelta(milliseconds=480), 0.3, 0.15)
    slots = sum(_FLEET_ENDPOINTS.values()) * traits.slots
    capacity = slots / (traits.work.total_seconds() * traits.warm_part)
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


_CROWD_ENDPOINTS = {"a": 15, "b": 63, "c": 75}


def _crowd(name: str, use: float) -> Scenario:
    """Return a scenario of many gateways, each of which seldom sends to any one endpoint.

    A region has a tenth of the endpoints and a third of the demand.
    """
    traits = Traits(5, 15, 13, timedelta(milliseconds=1632), 0.25, 0.15)
    zones = {f"{region}{number}": region for region in _CROWD_ENDPOINTS for number in (1, 2, 3)}
    endpoints = {zone: _CROWD_ENDPOINTS[region] for zone, region in zones.items()}
    slots = sum(endpoints.values()) * traits.slots
    capacity = slots / (traits.work.total_seconds() * traits.warm_part)
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
    slow = Ailment(8 * _SECOND, 14.5 * _SECOND, 0.16, slowness=5.0)
    failing = Ailment(14 * _SECOND, 20.5 * _SECOND, 0.14, errors=0.45)
    burst = Burst(10 * _SECOND, 13 * _SECOND, 1.7)
    found = {
        "crowd": calm,
        "crowd-slow": calm._replace(ailments=(slow,)),
        "crowd-heavy": calm._replace(
            ailments=(slow, failing),
            bursts=(burst,),
            crashes=(Crash(18 * _SECOND, 22.5 * _SECOND, "c3"),),
        ),
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
)
