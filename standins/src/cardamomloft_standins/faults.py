"""Faults and behaviour of stand-ins, which tests change at run time."""

import json
import typing as t

Down = t.Literal[False, "hang", "refuse"]

T = t.TypeVar("T", bound=tuple)


class StoreFaults(t.NamedTuple):
    """Faults of the key-value store; durations in milliseconds.

    `delay_ms` delays answers after the operation is applied. `late_effect_ms` delays the writes
    themselves, which are applied even if the caller disconnects before. The next `lose_answers`
    writes are applied and the next `lose_requests` writes are not; both end with an aborted
    connection instead of an answer. `lag_ms` delays the notification of watches.
    """

    delay_ms: float = 0
    late_effect_ms: float = 0
    down: Down = False
    lose_answers: int = 0
    lose_requests: int = 0
    lag_ms: float = 0


class VmFaults(t.NamedTuple):
    """Faults of the VM list; `lag_ms` is the age of the rows that it returns."""

    down: Down = False
    lag_ms: float = 0


class Behaviour(t.NamedTuple):
    """Behaviour of one upstream endpoint; durations in milliseconds.

    Up to `excess` requests beyond the slots are run, so that a gateway that exceeds the limit shows
    in the statistics; with `shed` they are rejected. `hang` runs requests and never answers them.
    The next `cut_short` answers are truncated and the next `twice` answers are duplicated. A cold
    start lasts for `cold_requests` requests and at least `cold_ms`; until then the service time is
    multiplied by `cold_factor`.
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


def apply_changes(current: T, changes: object) -> T | str:
    """Return `current` with `changes` applied, or an error text if they are invalid."""
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
