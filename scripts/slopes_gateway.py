"""Measures what a gateway's own work grows with; prints one JSON object.

Run ``.venv/bin/python scripts/slopes_gateway.py``; it takes some seconds and starts nothing.
"""

import base64
import json
import time
import tracemalloc
import typing as t
from datetime import timedelta

from cardamomloft.core.budgets import ColdLimit
from cardamomloft.core.naming import entries_for
from cardamomloft.core.registrations import EntryRecord, Registration
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.documents import load_registration
from cardamomloft_standins.gateway import RULE

ZONES = 20
REGIONS = 8
SLOTS = 4
SIZES = (50, 200, 800, 3200)
KEYS = 200
ROUNDS = 20
NOW = timedelta(seconds=100)
ZERO = timedelta(0)


def registration(number: int) -> Registration:
    """Return one of many registrations, spread over all zones."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
    return Registration(
        f"i-{number:08x}", "menus", address, f"z-{number % ZONES}", SLOTS, False, ZERO
    )


def selector(endpoints: int) -> Selector:
    """Return a selector over `endpoints` of one service."""
    book = UpstreamTable({f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)})
    for number in range(endpoints):
        book.register(registration(number), NOW)
    return Selector(book, "e-0", "z-0", ColdLimit(1.5, 5), Preferences())


def micros(act: t.Callable[[], object], times: int) -> float:
    """Return how long one of `times` calls takes, in microseconds."""
    start = time.perf_counter()
    for _ in range(times):
        act()
    return (time.perf_counter() - start) / times * 1e6


def choice(endpoints: int) -> tuple[float, float]:
    """Return the time of a choice for a new key and for a known one, in microseconds."""
    chooser = selector(endpoints)
    until = NOW + timedelta(seconds=1)
    keys = iter([str(number) for number in range(KEYS)])
    new = micros(lambda: chooser.choose(RULE, "menus", next(keys), (), until, NOW), KEYS)
    known = micros(lambda: chooser.choose(RULE, "menus", "7", (), until, NOW), KEYS * ROUNDS)
    return new, known


def division(endpoints: int) -> float:
    """Return the time to divide the endpoints by service after a change, in microseconds."""
    book = UpstreamTable({f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)})
    for number in range(endpoints):
        book.register(registration(number), NOW)

    def change() -> None:
        row = registration(0)
        book.register(row._replace(slots=3 - book.all()[0].registration.slots % 2), NOW)
        book.of_service("menus")

    return micros(change, ROUNDS)


def lookup(entries: int) -> float:
    """Return the time to name the entries for a client among as many, in microseconds."""
    regions = {f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)}
    rows = [
        EntryRecord(f"e-{n}", f"10.0.0.1:{n}", f"z-{n % ZONES}", f"r-{n % ZONES % REGIONS}", "")
        for n in range(entries)
    ]
    return micros(lambda: entries_for(rows, "z-0", "r-0", frozenset(), regions), ROUNDS)


def memory(endpoints: int) -> tuple[float, float]:
    """Return bytes for each endpoint, and for each known key over all its endpoints."""
    tracemalloc.start()
    chooser = selector(endpoints)
    book = tracemalloc.get_traced_memory()[0]
    for number in range(KEYS):
        chooser.choose(RULE, "menus", str(number), (), NOW + timedelta(seconds=1), NOW)
    ranks = tracemalloc.get_traced_memory()[0] - book
    tracemalloc.stop()
    return book / endpoints, ranks / KEYS


def row() -> tuple[int, float]:
    """Return the bytes of one registration in a list, and the time to check it."""
    value = json.dumps(
        {"service": "menus", "address": "10.128.0.9:8080", "zone": "kgn-hall-a", "slots": 4},
        separators=(",", ":"),
    ).encode()
    listed = {
        "Key": "gateway/upstreams/i-7f3a91c2",
        "Value": base64.b64encode(value).decode(),
        "Flags": 0,
        "CreateIndex": 400,
        "ModifyIndex": 41_200,
        "LockIndex": 0,
    }
    size = len(json.dumps(listed, separators=(",", ":"))) + 1
    return size, micros(lambda: load_registration(value, "i-7f3a91c2"), KEYS * ROUNDS)


def main() -> None:
    """Measure everything and print it."""
    row_bytes, row_us = row()
    result: dict[str, t.Any] = {"row_bytes": row_bytes, "row_us": round(row_us, 1)}
    for size in SIZES:
        new, known = choice(size)
        per_endpoint, per_key = memory(size)
        result[str(size)] = {
            "new_key_us": round(new, 1),
            "known_key_us": round(known, 1),
            "division_us": round(division(size)),
            "lookup_us": round(lookup(size)),
            "bytes_per_endpoint": round(per_endpoint),
            "bytes_per_key": round(per_key),
        }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
