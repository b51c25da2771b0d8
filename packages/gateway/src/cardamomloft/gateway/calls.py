"""Parsing of a caller's request: its rule, service, affinity key and deadline."""

import random
import re
import typing as t
from datetime import timedelta

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import RoutePlan, RouteRule, RouteTable, ServiceRotation

MAX_DEADLINE_MS = 600_000
"""Upper bound of the deadline that a caller may state, in milliseconds; larger values are
reduced to it."""

_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}\Z")
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,200}\Z")


class CallerHeaders(t.NamedTuple):
    """Names of the request headers that callers send, in lower case.

    `request_id` identifies one attempt of the caller, `deadline_ms` is the number of milliseconds
    that the caller waits for the answer, and `key` is the affinity key of the request.
    """

    request_id: str
    deadline_ms: str
    key: str


class Call(t.NamedTuple):
    """The attributes of one parsed request that routing decisions use.

    Instants are monotonic. `deadline` is the instant by which the caller must have its answer: the
    earlier of its own deadline and the rule's timeout. `caller_deadline` is the instant at which
    the caller itself stops waiting. `target` is the path with its query, as sent.
    """

    id: str
    rule: RouteRule
    service: str
    key: str
    arrived: timedelta
    deadline: timedelta
    target: str
    caller_deadline: timedelta = timedelta(0)


class RequestReader:
    """Parses requests according to one configuration.

    Parameters
    ----------
    plan
        The configuration.
    headers
        The names of the callers' request headers.
    rng
        Chooses the starting point of each rule's rotation among its services.
    """

    def __init__(self, plan: RoutePlan, headers: CallerHeaders, rng: random.Random) -> None:
        self.plan = plan
        self._headers = headers
        self._table = RouteTable(plan.rules)
        self._rotations = {
            (rule.host, rule.prefix): ServiceRotation(rule.services, rng.random())
            for rule in plan.rules
        }
        self.home_regions = _home_regions_by_host(plan)

    def is_idempotent(self, head: RequestHead) -> bool:
        """Return whether the rule of the request allows running it more than once."""
        rule = self._table.match(dict(head.headers).get("host", ""), head.path)
        return rule is not None and rule.idempotent

    def read(self, head: RequestHead, now: timedelta) -> Call | Refusal:
        """Return the parsed request, or the reason why it is refused."""
        headers = dict(head.headers)
        rule = self._table.match(headers.get("host", ""), head.path)
        if rule is None:
            return Refusal(
                RefusalReason.NO_SERVICE, f"no rule matches {headers.get('host')}{head.path}"
            )
        request_id = headers.get(self._headers.request_id, "")
        if not _REQUEST_ID.match(request_id):
            detail = f"{self._headers.request_id} is missing or malformed"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        stated_deadline = headers.get(self._headers.deadline_ms)
        if stated_deadline is not None and not _WHOLE_NUMBER.match(stated_deadline):
            detail = f"{self._headers.deadline_ms} must be a whole number of ms"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        if head.length is not None and head.length > self.plan.limits.body_bytes:
            detail = f"the body exceeds the limit of {self.plan.limits.body_bytes} bytes"
            return Refusal(RefusalReason.TOO_LARGE, detail)
        caller_wait = rule.timeout
        if stated_deadline is not None:
            caller_wait = timedelta(milliseconds=min(int(stated_deadline), MAX_DEADLINE_MS))
        time_limit = min(rule.timeout, caller_wait)
        key = headers.get(self._headers.key) if rule.keyed else None
        return Call(
            id=request_id,
            rule=rule,
            service=self._rotations[rule.host, rule.prefix].next(),
            key=request_id if key is None else key,
            arrived=now,
            deadline=now + time_limit,
            target=f"{head.path}?{head.query}" if head.query else head.path,
            caller_deadline=now + caller_wait,
        )


def _home_regions_by_host(plan: RoutePlan) -> dict[str, frozenset[str]]:
    """Return for each host the regions common to all of its rules that name any."""
    found: dict[str, frozenset[str]] = {}
    for rule in plan.rules:
        if rule.homes:
            found[rule.host] = found.get(rule.host, rule.homes) & rule.homes
    return found
