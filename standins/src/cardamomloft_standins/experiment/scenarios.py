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
    """

    per_s: float
    objects: int
    skew: float


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
    bursts, crashes
        What happens meanwhile.
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


IN_ZONE = timedelta(microseconds=100)
CROSS_ZONE = timedelta(microseconds=500)
CROSS_REGION = timedelta(milliseconds=35)
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
        4.5 s; ``hot``: few objects get most requests; ``roomy``: endpoints
        have room for twice the objects.
    use
        Load in parts of what all slots can do when every object is at hand.

    Raises
    ------
    KeyError
        If there is none of that name.
    """
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


NAMES = ("calm", "burst", "loss", "hot", "roomy")
