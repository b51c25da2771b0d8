"""Content of a gateway's pages for operators."""

import typing as t
from datetime import timedelta

from cardamomloft.core.clientaccounts.quotas import AccountUsage
from cardamomloft.core.model import Refusal
from cardamomloft.gateway.loadstatus import load_rows

MAX_ACCOUNTS_SHOWN = 10
"""Number of accounts, the busiest, that are shown by name; the others are summed up."""

OTHER_ACCOUNTS = "other"

if t.TYPE_CHECKING:
    from cardamomloft.gateway.node import Gateway


class GatewayStatus:
    """Provides the content of one gateway's pages for operators.

    Parameters
    ----------
    gateway
        The gateway.
    """

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def ready(self) -> bool:
        """Return whether look-ups may name this entry."""
        return self._gateway.ready()

    def metrics_text(self) -> str:
        """Return the metrics page."""
        queues = self._gateway.forwarder.queue.metrics_text()
        return (
            self._gateway.metrics.render()
            + queues
            + "".join(
                f'cardamomloft_account_{name}{{account="{row["account"]}"}} {row[name]}\n'
                for row in self._accounts()
                for name in ("wanted_per_s", "rate_per_s")
            )
        )

    def _accounts(self) -> list[dict[str, t.Any]]:
        """Return the busiest accounts with their quotas, and the sum of the others.

        The list is empty unless this gateway coordinates the quotas of its zone.
        """
        usage = self._gateway.feed.usage
        rows = [] if usage is None else usage.usage()
        shown, others = rows[:MAX_ACCOUNTS_SHOWN], rows[MAX_ACCOUNTS_SHOWN:]
        if others:
            wanted = sum(row.wanted_per_s for row in others)
            rate = sum(row.rate_per_s for row in others)
            shown.append(AccountUsage(OTHER_ACCOUNTS, rate, wanted, 0.0, 1.0))
        return [
            {
                "account": row.account,
                "rate_per_s": row.rate_per_s,
                "wanted_per_s": round(row.wanted_per_s, 1),
                "admitted_fraction": round(row.admitted_fraction, 3),
                "tokens": round(row.tokens, 1),
                "reserved_fraction": round(row.reserved_fraction, 3),
            }
            for row in shown
        ]

    def status(self, *, limits: bool = True) -> dict[str, t.Any]:
        """Return the status page's object; `limits` adds a row for each endpoint."""
        gateway = self._gateway
        problem = gateway.view.unreadable_plan
        page: dict[str, t.Any] = {
            "state": gateway.lifecycle.state(),
            "configuration": gateway.configuration,
            "configuration_problem": problem and problem.detail,
            "store_away": gateway.follower.store_unavailable,
            "store_silence_ms": gateway.follower.time_since_answer // timedelta(milliseconds=1),
            **gateway.feed.status(),
            "in_flight": gateway.app.in_flight,
            **gateway.fallback.status(),
            "entries": sorted(row.name for row in gateway.entries.records(with_own=True)),
            "drained_zones": sorted(gateway.upstream_table.drained_zones),
            "upstreams": len(gateway.upstream_table),
            "quarantined": gateway.notice_handler.quarantined(),
            "keys_verified": gateway.account_access.keys_verified(),
        }
        if gateway.feed.usage is not None and gateway.account_access.quotas is not None:
            page["quota_coordinator"] = gateway.feed.usage.coordinator_name
            page["accounts"] = self._accounts()
            page["quota_reserved_for"] = gateway.feed.usage.reserved_for()
        loads = load_rows(gateway.selector.shared_loads, gateway.forwarder.clock.monotonic())
        if loads:
            page["loads"] = loads
            if gateway.feed.usage is not None:
                page["loads_coordinator"] = gateway.feed.usage.coordinator_name
        if gateway.forwarder.queue.enabled:
            page["queues"] = gateway.forwarder.queue.status()
        if limits:
            now = gateway.forwarder.clock.monotonic()
            page["endpoints"] = [
                {
                    "id": up.id,
                    "service": up.registration.service,
                    "zone": up.registration.zone,
                    "in_flight": up.in_flight,
                    "failures": up.failures,
                    "report": up.report and up.report[:3],
                    "cold_ms": max(timedelta(0), up.cold_until - now) // timedelta(milliseconds=1),
                    "cold_source": str(up.cold_source) if up.cold_until > now else None,
                    "rate_limit": gateway.selector.rate_limits.limit_of(up.incarnation),
                }
                for up in gateway.upstream_table.all()
            ]
        return page

    def explain(self, query: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the rule that a request with the `host` and `path` in `query` would match.

        With a `key` in `query`, the account that it belongs to is returned too.
        """
        rule = self._gateway.plan.match(str(query.get("host", "")), str(query.get("path", "/")))
        if isinstance(rule, Refusal):
            return {"refused": str(rule.reason), "detail": rule.detail}
        account = {}
        if "key" in query:
            found = self._gateway.plan.find_account(str(query["key"]))
            account = {"account": None if found is None else found.name}
        services = {share.service: share.weight for share in rule.services}
        return {
            "rule": rule.name,
            "configuration": self._gateway.configuration,
            "services": services,
            "idempotent": rule.idempotent,
            "homes": sorted(rule.homes),
            "anonymous": rule.anonymous,
            **account,
        }
