"""Items of the platform's store are decoded to facts; malformed ones are reported as unreadable."""

import json
from datetime import timedelta

import pytest
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    PlanRead,
    Registration,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.core.routes import ClientAccount, ServicePolicy, ServiceShare
from cardamomloft.gateway.entryrecords import encode_entry
from cardamomloft.platform.decoding import decode_item, decode_removal
from hypothesis import given, settings
from hypothesis import strategies as st

from .columns import ROUTE_COLUMNS

MS = timedelta(milliseconds=1)

REGISTRATION = {
    "service": "menus",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemaining": "2.5s",
    "sequence": 4,
}

ROUTE = ["r-1", "A.example", "/x/", "unsafe", "1200ms", "500ms", 1, "pay", 2, True, ["east"], None]
SPLIT = ["r-2", "a.example", "/x/y/", "safe", "1s", None, 2, None, 3, False, [], []]

CONFIG = {
    "version": 7,
    "routes": {"columns": ROUTE_COLUMNS, "rows": [ROUTE]},
    "services": {
        "columns": ["name", "healthPath", "maxConnections", "coldStart", "coldPerS"],
        "rows": [["pay", "/health", 360, "3s", 7.0], ["menus", "/health", 10, None, None]],
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}

ACCOUNT_COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"]
ACCOUNT = ["cuka620", ["6aw63is47", "a9rgy35ie"], 1, 188, 188, ["east"]]


def _config(**changes):
    return json.dumps({**CONFIG, **changes}).encode()


def _plan(value: bytes):
    fact = decode_item("op/config", value)
    assert isinstance(fact, PlanRead), fact
    return fact.plan


def _with_accounts(*rows):
    return _config(tenants={"columns": ACCOUNT_COLUMNS, "rows": list(rows)})


def test_accounts_are_decoded():
    plain = ["vori", [], None, None, None, None]
    found = _plan(_with_accounts(ACCOUNT, plain)).accounts
    keys = ("6aw63is47", "a9rgy35ie")
    assert found == (
        ClientAccount("cuka620", keys, 1, 188.0, 188.0, frozenset({"east"})),
        ClientAccount("vori", ()),
    )
    assert _plan(_with_accounts()).accounts == ()
    assert _plan(_config()).accounts is None
    assert _plan(_config(tenants=None)).accounts is None


def test_rule_open_to_anonymous_callers_is_decoded():
    columns = [*ROUTE_COLUMNS, "allowAnonymous"]
    rows = [[*ROUTE, True], ["r-2", *ROUTE[1:], None], ["r-3", *ROUTE[1:], False]]
    found = _plan(_config(routes={"columns": columns, "rows": rows})).rules
    open_rules = {rule.name: rule.anonymous for rule in found}
    assert open_rules == {"r-1": True, "r-2": False, "r-3": False}


@pytest.mark.parametrize(
    "rows",
    [
        [ACCOUNT, ACCOUNT],
        [ACCOUNT, ["other", ["6aw63is47"], 1, 1, 1, []]],
        [[" ab", ["6aw63is47"], 1, 1, 1, []]],
        [["ab ", ["6aw63is47"], 1, 1, 1, []]],
        [["a\nb", ["6aw63is47"], 1, 1, 1, []]],
        [["a\tb", ["6aw63is47"], 1, 1, 1, []]],
        [["\u00e9", ["6aw63is47"], 1, 1, 1, []]],
        [["", ["6aw63is47"], 1, 1, 1, []]],
        [["a", ["6aw63is47\u00e9"], 1, 1, 1, []]],
        [["a", ["6aw63is47", ""], 1, 1, 1, []]],
        [["a", ["6aw63is47"], 1, 1, 1, "east"]],
        [["a", "6aw63is47", 1, 1, 1, []]],
        [["a", [["6aw63is47"]], 1, 1, 1, []]],
        [["a", ["6aw63is47 x"], 1, 1, 1, []]],
        [["a", ["6aw63is47"], 1, -1, 1, []]],
        [["a", ["6aw63is47"], 1, 1, "many", []]],
        [["a", ["6aw63is47"], 1]],
        [None],
    ],
)
def test_configuration_with_unusable_accounts_is_unreadable_and_shows_no_key(rows):
    fact = decode_item("op/config", _with_accounts(*rows))
    assert isinstance(fact, Unreadable)
    assert "6aw63is47" not in fact.detail


def test_valid_registration_is_decoded():
    fact = decode_item("servers/i-7", json.dumps(REGISTRATION).encode())
    expected = Registration("i-7", "menus", "10.1.0.9:8080", "a", 4, False, 2500 * MS)
    assert fact == UpstreamRegistered(expected)


def test_draining_state_start_time_and_unknown_fields_are_accepted():
    row = {**REGISTRATION, "state": "draining", "unknownField": 1, "born": 1_700_000_000_123}
    registration = decode_item("servers/i-7", json.dumps(row).encode()).registration
    assert registration.draining
    assert registration.started_ms == 1_700_000_000_123


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("slots", 0),
        ("slots", "4"),
        ("slots", True),
        ("slots", 4.0),
        ("slots", 10**30),
        ("version", 1),
        ("sequence", "4"),
        ("sequence", None),
        ("born", 1.5),
        ("born", "1"),
        ("born", True),
        ("born", None),
        ("born", -1),
        ("address", "10.1.0.9"),
        ("address", "10.1.0.900:80"),
        ("address", "10.1.0.9:0"),
        ("address", "10.1.0.9:99999"),
        ("address", "somewhere.example:80"),
        ("coldRemaining", None),
        ("state", "unknown"),
        ("address", None),
        ("service", ""),
        ("coldRemaining", "soon"),
        ("coldRemaining", 7),
    ],
)
def test_registration_with_an_invalid_field_is_unreadable(name, value):
    fact = decode_item("servers/i-7", json.dumps({**REGISTRATION, name: value}).encode())
    assert isinstance(fact, UpstreamUnreadable)
    assert fact.id == "i-7"
    assert 0 < len(fact.detail) <= 200


