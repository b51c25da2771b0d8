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
