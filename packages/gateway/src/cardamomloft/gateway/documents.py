"""The gateway's configuration document, in JSON, with rules, services and limits.

Rules are ordered, and the first match applies. A check reports every mistake with its path.
"""

import re
import typing as t
from collections.abc import Iterator
from datetime import timedelta
from typing import NotRequired

from cardamomloft.core.clientaccounts.identities import find_account_conflict
from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Address, Mistake, Name
from cardamomloft.core.fields import Limits, strict
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import (
    CallerLimits,
    ClientAccount,
    RoutePlan,
    RouteRule,
    ServicePolicy,
    ServiceShare,
)
from cardamomloft.core.typedjson import check_typed, load_json, load_typed
from cardamomloft.gateway.authentication import KEY_PATTERN
from cardamomloft.gateway.durations import PATTERN, parse_duration
from cardamomloft.gateway.entryrecords import address_text
from expression import Error, Ok, Result
from typing_extensions import TypedDict

DurationText = t.Annotated[str, Limits(pattern=PATTERN)]
Count = t.Annotated[int, Limits(ge=1, le=1_000_000)]
Priority = t.Annotated[int, Limits(ge=0, le=100)]
Rate = t.Annotated[float, Limits(ge=0, le=1_000_000_000)]
_MS = timedelta(milliseconds=1)
_KEYS_PATH = re.compile(r"accounts\..*keys|accounts\Z")


@strict
class RouteWhen(TypedDict):
    """Conditions of a rule; both must hold. `path` is a prefix that starts and ends in a slash."""

    host: t.Annotated[str, Limits(pattern=r"^[a-z0-9][a-z0-9.-]{0,252}$")]
    path: t.Annotated[str, Limits(pattern=r"^/([^/?#\s]+/)*$")]


@strict
class ServiceWeight(TypedDict):
    """A service and its weight among a rule's services."""

    service: Name
    weight: t.Annotated[float, Limits(gt=0, le=1_000_000)]


@strict
class RouteThen(TypedDict):
    """What a rule does with a request.

    The requests are divided among `services` by weight. `idempotent` requests may run more than
    once, all others at most once for each id. `timeout` limits how long a caller waits, `target` is
    the latency objective, and `attempts` the maximum number of endpoints that receive one request.
    A lower `priority` is served first. With `keyed`, requests of one key go to the same endpoint.
    Only the regions in `homes` may serve the request; if it is missing or empty, all may. With
    `anonymous`, callers need no key of an account.
    """

    services: t.Annotated[list[ServiceWeight], Limits(min_length=1)]
    idempotent: NotRequired[bool]
    timeout: DurationText
    target: NotRequired[DurationText]
    attempts: NotRequired[t.Annotated[int, Limits(ge=1, le=10)]]
    priority: NotRequired[Priority]
    keyed: NotRequired[bool]
    homes: NotRequired[list[Name]]
    anonymous: NotRequired[bool]


@strict
class RouteRow(TypedDict):
    """A rule: `then` applies to the requests that meet the conditions of `when`."""

    name: Name
    when: RouteWhen
    then: RouteThen


@strict
class ServiceRow(TypedDict):
    """Capacity of each endpoint of a service.

    During `cold_time` after its start an endpoint gets about `cold_per_s` requests per second.
    """

    connections: Count
    cold_time: NotRequired[DurationText]
    cold_per_s: NotRequired[t.Annotated[float, Limits(ge=0)]]


@strict
class AccountRow(TypedDict):
    """A client account, whose callers send one of its `keys`.

    `priority` replaces that of the rules. All gateways together accept `rate_per_s` requests per
    second on average, and `burst` more at once; without a rate there is no limit. Only the regions
    in `homes` may serve its requests; if it is missing or empty, all may.
    """

    keys: list[t.Annotated[str, Limits(pattern=KEY_PATTERN)]]
    priority: NotRequired[Priority]
    rate_per_s: NotRequired[Rate]
    burst: NotRequired[Rate]
    homes: NotRequired[list[Name]]


@strict
class LimitsRow(TypedDict):
    """Limits on request size, on the time to send a request head and on idle connections."""

    head_bytes: Count
    body_bytes: t.Annotated[int, Limits(ge=0)]
    head_timeout: DurationText
    idle_timeout: DurationText


@strict
class RouteDocument(TypedDict):
    """The complete configuration of a deployment of gateways.

    Without `accounts`, callers need no keys.
    """

    format: t.Literal["routes-1"]
    rules: list[RouteRow]
    services: dict[Name, ServiceRow]
    limits: LimitsRow
    accounts: NotRequired[dict[Name, AccountRow]]


@strict
class _AccountsOnly(TypedDict):
    """The accounts of a document of which nothing else is known."""

    accounts: NotRequired[dict[Name, AccountRow]]


@strict
class RegistrationRow(TypedDict):
    """The registration of an upstream endpoint.

    `started_ms` is the Unix time of its start, in milliseconds. It is required if the endpoint can
    restart under the same key.
    """

    service: Name
    address: Address
    zone: Name
    slots: Count
    draining: NotRequired[bool]
    cold_ms: NotRequired[t.Annotated[int, Limits(ge=0, le=1_000_000_000)]]
    started_ms: NotRequired[t.Annotated[int, Limits(ge=0, lt=2**63)]]


