"""From a caller's request to what the decisions need: rule, service, key, deadline."""

import random
import re
import typing as t
from datetime import timedelta

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import RoutePlan, RouteRule, RouteTable, ServiceRotation

MAX_DEADLINE_MS = 600_000
"""Longest time that a caller may state, in milliseconds; more counts as this much."""

_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}\Z")
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,200}\Z")


class CallerHeaders(t.NamedTuple):
    """Names of the headers that callers send, in lower case.

    `request_id` is the caller's own id of this attempt, `deadline_ms` how many milliseconds it
    waits, and `key` names the object that the request is about.
    """

    request_id: str
    deadline_ms: str
    key: str


class Call(t.NamedTuple):
    """One request as the decisions see it.

    `deadline` is the monotonic instant at which the caller must have its answer, by its own deadline
    or the rule's timeout. `target` is the path with its query, as sent. `leaves` is when the caller
    itself gives up.
    """

    id: str
    rule: RouteRule
    service: str
    key: str
    arrived: timedelta
    deadline: timedelta
    target: str
    leaves: timedelta = timedelta(0)


class RequestReader:
    """Reads requests by one configuration.

    Parameters
    ----------
    plan
        The configuration.
    headers
        How callers name things.
    rng
        Source of chance for where the rotation among services begins.
    """

    def __init__(self, plan: RoutePlan, headers: CallerHeaders, rng: random.Random) -> None:
        self.plan = plan
        self._headers = headers
        self._table = RouteTable(plan.rules)
        self._rotations = {
            (rule.host, rule.prefix): ServiceRotation(rule.services, rng.random())
            for rule in plan.rules
        }
        self.home_regions = _homes_by_host(plan)

    def is_idempotent(self, head: RequestHead) -> bool:
        """Tell whether the request may run more than once."""
        rule = self._table.match(dict(head.headers).get("host", ""), head.path)
        return rule is not None and rule.idempotent

    def read(self, head: RequestHead, now: timedelta) -> Call | Refusal:
        """Return the call, or why the request is refused."""
        headers = dict(head.headers)
        rule = self._table.match(headers.get("host", ""), head.path)
        if rule is None:
            return Refusal(
                RefusalReason.NO_SERVICE, f"no rule for {headers.get('host')}{head.path}"
            )
        request_id = headers.get(self._headers.request_id, "")
        if not _REQUEST_ID.match(request_id):
            detail = f"{self._headers.request_id} is missing or malformed"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        deadline = headers.get(self._headers.deadline_ms)
        if deadline is not None and not _WHOLE_NUMBER.match(deadline):
            detail = f"{self._headers.deadline_ms} is not a whole number"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        if head.length is not None and head.length > self.plan.limits.body_bytes:
            detail = f"the body is above {self.plan.limits.body_bytes} bytes"
            return Refusal(RefusalReason.TOO_LARGE, detail)
        stays = rule.timeout
        if deadline is not None:
            stays = timedelta(milliseconds=min(int(deadline), MAX_DEADLINE_MS))
        patience = min(rule.timeout, stays)
        key = headers.get(self._headers.key) if rule.keyed else None
        return Call(
            id=request_id,
            rule=rule,
            service=self._rotations[rule.host, rule.prefix].next(),
            key=request_id if key is None else key,
            arrived=now,
            deadline=now + patience,
            target=f"{head.path}?{head.query}" if head.query else head.path,
            leaves=now + stays,
        )


def _homes_by_host(plan: RoutePlan) -> dict[str, frozenset[str]]:
    """Return the regions that all rules of a host with homes have in common."""
    found: dict[str, frozenset[str]] = {}
    for rule in plan.rules:
        if rule.homes:
            found[rule.host] = found.get(rule.host, rule.homes) & rule.homes
    return found