@pytest.mark.parametrize("name", sorted(REGISTRATION))
def test_registration_that_lacks_a_field_is_unreadable(name):
    row = {key: value for key, value in REGISTRATION.items() if key != name}
    assert isinstance(decode_item("servers/i-7", json.dumps(row).encode()), UpstreamUnreadable)


@pytest.mark.parametrize("name", ["", "i 7", "i-7\r\nX: 1", "i-\u00e9", "x" * 201])
def test_id_that_is_not_a_valid_header_value_is_unreadable(name):
    fact = decode_item(f"servers/{name}", json.dumps(REGISTRATION).encode())
    assert isinstance(fact, UpstreamUnreadable)


_SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=10,
)
_CHANGES = st.dictionaries(
    st.sampled_from([*REGISTRATION, "born"]), _VALUES, min_size=1, max_size=3
)


def _is_usable(registration):
    host, _, port = registration.address.rpartition(":")
    numbers = (registration.slots, registration.started_ms)
    return (
        all(type(number) is int for number in numbers)
        and registration.slots >= 1
        and all(0 <= int(octet) <= 255 for octet in host.split("."))
        and 0 < int(port) < 65_536
        and all(type(text) is str and text for text in (registration.service, registration.zone))
        and registration.cold_left >= timedelta(0)
    )


@settings(max_examples=500, deadline=None)
@given(_CHANGES)
def test_changed_registration_is_valid_or_unreadable(changes):
    fact = decode_item("servers/i-7", json.dumps({**REGISTRATION, **changes}).encode())
    if isinstance(fact, UpstreamRegistered):
        assert _is_usable(fact.registration)
    else:
        assert isinstance(fact, UpstreamUnreadable)


@settings(max_examples=500, deadline=None)
@given(st.sampled_from(["servers/i-7", "entries/e-1", "op/config"]), st.binary(max_size=200))
def test_arbitrary_bytes_are_unreadable(key, value):
    assert isinstance(decode_item(key, value), Unreadable | UpstreamUnreadable)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(CONFIG)), _VALUES)
