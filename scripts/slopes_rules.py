"""Costs of building and matching the rule index by the number of rules."""

import random
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.model import Priority, Request
from cardamomloft.core.rules import RuleSet
from slopes_document import SERVICES, Size, document_bytes, make_document
from slopes_fit import Series, cpu_ms, retained_bytes

_SIZES = (50, 100, 200, 400, 800)
_QUICK_SIZES = (25, 50, 100, 200)
_REQUESTS = 2_000
_ENTRIES = 8


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the rules."""
    found: dict[str, list[tuple[float, float]]] = {}
    for size in _QUICK_SIZES if quick else _SIZES:
        document = make_document(Size(_ENTRIES, _ENTRIES, size))
        rules = RuleSet(document)
        requests = list(_requests(size))

        def match(rules: RuleSet = rules, requests: list[Request] = requests) -> None:
            for req in requests:
                rules.match(req, "r0-z0", "r0")

        match()
        empty = document_bytes(make_document(Size(_ENTRIES, _ENTRIES, len(SERVICES))))
        values = {
            ("compile", "ms"): cpu_ms(lambda d=document: RuleSet(d)),
            ("match", "us"): cpu_ms(match) / _REQUESTS * 1000,
            ("memory", "bytes"): retained_bytes(lambda d=document: RuleSet(d)),
            ("json", "bytes"): document_bytes(document) - empty,
        }
        for (name, unit), value in values.items():
            found.setdefault(f"{name} {unit}", []).append((size, value))
    for key, points in found.items():
        name, unit = key.split()
        yield Series(f"rules.{name}", "rules", unit, tuple(points))


def _requests(rules: int) -> Iterator[Request]:
    rng = random.Random(rules)
    for _ in range(_REQUESTS):
        index = rng.randrange(rules)
        service = SERVICES[index % len(SERVICES)]
        yield Request(
            service=service,
            method="GET",
            path=f"/{service}/part-{index}/menu?shop={index}",
            client=(10 << 24) + rng.randrange(1 << 24),
            site=None,
            headers={"x-shop": f"shop-{index}"},
            priority=Priority.NORMAL,
            idempotent=True,
            deadline=timedelta(seconds=1),
        )
