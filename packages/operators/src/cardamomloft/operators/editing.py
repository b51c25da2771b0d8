"""Edits of the configuration document that announce planned work.

Every edit returns a new document and leaves its argument alone. An edit whose result is already
there returns an equal document, so that repeating a command writes nothing. The edits commute
with edits of other parts, and can be made again on a newer document after a conflict.
"""

import hashlib
import typing as t
from datetime import datetime

from cardamomloft.core.document import Document, DrainKind, DrainRow, Mistake, MoveRow
from cardamomloft.core.references import parse_instant
from expression import Error, Ok, Result

DEFAULT_CAP_PERCENT_PER_S = 1.0
_MAX_NAME = 63

Edit = t.Callable[[Document], Result[Document, Mistake]]


class Move(t.NamedTuple):
    """A move that an operator asks for; `cap` is in percentage points per second."""

    service: str
    origin: str
    target: str
    percent: float
    cap: float | None = None


def format_instant(instant: datetime) -> str:
    """Return `instant` as the document writes it: ISO 8601 with milliseconds and offset."""
    return instant.isoformat(timespec="milliseconds")


def without_empty_plans(document: Document) -> Document:
    """Leave out empty tables of drains and moves, which say the same as none.

    An undone drain then leaves the document as it was before, whichever way the file writes it.
    """
    kept = {k: v for k, v in document.items() if k not in ("drains", "moves") or v}
    return t.cast(Document, kept)


def names_of_kind(document: Document, kind: DrainKind) -> frozenset[str]:
    """Return the names that a drain of `kind` may have."""
    if kind == "region":
        return frozenset(document["regions"])
    if kind == "zone":
        return frozenset(zone for zones in document["regions"].values() for zone in zones)
    if kind == "entry":
        return frozenset(document["entries"])
    services = document["services"].values()
    return frozenset(name for service in services for name in service["upstreams"])


def add_drain(
    document: Document,
    kind: DrainKind,
    name: str,
    *,
    now: datetime,
    at: datetime | None = None,
    reason: str = "",
) -> Result[Document, Mistake]:
    """Announce a drain that starts `at` an instant, or `now`.

    A drain that has already started is left as it is unless `at` is given.
    """
    match _known_target(document, kind, name):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    drains = document.get("drains", {})
    row = drains.get(name)
    if row is not None and not _differs(row, now, at):
        return Ok(document)
    added = DrainRow(kind=kind, since=format_instant(at or now))
    if reason:
        added["reason"] = reason
    return Ok(t.cast(Document, {**document, "drains": {**drains, name: added}}))


def remove_drain(document: Document, kind: DrainKind, name: str) -> Result[Document, Mistake]:
    """Take a drain back; one that is not there is already taken back."""
    match _known_target(document, kind, name):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    drains = document.get("drains", {})
    if name not in drains:
        return Ok(document)
    return Ok(_with_rows(document, "drains", {k: v for k, v in drains.items() if k != name}))


def add_move(document: Document, move: Move, now: datetime) -> Result[Document, Mistake]:
    """Announce a move, or change the percentage of one between the same two zones."""
    match _known_move(document, move):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    cap = move_cap(document, move)
    moves = document.get("moves", {})
    key = _find_move(document, move) or _move_key(move)
    row = moves.get(key)
    if row is not None and (row["percent"], row["cap_percent_per_s"]) == (move.percent, cap):
        return Ok(document)
    added = MoveRow(
        service=move.service,
        origin=move.origin,
        target=move.target,
        percent=move.percent,
        cap_percent_per_s=cap,
        since=format_instant(now),
    )
    return Ok(t.cast(Document, {**document, "moves": {**moves, key: added}}))


def remove_move(document: Document, move: Move) -> Result[Document, Mistake]:
    """Take a move back; one that is not there is already taken back."""
    match _known_move(document, move):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    key = _find_move(document, move)
    if key is None:
        return Ok(document)
    moves = document.get("moves", {})
    return Ok(_with_rows(document, "moves", {k: v for k, v in moves.items() if k != key}))


def move_cap(document: Document, move: Move) -> float:
    """Return the cap in force for `move`: its own, else the service's, else the default."""
    if move.cap is not None:
        return move.cap
    service = document["services"][move.service]
    return service.get("shift_cap_percent_per_s", DEFAULT_CAP_PERCENT_PER_S)


def _differs(row: DrainRow, now: datetime, at: datetime | None) -> bool:
    since = parse_instant(row["since"])
    if since is None:
        return True
    return since > now if at is None else since != at


def _known_target(document: Document, kind: DrainKind, name: str) -> Result[None, Mistake]:
    path = f"drains.{name}"
    if name not in names_of_kind(document, kind):
        return Error(Mistake(path, f"the configuration has no {kind} named {name!r}"))
    row = document.get("drains", {}).get(name)
    if row is not None and row["kind"] != kind:
        text = f"a drain of the {row['kind']} of that name is announced; undo it first"
        return Error(Mistake(path, text))
    return Ok(None)


def _known_move(document: Document, move: Move) -> Result[None, Mistake]:
    path = f"moves.{_move_key(move)}"
    service = document["services"].get(move.service)
    if service is None:
        return Error(Mistake(path, f"the configuration has no service named {move.service!r}"))
    zones = names_of_kind(document, "zone")
    for zone in (move.origin, move.target):
        if zone not in zones:
            return Error(Mistake(path, f"the configuration has no zone named {zone!r}"))
    if move.origin == move.target:
        return Error(Mistake(path, "origin and target are the same zone"))
    limit = service.get("shift_cap_percent_per_s")
    if limit is not None and move.cap is not None and move.cap > limit:
        text = f"the cap {move.cap:g} is above the service's {limit:g} percent per second"
        return Error(Mistake(path, text))
    return Ok(None)


def _find_move(document: Document, move: Move) -> str | None:
    wanted = (move.service, move.origin, move.target)
    for key, row in document.get("moves", {}).items():
        if (row["service"], row["origin"], row["target"]) == wanted:
            return key
    return None


def _move_key(move: Move) -> str:
    key = f"{move.service}.{move.origin}.{move.target}"
    if len(key) <= _MAX_NAME:
        return key
    return f"{move.service[:40]}.{hashlib.sha256(key.encode()).hexdigest()[:16]}"


def _with_rows(document: Document, key: str, rows: t.Mapping[str, t.Any]) -> Document:
    return without_empty_plans(t.cast(Document, {**document, key: dict(rows)}))
