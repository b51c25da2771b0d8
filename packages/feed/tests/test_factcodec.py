"""Encoding of facts: round trips, and errors for invalid data."""

from datetime import timedelta

import msgspec
import pytest
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    PlanRead,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.feed.factcodec import decode_facts, encode_facts
from cardamomloft_standins import gateway as kit
from hypothesis import given
from hypothesis import strategies as st

RULE_WITH_HOME_REGIONS = kit.RULE._replace(homes=frozenset({"east", "west"}))
FACTS = (
    PlanRead(kit.plan(7, rules=[RULE_WITH_HOME_REGIONS])),
    UpstreamRegistered(kit.registration(1, cold_left=timedelta(milliseconds=1234), started_ms=5)),
    UpstreamWithdrawn("i-1"),
    UpstreamUnreadable("i-2", "no slots"),
    ZoneDrained("a"),
    ZoneRestored("a"),
    EntryRecorded(EntryRecord("e-1", "10.0.0.1:80", "a", "east", "10.0.0.1:90")),
    EntryWithdrawn("e-1"),
    Unreadable("config", "no rules"),
)


def test_every_fact_is_unchanged_after_encoding_and_decoding():
    assert decode_facts(encode_facts(FACTS)).ok == FACTS


def test_empty_list_is_valid():
    assert decode_facts(encode_facts([])).ok == ()


@pytest.mark.parametrize(
    "rows",
    [
        [[99, ["a"]]],
        [[-1, ["a"]]],
        [[4, ["a", "b"]], 3],
        [[2, [7]]],
        [[0, [[-1]]]],
        "facts",
        None,
    ],
)
def test_invalid_list_of_facts_is_an_error(rows):
    assert decode_facts(msgspec.msgpack.encode(rows)).is_error()


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_never_raises(data):
    decode_facts(data)


def test_truncated_message_is_an_error():
    whole = encode_facts(FACTS)
    for end in range(0, len(whole), 7):
        assert decode_facts(whole[:end]).is_error()
