"""Facts on the wire: what comes back is what was sent, and garbage is told as such."""

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

HOME_RULE = kit.RULE._replace(homes=frozenset({"east", "west"}))
FACTS = (
    PlanRead(kit.plan(7, rules=[HOME_RULE])),
    UpstreamRegistered(kit.registration(1, cold_left=timedelta(milliseconds=1234), started_ms=5)),
    UpstreamWithdrawn("i-1"),
    UpstreamUnreadable("i-2", "no slots"),
    ZoneDrained("a"),
    ZoneRestored("a"),
    EntryRecorded(EntryRecord("e-1", "10.0.0.1:80", "a", "east", "10.0.0.1:90")),
    EntryWithdrawn("e-1"),
    Unreadable("config", "no rules"),
)


def test_every_fact_comes_back_as_it_was():
    assert decode_facts(encode_facts(FACTS)).ok == FACTS


def test_no_facts_are_no_fault():
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
def test_what_is_no_list_of_facts_is_an_error(rows):
    assert decode_facts(msgspec.msgpack.encode(rows)).is_error()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_nothing(data):
    decode_facts(data)


def test_a_part_of_a_message_is_no_message():
    whole = encode_facts(FACTS)
    for end in range(0, len(whole), 7):
        assert decode_facts(whole[:end]).is_error()
