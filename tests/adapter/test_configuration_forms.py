"""A confirmed configuration is in force as written, an older or invalid one never."""

import json
import random
from datetime import timedelta

import pytest
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import PlanRead, Unreadable
from cardamomloft.gateway.inforce import PlanInForce
from cardamomloft.platform.decoding import decode_item
from cardamomloft.platform.names import CALLER_HEADERS

from .test_decoding import CONFIG, ROUTE, ROUTE_COLUMNS


def _document(version: int, *routes: tuple[str, str, str]) -> bytes:
    """Return a document with routes of a host, a prefix and a service."""
    rows = [
        [f"r-{n}", host, prefix, "safe", "1s", None, 1, service, 2, False, [], None]
        for n, (host, prefix, service) in enumerate(routes)
    ]
    table = {"columns": ROUTE_COLUMNS, "rows": rows}
    return json.dumps({**CONFIG, "version": version, "routes": table}).encode()


def _in_force(*documents: bytes) -> PlanInForce:
    plan = PlanInForce(ManualClock(), random.Random(1), CALLER_HEADERS, lambda: True)
    for document in documents:
        fact = decode_item("op/config", document)
        if isinstance(fact, PlanRead):
            plan.replace(fact.plan)
    return plan


def _service(plan: PlanInForce, host: str, path: str) -> str | RefusalReason:
    headers = (("host", host), (CALLER_HEADERS.request_id, "id-1"))
    call = plan.read(RequestHead("GET", path, "", headers, "10.0.0.9", 0, False))
    return call.reason if isinstance(call, Refusal) else call.service


BEFORE = _document(4, ("a.example", "/x/", "pay"))
ADDED = _document(7, ("a.example", "/x/", "pay"), ("a.example", "/x/new/", "menus"))
MISSING = RefusalReason.NO_SERVICE


@pytest.mark.parametrize(
    ("host", "path", "service"),
    [
        ("a.example", "/x/new/", "menus"),
        ("a.example", "/x/new/7/a%2fb", "menus"),
        ("A.Example", "/x/new/7", "menus"),
        ("a.example:8641", "/x/new/7", "menus"),
        ("a.example", "/x/newer/7", "pay"),
        ("a.example", "/x/new", "pay"),
        ("a.example", "/new/", MISSING),
        ("b.example", "/x/new/7", MISSING),
    ],
)
def test_added_route_is_served_however_its_host_and_path_are_written(host, path, service):
    assert _service(_in_force(BEFORE, ADDED), host, path) == service


def test_route_that_is_written_in_another_case_or_order_is_served():
    shuffled = _document(8, ("B.EXAMPLE", "/y/", "menus"), *[("a.example", "/x/", "pay")])
    plan = _in_force(ADDED, shuffled)
    assert _service(plan, "b.example", "/y/1") == "menus"
    assert _service(plan, "a.example", "/x/new/1") == "pay"


def test_dropped_route_is_not_served():
    assert (
        _service(
            _in_force(ADDED, _document(9, ("a.example", "/x/new/", "menus"))), "a.example", "/x/1"
        )
        == MISSING
    )


@pytest.mark.parametrize(
    "order", [(BEFORE, ADDED, BEFORE), (ADDED, BEFORE), (ADDED, BEFORE, BEFORE)]
)
def test_older_configuration_never_takes_the_place_of_a_newer_one(order):
    plan = _in_force(*order)
    assert plan.number == 7
    assert _service(plan, "a.example", "/x/new/1") == "menus"


INVALID = [
    ADDED[:-20],
    b"",
    b"{}",
    json.dumps({**CONFIG, "version": "9"}).encode(),
    json.dumps({**CONFIG, "version": -1}).encode(),
    json.dumps({**CONFIG, "version": 9, "limits": {}}).encode(),
    *(
        json.dumps(
            {**CONFIG, "version": 9, "routes": {"columns": ROUTE_COLUMNS, "rows": [row]}}
        ).encode()
        for row in (
            ["", *ROUTE[1:]],
            [ROUTE[0], None, *ROUTE[2:]],
            [*ROUTE[:2], "", *ROUTE[3:]],
            [*ROUTE[:4], None, *ROUTE[5:]],
            [*ROUTE[:4], "soon", *ROUTE[5:]],
            [*ROUTE[:7], None, *ROUTE[8:]],
            ROUTE[:-1],
        )
    ),
]


@pytest.mark.parametrize("document", INVALID)
def test_invalid_configuration_is_not_taken_and_the_one_in_force_stays(document):
    assert isinstance(decode_item("op/config", document), Unreadable)
    plan = _in_force(ADDED, document)
    assert plan.number == 7
    assert _service(plan, "a.example", "/x/new/1") == "menus"


