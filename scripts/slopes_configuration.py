"""Slopes of the configuration: its bytes, the time to put it in force, and hops to reach all."""

import json
import random
from collections.abc import Callable, Iterator
from datetime import timedelta

from cardamomloft.core.admission import Admission
from cardamomloft.core.changes import decode_record, encode_record, next_record
from cardamomloft.core.checking import check_document
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.document import Document, Revision
from cardamomloft.core.membership import Membership
from cardamomloft.core.messages import Digest, DocumentReply, DocumentRequest, Outgoing
from cardamomloft.core.model import Incarnation
from cardamomloft.core.replication import Replica, pack, unpack
from cardamomloft.core.router import Router
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Steering
from slopes_document import Size, document_bytes, full_size, make_document
from slopes_fit import Series, cpu_ms, held_bytes

_SIZES = (100, 200, 400, 800, 1500)
_QUICK_SIZES = (25, 50, 100, 200)
_SPREAD_SIZES = (32, 64, 128, 256, 512)
_QUICK_SPREAD_SIZES = (16, 32, 64, 128)
_SPREAD_SEEDS = (1, 2, 3)
_HOPS_AT_MOST = 200
_EMPTY = Size(1, 1, 4)


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield every series of the configuration."""
    found: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for entries in _QUICK_SIZES if quick else _SIZES:
        document = make_document(full_size(entries))
        for key, value in _one_size(document).items():
            found.setdefault(key, []).append((entries, value))
    for (name, unit), points in found.items():
        yield Series(f"configuration.{name}", "entries", unit, tuple(points))
    hops = [
        (entries, sum(_hops(entries, seed) for seed in _SPREAD_SEEDS) / len(_SPREAD_SEEDS))
        for entries in (_QUICK_SPREAD_SIZES if quick else _SPREAD_SIZES)
    ]
    yield Series(
        "configuration.hops", "entries", "messages in a row", tuple(hops), "log2", "model run"
    )


def _one_size(document: Document) -> dict[tuple[str, str], float]:
    packed = pack(document)
    record = encode_record(next_record(None, document, "who", "when", "why", "change"))
    raw = record.default_value(b"") or json.dumps(document).encode()
    seats = list(document["entries"])
    vms = [
        {"name": seat, "address": "127.2.0.1", "state": "live", "at": "2026-01-01T00:00:00+00:00"}
        for seat in seats
    ]
    return {
        ("record", "bytes"): document_bytes(document),
        ("packed", "bytes"): len(packed),
        ("pack", "ms"): cpu_ms(lambda: pack(document), repeat=2),
        ("decode_record", "ms"): cpu_ms(lambda: decode_record(raw), repeat=2),
        ("unpack", "ms"): cpu_ms(lambda: unpack(packed), repeat=2),
        ("check", "ms"): cpu_ms(lambda: check_document(document), repeat=2),
        ("put_in_force", "ms"): cpu_ms(_change_of(document), repeat=2),
        ("memory", "bytes"): held_bytes(lambda: unpack(packed).ok),
        ("vm_list", "bytes"): len(json.dumps(vms)),
    }


def _change_of(document: Document) -> Callable[[], None]:
    """Return an act that puts the next revision in force at one entry that has one already."""
    seat, row = next(iter(document["entries"].items()))
    clock = ManualClock()
    shares = Shares(Incarnation(seat, "1"), clock)
    region = row["zone"].partition("-")[0]
    steering = Steering(row["zone"], region, clock, random.Random(1), shares.free)
    router = Router(row["zone"], region, clock, shares, steering, Admission(clock))
    members = Membership(Incarnation(seat, "1"), clock)
    numbers = iter(range(1, 100))

    def change() -> None:
        router.configure(Revision(next(numbers), document), quarantine=False)
        members.configure(document, shares.partners)
        members.standby_status(2)

    change()
    return change


def _hops(entries: int, seed: int) -> int:
    """Return how many messages in a row it takes until every replica has a new revision."""
    roster = make_document(Size(entries, 8, 4))["entries"]
    first, second = ({"entries": roster, "turn": turn} for turn in (1, 2))
    clock, rng = ManualClock(), random.Random(seed)
    replicas = {seat: _replica(seat, clock, rng) for seat in roster}
    for replica in replicas.values():
        replica.offer(1, pack(first))
        replica.tick()
    clock.advance(timedelta(seconds=1))
    for replica in replicas.values():
        replica.tick()
    start = rng.choice(list(replicas))
    replicas[start].offer(2, pack(second))
    flying = [(start, outgoing) for outgoing in replicas[start].tick()]
    for hop in range(1, _HOPS_AT_MOST):
        clock.advance(timedelta(milliseconds=35))
        arrived, flying = flying, []
        for sender, (seat, message) in arrived:
            flying += [(seat, out) for out in _deliver(replicas[seat], sender, message)]
        for seat, replica in replicas.items():
            flying += [(seat, out) for out in replica.tick()]
        flying += _digests(replicas, rng) if hop % 28 == 0 else []
        if all(replica.number == 2 for replica in replicas.values()):
            return hop
    return _HOPS_AT_MOST


def _digests(replicas: dict[str, Replica], rng: random.Random) -> list[tuple[str, Outgoing]]:
    """Return one digest of each entry to a random other, as once a second (28 hops of 35 ms)."""
    seats = list(replicas)
    return [
        (seat, Outgoing(rng.choice(seats), _digest(replica.number)))
        for seat, replica in replicas.items()
    ]


def _replica(seat: str, clock: ManualClock, rng: random.Random) -> Replica:
    return Replica(Incarnation(seat, "1"), clock, rng, _digest)


def _digest(revision: int) -> Digest:
    return Digest(revision, revision, "ready", "", 0)


def _deliver(replica: Replica, sender: str, message: object) -> list[Outgoing]:
    name = Incarnation(sender, "1")
    match message:
        case Digest():
            return replica.on_digest(name, message)
        case DocumentRequest():
            return replica.on_document_request(name, message)
        case DocumentReply():
            return replica.on_document_reply(name, message)
    raise AssertionError(f"unexpected {message!r}")