def load_plan(text: str | bytes, number: int) -> Result[RoutePlan, tuple[Mistake, ...]]:
    """Parse and check a document; return it as the configuration with the revision `number`.

    Errors
    ------
    Mistake
        Every mistake, with its path.
    """
    match load_typed(RouteDocument, text):
        case Result(tag="error", error=mistakes):
            return Error(tuple(map(_without_key, mistakes)))
        case Result(ok=document):
            pass
    mistakes = tuple(_find_conflicts(document))
    return Error(mistakes) if mistakes else Ok(_plan(document, number))


def load_accounts(text: str | bytes) -> tuple[ClientAccount, ...] | None:
    """Return the accounts of a document, whatever else it contains; None without valid ones."""
    match load_json(text).bind(lambda raw: check_typed(_AccountsOnly, _only_accounts(raw))):
        case Result(tag="ok", ok=document):
            accounts = _accounts(document)
            return accounts if find_account_conflict(accounts or ()) is None else None
        case _:
            return None


def _only_accounts(raw: t.Any) -> dict[str, t.Any]:
    return {"accounts": raw.get("accounts")} if isinstance(raw, dict) else {}


def load_registration(text: bytes, upstream_id: str) -> Result[Registration, tuple[Mistake, ...]]:
    """Parse and check the registration of an upstream endpoint.

    Errors
    ------
    Mistake
        Every mistake, with its path.
    """
    match load_typed(RegistrationRow, text):
        case Result(tag="error", error=mistakes):
            return Error(mistakes)
        case Result(ok=row):
            pass
    try:
        address_text(row["address"])
    except ValueError as exc:
        return Error((Mistake("address", str(exc)),))
    return Ok(
        Registration(
            id=upstream_id,
            service=row["service"],
            address=row["address"],
            zone=row["zone"],
            slots=row["slots"],
            draining=row.get("draining", False),
            cold_left=row.get("cold_ms", 0) * _MS,
            started_ms=row.get("started_ms", 0),
        )
    )


def _without_key(mistake: Mistake) -> Mistake:
    """Return a mistake without the value that it quotes, if that may be a key."""
    if _KEYS_PATH.match(mistake.path):
        return Mistake(mistake.path, f"must be a list of keys of the form {KEY_PATTERN}")
    return mistake


def _find_conflicts(document: RouteDocument) -> Iterator[Mistake]:
    seen: dict[tuple[str, str], str] = {}
    names: set[str] = set()
    for row in document["rules"]:
        path = dotted("rules", row["name"])
        if row["name"] in names:
            yield Mistake(f"{path}.name", f"the name {row['name']} is used more than once")
        names.add(row["name"])
        when = (row["when"]["host"], row["when"]["path"])
        covering = next((name for key, name in seen.items() if _covers(key, when)), None)
        if covering is not None:
            yield Mistake(path, f"can never match: the rule {covering} matches all of it before")
        seen[when] = row["name"]
        for weighted in row["then"]["services"]:
            if weighted["service"] not in document["services"]:
                yield Mistake(
                    f"{path}.then.services",
                    f"the configuration has no service {weighted['service']}",
                )
    conflict = find_account_conflict(_accounts(document) or ())
    if conflict is not None:
        yield Mistake("accounts", conflict)


def _covers(earlier: tuple[str, str], later: tuple[str, str]) -> bool:
    return earlier[0] == later[0] and later[1].startswith(earlier[1])


def _plan(document: RouteDocument, number: int) -> RoutePlan:
    limits = document["limits"]
    return RoutePlan(
        number=number,
        rules=tuple(map(_rule, document["rules"])),
        services={name: _service(name, row) for name, row in document["services"].items()},
        limits=CallerLimits(
            head_bytes=limits["head_bytes"],
            body_bytes=limits["body_bytes"],
            head_timeout=parse_duration(limits["head_timeout"]),
            idle_timeout=parse_duration(limits["idle_timeout"]),
        ),
        accounts=_accounts(document),
    )


def _accounts(document: "RouteDocument | _AccountsOnly") -> tuple[ClientAccount, ...] | None:
    if "accounts" not in document:
        return None
    return tuple(_account(name, row) for name, row in document["accounts"].items())


def _account(name: str, row: AccountRow) -> ClientAccount:
    return ClientAccount(
        name=name,
        keys=tuple(row["keys"]),
        priority=row.get("priority"),
        rate_per_s=row.get("rate_per_s", 0.0),
        burst=row.get("burst", 0.0),
        homes=frozenset(row.get("homes", ())),
    )


def _rule(row: RouteRow) -> RouteRule:
    then = row["then"]
    timeout = parse_duration(then["timeout"])
    return RouteRule(
        name=row["name"],
        host=row["when"]["host"],
        prefix=row["when"]["path"],
        services=tuple(ServiceShare(**share) for share in then["services"]),
        idempotent=then.get("idempotent", False),
        timeout=timeout,
        target=parse_duration(then["target"]) if "target" in then else timeout,
        attempts=then.get("attempts", 1),
        priority=then.get("priority", 0),
        keyed=then.get("keyed", False),
        homes=frozenset(then.get("homes", ())),
        anonymous=then.get("anonymous", False),
    )


def _service(name: str, row: ServiceRow) -> ServicePolicy:
    return ServicePolicy(
        name=name,
        connections=row["connections"],
        cold_time=parse_duration(row.get("cold_time", "0s")),
        cold_per_s=row.get("cold_per_s", 0.0),
    )