def _with_cell(column: str, value: object) -> bytes:
    row = [
        value if name == column else cell for name, cell in zip(ROUTE_COLUMNS, ROUTE, strict=True)
    ]
    return json.dumps(
        {**CONFIG, "version": 9, "routes": {"columns": ROUTE_COLUMNS, "rows": [row]}}
    ).encode()


@pytest.mark.parametrize(
    "document",
    [
        _with_cell("timeout", "3333.3333333333335ms"),
        _with_cell("timeout", "3.33333333333333s"),
        _with_cell("timeout", "1e3ms"),
        _with_cell("targetLatency", "0.30000000000000004s"),
        _with_cell("kind", "kind-of-later"),
        _with_cell("priority", 1_000),
        _with_cell("name", "route of the caf\u00e9"),
        _with_cell("homeRegions", None),
        _with_cell("stickySessions", None),
        _with_cell("split", [{"service": "pay", "weight": 1e-9}, {"service": "b", "weight": 1e9}]),
        json.dumps({**CONFIG, "version": 9, "later": {"a": [1]}}).encode(),
        json.dumps(
            {**CONFIG, "version": 9, "limits": {**CONFIG["limits"], "idleTimeout": "0.1e2s"}}
        ).encode(),
        json.dumps(
            {
                **CONFIG,
                "version": 9,
                "services": {
                    "columns": ["name", "maxConnections", "coldStart", "coldPerS"],
                    "rows": [["pay", 5, "2.0000000000000004s", 0.30000000000000004]],
                },
            }
        ).encode(),
    ],
)
def test_configuration_within_its_format_is_put_in_force(document):
    """Guards against a reader that refuses a whole configuration for one unusual value."""
    assert _in_force(BEFORE, document).number == 9


@pytest.mark.parametrize(
    ("name", "key"),
    [
        ("north", "k-1"),
        ("North West Ltd.", "k-1"),
        ("n" * 300, "k" * 600),
        ("north", "a:b!c%d=e&f#g@h"),
    ],
)
def test_accounts_of_any_name_and_key_that_headers_can_carry_are_put_in_force(name, key):
    """Guards against a configuration that is refused whole for the name of an account."""
    columns = ["name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"]
    tenants = {"columns": columns, "rows": [[name, [key], None, None, None, []]]}
    routes = json.loads(ADDED)["routes"]
    document = {**CONFIG, "version": 9, "routes": routes, "tenants": tenants}
    plan = _in_force(BEFORE, json.dumps(document).encode())
    pairs = [("host", "a.example"), (CALLER_HEADERS.request_id, "id-1")]
    pairs.append(("authorization", f"Bearer {key}"))
    call = plan.read(RequestHead("GET", "/x/1", "", tuple(pairs), "10.0.0.9", 0, False))
    assert not isinstance(call, Refusal), call
    assert (CALLER_HEADERS.account, name) in call.headers


@pytest.mark.parametrize(
    ("document", "known"),
    [
        (_with_cell("timeout", "soon"), (9, False)),
        (_with_cell("stickySessions", "false"), (9, False)),
        (b"{", (None, False)),
        (json.dumps({**CONFIG, "version": "9"}).encode(), (None, False)),
    ],
)
def test_unreadable_configuration_without_accounts_says_so(document, known):
    fact = decode_item("op/config", document)
    assert isinstance(fact, Unreadable)
    assert (fact.plan.number, fact.plan.accounts is not None) == known


def test_accounts_of_an_unreadable_configuration_are_known_if_they_can_be_read():
    columns = ["name", "apiKeys"]
    raw = json.loads(_with_cell("timeout", "soon"))
    good = {**raw, "tenants": {"columns": columns, "rows": [["north", ["k-1"]]]}}
    fact = decode_item("op/config", json.dumps(good).encode())
    assert [account.keys for account in fact.plan.accounts] == [("k-1",)]
    assert "k-1" not in str(fact)
    odd = {**raw, "tenants": {"columns": columns, "rows": [["north", "k-1"]]}}
    fact = decode_item("op/config", json.dumps(odd).encode())
    assert (fact.plan.number, fact.plan.accounts) == (9, None)


def test_shorter_timeout_of_a_new_configuration_applies_to_the_next_request():
    routes = json.loads(ADDED)["routes"]
    for row in routes["rows"]:
        row[4] = "300ms"
    shorter = json.dumps({**json.loads(ADDED), "version": 8, "routes": routes}).encode()
    plan = _in_force(ADDED, shorter)
    head = RequestHead(
        "GET",
        "/x/new/1",
        "",
        (("host", "a.example"), (CALLER_HEADERS.request_id, "id-1")),
        "10.0.0.9",
        0,
        False,
    )
    call = plan.read(head)
    assert call.deadline - call.arrived == timedelta(milliseconds=300)
