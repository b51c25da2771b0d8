"""Costs of the shares (memory, ticks and configuration) by entries and by limits held."""

import json
import typing as t
from collections import Counter
from collections.abc import Iterator

from cardamomloft.core.clock import Clock, ManualClock
from cardamomloft.core.limits import limits_of
from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation
from cardamomloft.core.shares import REVIEW_INTERVAL, Shares
from cardamomloft.core.typedjson import load_json
from cardamomloft.entry import status
from cardamomloft.operators.fleet import read_status
from slopes_document import ENDPOINTS_PER_ENTRY, Size, full_size, make_document
from slopes_fit import Series, cpu_ms, retained_bytes

_ENTRIES = (100, 200, 400, 800, 1500)
_QUICK_ENTRIES = (25, 50, 100, 200)
_FIXED_ENTRIES = 100
_ENDPOINT_FACTORS = (1, 2, 4, 8)
_TICKS = 20


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the shares."""
    yield from _by_entries(_QUICK_ENTRIES if quick else _ENTRIES)
    yield from _by_limits_held()


def _settle(shares: Shares) -> None:
    """Deliver a digest from every partner that reports the revision as settled."""
    digest = Digest(1, 1, "ready", "", 0)
    for seat in sorted(shares.partners):
        shares.on_digest(Incarnation(seat, "1"), digest)


def _page(shares: Shares) -> str:
    """Return a status page that contains only limits."""
    limits = [status._limit_row(row) for row in shares.rows()]
    known = {"seat": "a", "incarnation": "1", "zone": "z", "region": "r", "state": "ready"}
    numbers = {"revision": 1, "settled": 1, "ready": True, "services": {}, "drains": []}
    return json.dumps({**known, **numbers, "limits": limits})


def _by_entries(sizes: tuple[int, ...]) -> Iterator[Series]:
    partners, held, max_held, derive, configure = [], [], [], [], []
    for entries in sizes:
        document = make_document(full_size(entries))
        limits = limits_of(document)
        holding = Counter(seat for limit in limits.values() for seat in limit.holders)
        busiest, most_held = holding.most_common(1)[0]
        me = Incarnation(busiest, "1")
        shares = Shares(me, ManualClock())
        shares.configure(1, limits)
        partners.append((entries, len(shares.partners)))
        held.append((entries, holding.total() / entries))
        max_held.append((entries, most_held))
        derive.append((entries, cpu_ms(lambda d=document: limits_of(d), repeat=2)))
        configure.append(
            (
                entries,
                cpu_ms(lambda m=me, x=limits: Shares(m, ManualClock()).configure(1, x), repeat=2),
            )
        )
    yield Series("limits.partners", "entries", "seats", tuple(partners))
    yield Series("limits.held", "entries", "limits", tuple(held))
    yield Series("limits.most_held", "entries", "limits", tuple(max_held))
    yield Series("limits.derive", "entries", "ms", tuple(derive))
    yield Series("limits.configure", "entries", "ms", tuple(configure))


def _by_limits_held() -> Iterator[Series]:
    found: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for factor in _ENDPOINT_FACTORS:
        size = Size(_FIXED_ENTRIES, round(_FIXED_ENTRIES * ENDPOINTS_PER_ENTRY * factor / 4), 8)
        document = make_document(size)
        limits = limits_of(document)
        me = Incarnation(next(iter(document["entries"])), "1")
        clock = ManualClock()

        def make(me: Incarnation = me, limits: t.Any = limits, clock: Clock = clock) -> Shares:
            shares = Shares(me, clock)
            shares.configure(1, limits)
            return shares

        shares = make()

        def tick(shares: Shares = shares, clock: ManualClock = clock) -> None:
            clock.advance(REVIEW_INTERVAL)
            shares.tick()

        page = _page(shares)
        values = {
            ("limits.memory", "bytes"): retained_bytes(make),
            ("limits.tick_open", "us"): 1000 * cpu_ms(tick, loops=_TICKS),
            ("operator.page", "bytes"): len(page),
            ("operator.read_page", "ms"): cpu_ms(
                lambda page=page: read_status("a", "127.2.0.1:1", load_json(page)), loops=_TICKS
            ),
        }
        _settle(shares)
        tick()
        values["limits.tick_settled", "us"] = 1000 * cpu_ms(tick, loops=_TICKS)
        for key, value in values.items():
            found.setdefault(key, []).append((len(shares.rows()), value))
    for (name, unit), points in found.items():
        yield Series(name, "limits held", unit, tuple(points))
