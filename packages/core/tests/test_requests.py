"""Classification of requests: service, limits, priority, deadline and site."""

import json
from datetime import timedelta
from pathlib import Path

import pytest
from cardamomloft.core.addresses import parse_address
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.model import Priority, RefusalReason
from cardamomloft.core.requests import Classifier

PIMENTO = json.loads((Path(__file__).parents[3] / "examples" / "pimento.json").read_text())
NOW = timedelta(seconds=100)
CLIENT = parse_address("10.20.1.1")


def classify(method="GET", path="/menus/today", headers=None, client=CLIENT, document=PIMENTO):
    classifier = Classifier(document)
    return classifier.classify(method, path, headers or {}, client, NOW, "kingston-a")


def remaining_ms(headers) -> float:
    return (classify(headers=headers).ok.deadline - NOW) / timedelta(milliseconds=1)


def refused(**given) -> RefusalReason:
    return classify(**given).error.reason


def test_a_request_gets_its_service_settings():
    headers = {"idempotency-key": "k", "content-length": "12"}
    req = classify("POST", "/checkout/orders?kiosk=4", headers).ok
    assert (req.service, req.path, req.size) == ("checkout", "/checkout/orders?kiosk=4", 12)
    assert (req.priority, req.idempotent, req.operation) == (Priority.CRITICAL, False, "k")
    assert req.deadline == NOW + timedelta(seconds=5)
    assert req.site == "montego-bay"


def test_longest_prefix_of_whole_segments_selects_the_service():
    menus = PIMENTO["services"]["menus"]
    services = {
        "menus": menus,
        "prices": {**menus, "prefix": "/menus/prices/"},
        "rest": {**menus, "prefix": "/"},
    }
    document = {**PIMENTO, "services": services}
    for path, service in {
        "/menus": "menus",
        "/menus/": "menus",
        "/menus/prices": "prices",
        "/menus/prices/7?x=/": "prices",
        "/menus/pricesless": "menus",
        "/menus2": "rest",
        "/": "rest",
    }.items():
        assert classify(path=path, document=document).ok.service == service
    assert refused(path="/menus2") is RefusalReason.NO_SERVICE
    assert refused(path="/") is RefusalReason.NO_SERVICE


@pytest.mark.parametrize(
    "path", ["", "*", "menus", "http://x/menus", "/menus/../checkout", "/menus/%2E%2e", "/./menus"]
)
def test_ambiguous_paths_are_refused(path):
    assert refused(path=path) is RefusalReason.BAD_REQUEST


def test_dots_inside_segments_are_allowed():
    assert classify(path="/menus/...x/a..b/.well-known?to=/../").is_ok()


def test_callers_deadline_is_capped_at_the_service_maximum():
    assert remaining_ms({}) == 1500
    assert remaining_ms({"x-deadline-ms": "700"}) == 700
    assert remaining_ms({"x-deadline-ms": "4000"}) == 4000
    assert remaining_ms({"x-deadline-ms": "9" * 18}) == 5000
    assert refused(headers={"x-deadline-ms": "0"}) is RefusalReason.DEADLINE


@pytest.mark.parametrize("text", ["", "-1", "1.5", "1e3", "+5", "٣", "5\n", "9" * 5000])
def test_malformed_numbers_are_bad_requests(text):
    assert refused(headers={"x-deadline-ms": text}) is RefusalReason.BAD_REQUEST
    assert refused(headers={"content-length": text}) is RefusalReason.BAD_REQUEST


def test_caller_can_lower_but_not_raise_its_priority():
    assert classify(headers={"x-priority": "bulk"}).ok.priority is Priority.BULK
    assert classify(headers={"x-priority": "critical"}).ok.priority is Priority.NORMAL
    assert refused(headers={"x-priority": "urgent"}) is RefusalReason.BAD_REQUEST


def test_idempotent_methods_are_the_services_own_or_the_default():
    idempotent = {
        (method, path)
        for method in ("GET", "PUT", "DELETE", "POST", "get")
        for path in ("/menus", "/checkout")
        if classify(method, path).ok.idempotent
    }
    assert idempotent == {
        ("GET", "/menus"),
        ("PUT", "/menus"),
        ("DELETE", "/menus"),
        ("GET", "/checkout"),
    }


def test_a_body_above_the_limit_is_refused():
    assert classify(headers={"content-length": "65536"}).is_ok()
    assert refused(headers={"content-length": "65537"}) is RefusalReason.TOO_LARGE


def test_the_site_is_the_entrys_zone_for_an_unknown_client():
    assert classify(client=None).ok.site == "kingston-a"


def test_explicit_empty_block_map_is_used():
    classifier = Classifier(PIMENTO, BlockMap("mandeville"))
    assert classifier.classify("GET", "/menus", {}, CLIENT, NOW, "z").ok.site == "mandeville"
