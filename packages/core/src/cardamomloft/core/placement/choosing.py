"""The choice among the endpoints of a key by expected response time.

Addresses keys that are distributed unevenly, bursts, and demand that swings between regions: an
endpoint is left for another that has the key cached if that answers sooner, and keys get a new copy
where those that have them cached would miss the target.
"""

import random
import typing as t
from collections.abc import Sequence

NEAR_RATIO = 1.25
"""Endpoints within this ratio of the least response time count as nearly equal.

Loads are some tenths of a second old, in which requests begin or end at an endpoint.
"""

FIRST_WEIGHT = 3.0
"""Factor on the weight of the key's first endpoint among nearly equal ones, so that it keeps its
keys cached."""

MIN_FREE = 0.25
"""Minimum weight of an endpoint, in slots; one without a free slot still counts a little."""


class Option(t.NamedTuple):
    """An endpoint that may be chosen.

    Attributes
    ----------
    seconds
        Expected response time.
    is_cached
        Whether it has the key cached, or the request has no key.
    free
        Expected number of free slots.
    """

    seconds: float
    is_cached: bool
    free: float


def choose_option(
    options: Sequence[Option], target_s: float, deadline_s: float, rng: random.Random
) -> int | None:
    """Return the index of the chosen endpoint, or None if none can answer before the deadline.

    The one fixed endpoint that gets a new copy must have a free slot: the request is late in any
    case, and the copy serves later requests in time.

    Parameters
    ----------
    options
        The endpoints in the key's order of preference.
    target_s, deadline_s
        Seconds until the answer is late, and until it is worth nothing.
    rng
        Draws among nearly equal endpoints, so that gateways with equal loads choose differently.
    """
    in_time = [n for n, option in enumerate(options) if option.seconds < deadline_s]
    if not in_time:
        return None
    cached = [n for n in in_time if options[n].is_cached]
    if not cached:
        return _first_to_answer(options, in_time)
    least = min(options[n].seconds for n in cached)
    if least > target_s:
        copy = next((n for n, option in enumerate(options) if not option.is_cached), None)
        if copy is not None and copy in in_time and options[copy].free >= 1:
            return copy
    near = [n for n in cached if options[n].seconds <= least * NEAR_RATIO]
    return near[0] if len(near) == 1 else _draw(options, near, rng)


def must_wait(options: Sequence[Option], target_s: float) -> bool:
    """Return whether no endpoint has a free slot and none answers within the target."""
    return all(option.free < 1 and option.seconds > target_s for option in options)


def _first_to_answer(options: Sequence[Option], places: Sequence[int]) -> int:
    """Return the first endpoint in order that answers about as soon as any."""
    least = min(options[n].seconds for n in places)
    return next(n for n in places if options[n].seconds <= least * NEAR_RATIO)


def _draw(options: Sequence[Option], places: Sequence[int], rng: random.Random) -> int:
    """Return a random endpoint, weighted by free slots."""
    weights = [max(options[n].free, MIN_FREE) for n in places]
    if places[0] == 0:
        weights[0] *= FIRST_WEIGHT
    draw = rng.random() * sum(weights)
    for place, weight in zip(places, weights, strict=True):
        draw -= weight
        if draw < 0:
            return place
    return places[-1]
