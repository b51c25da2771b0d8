"""Callers' requests are parsed to calls, or refused with a reason."""

import pytest
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.gateway.calls import RequestReader
from cardamomloft_standins import gateway as kit

MS = kit.MS


def _head(path="/menus/7", length=0, query="", **headers) -> RequestHead:
    defaults = {
        "host": "a.example",
        "x_request_id": "id-1",
        "x_deadline_ms": "2500",
        "x_object": "17",
    }
    fields = {**defaults, **headers}
    pairs = tuple((name.replace("_", "-"), value) for name, value in fields.items() if value)
    return RequestHead("GET", path, query, pairs, "10.0.0.9", length, length is None)


def _read(head: RequestHead, **changes):
    reader = RequestReader(kit.plan(rules=[kit.RULE._replace(**changes)]), kit.HEADERS, kit.rng())
    return reader.read(head, 5000 * MS)


def test_valid_request_is_read_as_a_call():
    call = _read(_head(query="a=1"))
    assert (call.id, call.service, call.key, call.target) == ("id-1", "menus", "17", "/menus/7?a=1")
    assert call.deadline == 6000 * MS


@pytest.mark.parametrize(("deadline", "until"), [("300", 5300), (None, 6000), ("9" * 18, 6000)])
def test_deadline_is_the_earlier_of_the_callers_and_the_rules(deadline, until):
    assert _read(_head(x_deadline_ms=deadline)).deadline == until * MS


def test_request_id_is_the_key_without_an_affinity_key():
    assert _read(_head(x_object=None)).key == "id-1"
    assert _read(_head(), keyed=False).key == "id-1"


@pytest.mark.parametrize(
    ("head", "reason"),
    [
        (_head(host="unknown.example"), RefusalReason.NO_SERVICE),
        (_head(host=None), RefusalReason.NO_SERVICE),
        (_head(path="/elsewhere"), RefusalReason.NO_SERVICE),
        (_head(x_request_id=None), RefusalReason.BAD_REQUEST),
        (_head(x_request_id="two words"), RefusalReason.BAD_REQUEST),
        (_head(x_request_id="x" * 201), RefusalReason.BAD_REQUEST),
        (_head(x_deadline_ms="soon"), RefusalReason.BAD_REQUEST),
        (_head(x_deadline_ms="-1"), RefusalReason.BAD_REQUEST),
        (_head(x_deadline_ms="1.5"), RefusalReason.BAD_REQUEST),
        (_head(length=2001), RefusalReason.TOO_LARGE),
    ],
)
def test_invalid_request_is_refused_with_its_reason(head, reason):
    refusal = _read(head)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == reason
    assert refusal.detail


@pytest.mark.parametrize("target", ["/menus/7?", "/menus/7;", "/menus/7?a&&b=", "/menus/7"])
def test_target_is_passed_on_as_sent(target):
    path, _, query = target.partition("?")
    assert _read(_head(path, query=query)._replace(target=target)).target == target


@pytest.mark.parametrize("character", ["\x00", "\x7f", "\x80", "\xff", " ", "\n"])
def test_target_with_characters_that_no_target_may_have_is_refused(character):
    target = f"/menus/7{character}"
    refusal = _read(_head(target)._replace(target=target))
    assert refusal.reason is RefusalReason.BAD_REQUEST


def test_home_regions_of_a_host_are_common_to_all_its_rules():
    rules = [
        kit.RULE._replace(prefix="/a/", homes=frozenset({"east", "west"})),
        kit.RULE._replace(prefix="/b/", homes=frozenset({"east"})),
        kit.RULE._replace(prefix="/c/"),
    ]
    reader = RequestReader(kit.plan(rules=rules), kit.HEADERS, kit.rng())
    assert reader.home_regions == {"a.example": {"east"}}
