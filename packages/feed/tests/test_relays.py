"""Who relays: everyone ranks alike, two zones, and none where gateways are few."""

import random

from cardamomloft.feed.relays import LEAST_ENTRIES, RELAYS, by_nearness, relays_of
from cardamomloft_standins.gateway import entry_records as entries


def test_whatever_the_order_of_the_records_the_relays_are_the_same():
    known = entries(20) + entries(20, "west")
    shuffled = random.Random(1).sample(known, len(known))
    assert relays_of("east", known) == relays_of("east", shuffled)
    assert {row.region for row in relays_of("west", known)} == {"west"}


def test_two_relays_in_two_zones():
    relays = relays_of("east", entries(30))
    assert len(relays) == RELAYS
    assert len({row.zone for row in relays}) == RELAYS


def test_in_a_single_zone_there_are_two_all_the_same():
    assert len(relays_of("east", entries(30, zones="a"))) == RELAYS


def test_few_gateways_ask_for_themselves():
    assert relays_of("east", entries(LEAST_ENTRIES - 1)) == []
    assert len(relays_of("east", entries(LEAST_ENTRIES))) == RELAYS


def test_gateways_that_take_no_messages_don_t_count():
    silent = [row._replace(peers="") for row in entries(40)]
    assert relays_of("east", silent) == []


def test_when_a_relay_goes_only_its_place_is_filled_anew():
    known = entries(30)
    first, second = relays_of("east", known)
    left = [row for row in known if row != second]
    assert relays_of("east", left)[0] == first


def test_the_relay_of_the_own_zone_is_asked_first_and_others_are_spread():
    known = entries(60)
    relays = relays_of("east", known)
    for relay in relays:
        own = next(row for row in known if row.zone == relay.zone)
        assert by_nearness(own, relays)[0] == relay
    far = [row for row in known if row.zone not in {relay.zone for relay in relays}]
    firsts = [by_nearness(row, relays)[0] for row in far]
    assert 4 <= firsts.count(relays[0]) <= len(firsts) - 4
