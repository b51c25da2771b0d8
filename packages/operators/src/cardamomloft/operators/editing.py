"""Edits of the configuration document that add and remove drains and moves.

An edit returns a new document and does not modify its argument. Edits are idempotent: if the
document already has the requested state, an equal document is returned, so that a repeated command
writes nothing. Edits commute with edits of other paths, so after a conflict they can be made again
on the newer document.
"""

import hashlib
import typing as t
from datetime import datetime

from cardamomloft.core.document import Document, DrainKind, DrainRow, Mistake, MoveRow
from cardamomloft.core.references import parse_instant
from expression import Error, Ok, Result

DEFAULT_CAP_PERCENT_PER_S = 1.0
_MAX_NAME_LENGTH = 63

Edit = t.Callable[[Document], Result[Document, Mistake]]


class MoveRequest(t.NamedTuple):
    """A move requested by an operator; `cap` is in percentage points per second."""

    service: str
    origin: str
    target: str
    percent: float
    cap: float | None = None


def format_instant(instant: datetime) -> str:
    """Format `instant` for the document: ISO 8601 with milliseconds and UTC offset."""
    return instant.isoformat(timespec="milliseconds")


def drop_empty_drains_and_moves(document: Document) -> Document:
    """Return the document without empty tables of drains and moves.

    An empty table and a missing one are equivalent. In this normal form, removing the last drain
    restores a document equal to the one before the drain was added.
    """
    kept = {k: v for k, v in document.items() if k not in ("drains", "moves") or v}
    return t.cast(Document, kept)


def names_of_kind(document: Document, kind: DrainKind) -> frozenset[str]:
    """Return the names that a drain of `kind` can refer to."""
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
    """Add a drain that starts at the time `at`, or at `now` if that is None.

    A drain that has already started is not changed unless `at` is given.
    """
    match _check_target(document, kind, name):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    drains = document.get("drains", {})
    row = drains.get(name)
    if row is not None and not _start_differs(row, now, at):
        return Ok(document)
    added = DrainRow(kind=kind, since=format_instant(at or now))
    if reason:
        added["reason"] = reason
    return Ok(t.cast(Document, {**document, "drains": {**drains, name: added}}))


def remove_drain(document: Document, kind: DrainKind, name: str) -> Result[Document, Mistake]:
    """Remove a drain; if there is none, return the document unchanged."""
    match _check_target(document, kind, name):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    drains = document.get("drains", {})
    if name not in drains:
        return Ok(document)
    return Ok(_replace_rows(document, "drains", {k: v for k, v in drains.items() if k != name}))


def add_move(document: Document, move: MoveRequest, now: datetime) -> Result[Document, Mistake]:
    """Add a move, or replace the service's move between the same two zones."""
    match _check_move(document, move):
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


def remove_move(document: Document, move: MoveRequest) -> Result[Document, Mistake]:
    """Remove a move; if there is none, return the document unchanged."""
    match _check_move(document, move):
        case Result(tag="error", error=mistake):
            return Error(mistake)
    key = _find_move(document, move)
    if key is None:
        return Ok(document)
    moves = document.get("moves", {})
    return Ok(_replace_rows(document, "moves", {k: v for k, v in moves.items() if k != key}))


def move_cap(document: Document, move: MoveRequest) -> float:
    """Return the cap that applies to `move`: its own, else the service's, else the default."""
    if move.cap is not None:
        return move.cap
    service = document["services"][move.service]
    return service.get("shift_cap_percent_per_s", DEFAULT_CAP_PERCENT_PER_S)


def _start_differs(row: DrainRow, now: datetime, at: datetime | None) -> bool:
    since = parse_instant(row["since"])
    if since is None:
        return True
    return since > now if at is None else since != at


def _check_target(document: Document, kind: DrainKind, name: str) -> Result[None, Mistake]:
    path = f"drains.{name}"
    if name not in names_of_kind(document, kind):
        return Error(Mistake(path, f"the configuration has no {kind} named {name!r}"))
    row = document.get("drains", {}).get(name)
    if row is not None and row["kind"] != kind:
        text = f"a drain of the {row['kind']} of that name is announced; undo it first"
        return Error(Mistake(path, text))
    return Ok(None)


def _check_move(document: Document, move: MoveRequest) -> Result[None, Mistake]:
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


def _find_move(document: Document, move: MoveRequest) -> str | None:
    wanted = (move.service, move.origin, move.target)
    for key, row in document.get("moves", {}).items():
        if (row["service"], row["origin"], row["target"]) == wanted:
            return key
    return None


def _move_key(move: MoveRequest) -> str:
    key = f"{move.service}.{move.origin}.{move.target}"
    if len(key) <= _MAX_NAME_LENGTH:
        return key
    return f"{move.service[:40]}.{hashlib.sha256(key.encode()).hexdigest()[:16]}"


def _replace_rows(document: Document, key: str, rows: t.Mapping[str, t.Any]) -> Document:
    return drop_empty_drains_and_moves(t.cast(Document, {**document, key: dict(rows)}))
