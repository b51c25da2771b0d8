"""Settings that tests change while a stand-in runs, and the reading of such changes."""

import json
import typing as t

Down = t.Literal[False, "hang", "refuse"]

T = t.TypeVar("T", bound=tuple)


class StoreFaults(t.NamedTuple):
    """Faults of the key-value store; durations in milliseconds.

    `delay_ms` delays answers after the effect, `late_effect_ms` delays the effect of writes, even
    when the caller has gone meanwhile. The next `lose_answers` writes take effect and the next
    `lose_requests` writes do not; in both cases the connection is cut without an answer.
    `lag_ms` is how late watches learn of a change.
    """

    delay_ms: float = 0
    late_effect_ms: float = 0
    down: Down = False
    lose_answers: int = 0
    lose_requests: int = 0
    lag_ms: float = 0


class VmFaults(t.NamedTuple):
    """Faults of the VM list; `lag_ms` is the age of the rows that it shows."""

    down: Down = False
    lag_ms: float = 0


class Behaviour(t.NamedTuple):
    """Behaviour of one upstream endpoint; durations in milliseconds.

    Requests beyond `slots` run up to `excess` more, so that an overshoot is visible in the books;
    with `shed` none does. `hang` runs requests and never answers them. `cut_short` and `twice`
    count the next answers to spoil. `cold_requests` and `cold_ms` say how long a cold start lasts
    (the longer of both), during which work takes `cold_factor` times as long.
    """

    mean_ms: float = 10
    excess: int = 2
    shed: bool = False
    hang: bool = False
    refuse: bool = False
    cut_short: int = 0
    twice: int = 0
    late_ms: float = 0
    state: str | None = None
    load_lie: dict | None = None
    load_lag_ms: float = 0
    cold_requests: int = 0
    cold_ms: float = 0
    cold_factor: float = 1


def changed(current: T, changes: object) -> T | str:
    """Return `current` with `changes` applied, or a text that says why they are refused."""
    if not isinstance(changes, dict):
        return "expected a JSON object"
    unknown = sorted(set(changes) - set(current._fields))
    if unknown:
        return f"unknown: {', '.join(unknown)}"
    if changes.get("down") is True:
        changes = {**changes, "down": "hang"}
    return current._replace(**changes)


def parse_json(raw: bytes) -> object:
    """Return the decoded JSON, or None if `raw` is not JSON."""
    try:
        return json.loads(raw)
    except ValueError:
        return None