def test_configuration_with_a_changed_section_is_valid_or_unreadable(name, value):
    fact = decode_item("op/config", _config(**{name: value}))
    assert isinstance(fact, Unreadable) or type(fact.plan.number) is int


@pytest.mark.parametrize("key", ["servers/i-7", "entries/e-1", "op/config"])
@pytest.mark.parametrize(
    "value",
    [b"[" * 100_000, b'{"a":' * 100_000, b"9" * 100_000, b'{"slots": 1e400}', b"\xff\xfe", b""],
)
def test_huge_or_deeply_nested_values_are_unreadable(key, value):
    assert isinstance(decode_item(key, value), Unreadable | UpstreamUnreadable)


def test_valid_configuration_is_decoded():
    plan = _plan(_config())
    (rule,) = plan.rules
    assert plan.number == 7
    assert (rule.name, rule.host, rule.prefix) == ("r-1", "a.example", "/x/")
    assert rule.services == (ServiceShare("pay", 1),)
    assert not rule.idempotent
    assert (rule.timeout, rule.target) == (1200 * MS, 500 * MS)
    assert (rule.attempts, rule.priority, rule.keyed) == (2, 1, True)
    assert rule.homes == {"east"}
    assert plan.services["pay"] == ServicePolicy("pay", 360, 3000 * MS, 7.0)
    assert plan.services["menus"].cold_per_s == 0
    assert plan.limits.body_bytes == 1000
    assert plan.limits.idle_timeout == 15_000 * MS


def test_split_services_are_decoded_and_rules_sorted_by_longest_prefix():
    split = [*SPLIT[:-1], [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]]
    rows = {"columns": ROUTE_COLUMNS, "rows": [ROUTE, split]}
    first, second = _plan(_config(routes=rows)).rules
    assert first.services == (ServiceShare("a", 90), ServiceShare("b", 10))
    assert (first.idempotent, first.target) == (True, timedelta(seconds=1))
    assert second.name == "r-1"


def _rule_of_kind(kind):
    row = [
        kind if column == "kind" else cell
        for column, cell in zip(ROUTE_COLUMNS, ROUTE, strict=True)
    ]
    (rule,) = _plan(_config(routes={"columns": ROUTE_COLUMNS, "rows": [row]})).rules
    return rule


@pytest.mark.parametrize("kind", ["unsafe", "upload", "unknown"])
def test_only_safe_rules_are_idempotent(kind):
    assert not _rule_of_kind(kind).idempotent


@pytest.mark.parametrize("kind", ["safe", "download"])
def test_rules_whose_requests_only_read_are_idempotent(kind):
    """Guards against downloads that are not sent again after a lost or refused try."""
    assert _rule_of_kind(kind).idempotent


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[]",
        b"\xff",
        _config(version="7"),
        _config(limits={}),
        _config(routes={"columns": ["name"], "rows": [["r-1", "more"]]}),
        _config(routes={"columns": ["name"], "rows": [["r-1"]]}),
    ],
)
def test_configuration_that_cannot_be_decoded_is_unreadable(value):
    assert isinstance(decode_item("op/config", value), Unreadable)


def test_drained_zone_keys_are_decoded():
    assert decode_item("op/evacuate/a", b"{}") == ZoneDrained("a")
    assert decode_removal("op/evacuate/a") == ZoneRestored("a")


def test_entry_record_is_decoded_as_it_was_encoded():
    record = EntryRecord("e-1", "10.0.0.1:80", "a", "east")
    assert decode_item("entries/e-1", encode_entry(record)) == EntryRecorded(record)
    assert decode_removal("entries/e-1") == EntryWithdrawn("e-1")
    assert isinstance(decode_item("entries/e-1", b'{"name": 1}'), Unreadable)


def test_removed_registration_is_withdrawn_and_unknown_keys_are_ignored():
    assert decode_removal("servers/i-7") == UpstreamWithdrawn("i-7")
    assert decode_removal("op/config") is None
    assert decode_item("elsewhere/x", b"") is None
