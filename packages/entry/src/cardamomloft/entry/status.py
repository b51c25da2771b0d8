"""What an entry shows on its operators' pages."""

import typing as t
from collections import Counter
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.rules import RuleVerdict
from expression import Result

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode

_MILLISECOND = timedelta(milliseconds=1)


class StatusPage:
    """Reads the state of a node; changes nothing."""

    def __init__(self, node: "EntryNode", clock: Clock) -> None:
        self._node = node
        self._clock = clock

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self._node.ready()

    def metrics_text(self) -> str:
        """Return the metrics page."""
        node = self._node
        counters = node.metrics.counters
        for name, value in node.store.calls.items():
            counters[f"store.calls.{name}"] = value
        for name, value in node.peers.counters.items():
            counters[f"peers.{name}"] = value
        counters["peers.denied"] = node.peers.denied
        counters["ledger.entries"] = len(node.ledger)
        return node.metrics.render()

    def status(self, *, limits: bool = True) -> dict[str, t.Any]:
        """Return the status page's object, with its list of limits or without."""
        node = self._node
        router = node.router
        return {
            "seat": node.me.seat,
            "incarnation": node.me.number,
            "zone": router.zone if router else "",
            "region": router.region if router else "",
            "revision": node.fetcher.complete_revision(),
            "chunks_missing": len(node.maps.missing),
            "settled": node.shares.settled,
            "state": node.life.state(),
            "ready": self.ready(),
            "recorded": node.seat.recorded,
            "steward": bool(node.steward and node.steward.stewardship.is_steward),
            "services": self._services(),
            "drains": self._drains(),
            "limits": [_limit_row(row) for row in node.shares.rows()] if limits else [],
            "vms_age_ms": self._age_ms(node.vms.fetched_at),
            "store_age_ms": self._age_ms(node.store_at),
        }

    def explain(self, question: dict[str, t.Any]) -> dict[str, t.Any]:
        """Tell which rule would match a request, and why not the ones before."""
        router = self._node.router
        if router is None or router.classifier is None or router.rules is None:
            return {"error": "no configuration yet"}
        headers = {str(k).lower(): str(v) for k, v in dict(question.get("headers") or {}).items()}
        found = router.classifier.classify(
            str(question.get("method", "GET")),
            str(question.get("path", "/")),
            headers,
            None,
            self._clock.monotonic(),
            router.zone,
        )
        match found:
            case Result(tag="error", error=refusal):
                return {"error": f"{refusal.reason}: {refusal.detail}"}
            case Result(ok=req):
                verdicts = router.rules.explain(req, router.zone, router.region)
                return {"service": req.service, "rules": [_verdict(row) for row in verdicts]}

    def _services(self) -> dict[str, dict[str, int]]:
        router = self._node.router
        if router is None or router.document is None:
            return {}
        service_of = {
            name: service
            for service, row in router.document["services"].items()
            for name in row["upstreams"]
        }
        free: Counter[str] = Counter()
        total: Counter[str] = Counter()
        for row in self._node.shares.rows():
            kind, _, name = row.key.partition("/")
            if kind == "slots" and name in service_of:
                total[service_of[name]] += row.own + row.borrowed - row.lent
                free[service_of[name]] += self._node.shares.free(row.key)
        flights = Counter(d.ticket.req.service for d in router.in_flight())
        queued = router.queued()
        return {
            service: {
                "slots_free": free[service],
                "slots_total": total[service],
                "in_flight": flights[service],
                "queued": queued[service],
            }
            for service in router.document["services"]
        }

    def _drains(self) -> list[dict[str, t.Any]]:
        router = self._node.router
        if router is None or router.document is None:
            return []
        drains = router.document.get("drains", {}).items()
        return [self._drain(name, drain["kind"]) for name, drain in drains]

    def _drain(self, name: str, kind: str) -> dict[str, t.Any]:
        """Return how far one drain has come here; of an entry only that entry itself can tell."""
        router = self._node.router
        if kind == "entry":
            return self._drain_of_entry(name)
        flights = [d for d in router.in_flight() if name in _names(d.endpoint, kind)]
        shifting = router.steering.drains() if kind in ("zone", "region") else []
        mine = [p for p in shifting if name in (p.zone, router.region_of(p.zone))]
        moving = any(p.traffic > 0 for p in mine)
        usual = [router.admission.expected(d.ticket.req.service) for d in flights]
        left = max([p.ends_in for p in mine] + usual, default=timedelta(0))
        return _drain_row(name, kind, len(flights), left, moving=moving)

    def _drain_of_entry(self, name: str) -> dict[str, t.Any]:
        router = self._node.router
        mine = name == self._node.me.seat
        flights = router.in_flight() if mine else []
        usual = [router.admission.expected(d.ticket.req.service) for d in flights]
        here = self._node.app.in_flight if mine else 0
        return _drain_row(name, "entry", here, max(usual, default=timedelta(0)), moving=False)

    def _age_ms(self, at: timedelta | None) -> int | None:
        return None if at is None else (self._clock.monotonic() - at) // _MILLISECOND


def _drain_row(
    name: str, kind: str, in_flight: int, left: timedelta, *, moving: bool
) -> dict[str, t.Any]:
    return {
        "name": name,
        "kind": kind,
        "in_flight": in_flight,
        "expected_end_ms": left // _MILLISECOND if left or not in_flight else None,
        "done": not in_flight and not moving,
    }


def _names(endpoint: t.Any, kind: str) -> tuple[str, ...]:
    if kind == "upstream":
        return (endpoint.name,)
    return (endpoint.zone, endpoint.region)


def _limit_row(row: t.Any) -> dict[str, t.Any]:
    return {
        "key": row.key,
        "capacity": row.capacity,
        "base": row.base,
        "free": row.own + row.borrowed - row.lent - row.used,
        "lent": row.lent,
        "borrowed": row.borrowed,
        "in_use": row.used,
    }


def _verdict(row: RuleVerdict) -> dict[str, t.Any]:
    return {"rule": row.rule, "matched": row.matched, "why": row.why}
