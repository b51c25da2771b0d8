"""Parsing of a caller's request: its rule, service, affinity key and deadline."""

import random
import re
import typing as t
from collections import Counter
from datetime import timedelta

from cardamomloft.callers.exchange import Headers, RequestHead
from cardamomloft.core.clientaccounts.identities import rule_for_account
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import (
    ClientAccount,
    RoutePlan,
    RouteRule,
    RouteTable,
    ServiceRotation,
)
from cardamomloft.gateway.authentication import Authenticator
from cardamomloft.gateway.knowledge import NO_KNOWLEDGE, Knowledge

MAX_DEADLINE_MS = 600_000
"""Upper bound of the deadline that a caller may state, in milliseconds; larger values are
reduced to it."""

_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}\Z")
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,200}\Z")
_TARGET = re.compile(r"/[\x21-\x7e]*\Z")


class CallerHeaders(t.NamedTuple):
    """Names of request headers, in lower case.

    Callers send `request_id`, which identifies one attempt, `deadline_ms`, the number of
    milliseconds that they wait for the answer, and `key`, the affinity key of the request. In
    `account` endpoints get the name of the caller's account.
    """

    request_id: str
    deadline_ms: str
    key: str
    account: str = "x-client-account"


class Call(t.NamedTuple):
    """The attributes of one parsed request that routing decisions use.

    Instants are monotonic. `deadline` is the instant by which the caller must have its answer: the
    earlier of its own deadline and the rule's timeout. `caller_deadline` is the instant at which
    the caller itself stops waiting. `target` is the path with its query, as sent. `headers` are
    those for the endpoint. `rule` has the priority and the home regions of the `account`, which is
    None for an anonymous caller. `knowledge` names the configuration that decided all this.
    `max_body_bytes` is the largest body that the configuration allows, None without a limit.
    """

    id: str
    rule: RouteRule
    service: str
    key: str
    arrived: timedelta
    deadline: timedelta
    target: str
    caller_deadline: timedelta = timedelta(0)
    headers: Headers = ()
    account: ClientAccount | None = None
    knowledge: Knowledge = NO_KNOWLEDGE
    max_body_bytes: int | None = None


class Origin(t.NamedTuple):
    """The gateway that has sent a request through this one, and what it did with it before.

    Attributes
    ----------
    name
        Name of the gateway.
    deliveries
        Number of endpoints that may have got the request from it.
    counted
        Whether it has counted the request for its retry budget.
    """

    name: str
    deliveries: int
    counted: bool


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
    before
        The reader of the configuration before, whose rotations go on where the services and their
        weights are the same.
    """

    def __init__(
        self,
        plan: RoutePlan,
        headers: CallerHeaders,
        rng: random.Random,
        before: "RequestReader | None" = None,
    ) -> None:
        self.plan = plan
        self._headers = headers
        self._table = RouteTable(plan.rules)
        rotations = {} if before is None else before._rotations
        self._rotations = {
            (rule.host, rule.prefix): _rotation(rule, rotations, rng) for rule in plan.rules
        }
        self._choices: dict[str, Counter[str]] = {}
        self.home_regions = _home_regions_by_host(plan)
        self._authenticator = Authenticator(plan, headers.account)
        self._account_rules: dict[tuple[str, str], RouteRule | None] = {}

    def match(self, host: str, path: str) -> RouteRule | Refusal:
        """Return the rule for a host and a path, or a refusal if there is none."""
        rule = self._table.match(host, path)
        if rule is None:
            return Refusal(RefusalReason.NO_SERVICE, f"no rule matches {host}{path}")
        return rule

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the account that holds `key`, or None."""
        return self._authenticator.find(key)

    def use_accounts(self, accounts: tuple[ClientAccount, ...] | None) -> None:
        """Identify callers by `accounts` in place of those of the configuration."""
        self._authenticator = Authenticator(
            self.plan._replace(accounts=accounts), self._headers.account
        )
        self._account_rules.clear()

    def is_idempotent(self, head: RequestHead) -> bool:
        """Return whether the rule of the request allows running it more than once."""
        rule = self._table.match(dict(head.headers).get("host", ""), head.path)
        return rule is not None and rule.idempotent

    def read(self, head: RequestHead, now: timedelta, *, verified: bool = True) -> Call | Refusal:
        """Return the parsed request, or the reason why it is refused.

        Parameters
        ----------
        head
            The head of the request.
        now
            Monotonic instant.
        verified
            Whether the configuration is known to be recent enough to accept or reject keys.
        """
        headers = dict(head.headers)
        rule = self.match(headers.get("host", ""), head.path)
        if isinstance(rule, Refusal):
            return rule
        account = self._authenticator.authenticate(rule, head.headers, verified=verified)
        if isinstance(account, Refusal):
            return account
        if account is not None:
            account_rule = self._rule_for(rule, account)
            if account_rule is None:
                detail = f"rule {rule.name} and account {account.name} have no region in common"
                return Refusal(RefusalReason.NO_PLACE, detail)
            rule = account_rule
        request_id = headers.get(self._headers.request_id, "")
        if not _REQUEST_ID.match(request_id):
            detail = f"{self._headers.request_id} is missing or malformed"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        if not _TARGET.match(head.full_path):
            detail = "the target must be a path of visible ASCII characters"
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
            service=self._choose_service(rule),
            key=request_id if key is None else key,
            arrived=now,
            deadline=now + time_limit,
            target=head.full_path,
            caller_deadline=now + caller_wait,
            headers=self._authenticator.forwarded_headers(head.headers, account),
            account=account,
            max_body_bytes=self.plan.limits.body_bytes,
        )

    def _choose_service(self, rule: RouteRule) -> str:
        service = self._rotations[rule.host, rule.prefix].next()
        if len(rule.services) > 1:
            self._choices.setdefault(rule.name, Counter())[service] += 1
        return service

    def take_choices(self) -> dict[str, Counter[str]]:
        """Return how often rules with several services chose each since the last call."""
        choices, self._choices = self._choices, {}
        return choices

    def _rule_for(self, rule: RouteRule, account: ClientAccount) -> RouteRule | None:
        """Return what :func:`rule_for_account` returns, computed once."""
        if account.priority is None and not account.homes:
            return rule
        names = (rule.name, account.name)
        if names not in self._account_rules:
            self._account_rules[names] = rule_for_account(rule, account)
        return self._account_rules[names]


def _rotation(
    rule: RouteRule, rotations: dict[tuple[str, str], ServiceRotation], rng: random.Random
) -> ServiceRotation:
    """Return the rotation of a rule: the present one if its services and weights are the same."""
    present = rotations.get((rule.host, rule.prefix))
    if present is not None and present.services == rule.services:
        return present
    return ServiceRotation(rule.services, rng.random())


def _home_regions_by_host(plan: RoutePlan) -> dict[str, frozenset[str]]:
    """Return for each host the regions common to all of its rules that name any."""
    found: dict[str, frozenset[str]] = {}
    for rule in plan.rules:
        if rule.homes:
            found[rule.host] = found.get(rule.host, rule.homes) & rule.homes
    return found
