"""Measure how a gateway's processing time and memory grow; print one JSON object.

Run ``.venv/bin/python scripts/slopes_gateway.py``. It takes a few seconds and starts no processes.
"""

import base64
import json
import time
import tracemalloc
import typing as t
from datetime import timedelta

from cardamomloft.core.coldness.limits import ColdLimit
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
    """Return the registration with this number; consecutive numbers are in different zones."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
    return Registration(
        f"i-{number:08x}", "menus", address, f"z-{number % ZONES}", SLOTS, False, ZERO
    )


def selector(endpoints: int) -> Selector:
    """Return a selector over the given number of endpoints of one service."""
    table = UpstreamTable({f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)})
    for number in range(endpoints):
        table.register(registration(number), NOW)
    return Selector(table, "e-0", "z-0", ColdLimit(1.5, 5), Preferences())


def mean_us(func: t.Callable[[], object], times: int) -> float:
    """Return the mean duration of a call in microseconds, over `times` calls."""
    start = time.perf_counter()
    for _ in range(times):
        func()
    return (time.perf_counter() - start) / times * 1e6


def choose_us(endpoints: int) -> tuple[float, float]:
    """Return the times of a choice for a new and for a known affinity key, in microseconds."""
    chooser = selector(endpoints)
    until = NOW + timedelta(seconds=1)
    keys = iter([str(number) for number in range(KEYS)])
    new = mean_us(lambda: chooser.choose(RULE, "menus", next(keys), (), until, NOW), KEYS)
    known = mean_us(lambda: chooser.choose(RULE, "menus", "7", (), until, NOW), KEYS * ROUNDS)
    return new, known


def group_us(endpoints: int) -> float:
    """Return the time to group endpoints by service after a registration, in microseconds."""
    table = UpstreamTable({f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)})
    for number in range(endpoints):
        table.register(registration(number), NOW)

    def change() -> None:
        changed = registration(0)
        table.register(changed._replace(slots=3 - table.all()[0].registration.slots % 2), NOW)
        table.of_service("menus")

    return mean_us(change, ROUNDS)


def lookup_us(entries: int) -> float:
    """Return the time of a look-up among the given number of entries, in microseconds."""
    regions = {f"z-{zone}": f"r-{zone % REGIONS}" for zone in range(ZONES)}
    rows = [
        EntryRecord(f"e-{n}", f"10.0.0.1:{n}", f"z-{n % ZONES}", f"r-{n % ZONES % REGIONS}", "")
        for n in range(entries)
    ]
    return mean_us(lambda: entries_for(rows, "z-0", "r-0", frozenset(), regions), ROUNDS)


def memory_bytes(endpoints: int) -> tuple[float, float]:
    """Return the bytes per endpoint, and the bytes per known key over all endpoints."""
    tracemalloc.start()
    chooser = selector(endpoints)
    table_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(KEYS):
        chooser.choose(RULE, "menus", str(number), (), NOW + timedelta(seconds=1), NOW)
    rank_bytes = tracemalloc.get_traced_memory()[0] - table_bytes
    tracemalloc.stop()
    return table_bytes / endpoints, rank_bytes / KEYS


def registration_cost() -> tuple[int, float]:
    """Return the bytes of a registration in a listing, and the microseconds to validate it."""
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
    return size, mean_us(lambda: load_registration(value, "i-7f3a91c2"), KEYS * ROUNDS)


def main() -> None:
    """Run all measurements and print the results."""
    row_bytes, row_us = registration_cost()
    result: dict[str, t.Any] = {"row_bytes": row_bytes, "row_us": round(row_us, 1)}
    for size in SIZES:
        new, known = choose_us(size)
        per_endpoint, per_key = memory_bytes(size)
        result[str(size)] = {
            "new_key_us": round(new, 1),
            "known_key_us": round(known, 1),
            "division_us": round(group_us(size)),
            "lookup_us": round(lookup_us(size)),
            "bytes_per_endpoint": round(per_endpoint),
            "bytes_per_key": round(per_key),
        }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
