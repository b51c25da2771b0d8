"""Decisions for services whose loads aren't shared: the same as before there were shared loads."""

import hashlib
import random
from datetime import timedelta

from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.model import Refusal
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import ServicePolicy
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import LoadReport, UpstreamTable
from cardamomloft_standins.gateway import RULE

MS = timedelta(milliseconds=1)
DECISIONS = "a16ba532bc544d1589021a348789438b490ab8dba644b31a5e6ebd823971ee78"
"""Digest of the drawn decisions, as the selector made them before it knew of shared loads."""


def _selector() -> Selector:
    table = UpstreamTable({"a": "east", "b": "west"})
    for number in range(12):
        cold = timedelta(seconds=3 * (number % 4 == 0))
        row = Registration(f"i-{number}", "menus", f"h-{number}", "ab"[number % 2], 3, False, cold)
        table.register(row, timedelta(0))
    selector = Selector(table, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    selector.policies = {"menus": ServicePolicy("menus", 360, timedelta(seconds=3), 7.0)}
    return selector


def _decisions(selector: Selector, seed: int) -> str:
    """Return the digest of decisions between drawn answers, reports, refusals and failures."""
    rng, now, lines = random.Random(seed), timedelta(0), []
    upstreams = selector._table.all()
    for _ in range(4000):
        now += rng.randrange(40) * MS
        rule = RULE._replace(keyed=rng.random() < 0.8)
        key = str(rng.randrange(30))
        tried = rng.sample([up.id for up in upstreams], rng.choice((0, 0, 0, 1, 2)))
        left = rng.choice((50, 400, 1000)) * MS
        found = selector.choose(rule, "menus", key, tried, now + left, now)
        lines.append(
            f"refused {found.detail}"
            if isinstance(found, Refusal)
            else f"{found.reason} {found.upstream.id}"
        )
        upstream = rng.choice(upstreams) if isinstance(found, Refusal) else found.upstream
        _feed_back(selector, upstream, key, rng, now)
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def _feed_back(selector, upstream, key: str, rng: random.Random, now: timedelta) -> None:
    selector.cache_states.record_sent(upstream, key)
    selector.record_sent(upstream, now)
    running, waiting = rng.randrange(4), rng.randrange(10) * (rng.random() < 0.4)
    match rng.randrange(8):
        case 0:
            selector.record_refusal(upstream, now, had_room=rng.random() < 0.5)
        case 1:
            selector.record_failure(upstream, now)
        case 2:
            return
        case _:
            selector.record_report(upstream, LoadReport(running, waiting, 3, 1, now))
            selector.record_answer(upstream, rng.randrange(50, 900) * MS, running + waiting)
            selector.cache_states.record_answer(upstream, key)
    selector.record_end(upstream)


def test_decisions_without_shared_loads_are_those_from_before_there_were_any():
    """Guards against a change of placement in deployments that don't share loads."""
    assert _decisions(_selector(), seed=7) == DECISIONS
