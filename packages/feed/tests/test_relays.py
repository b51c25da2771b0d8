"""Selection of relays: same result at every gateway, two zones, none in small regions."""

import random

from cardamomloft.feed.relays import (
    MIN_GATEWAYS_FOR_RELAYS,
    RELAYS_PER_REGION,
    by_proximity,
    relays_of,
)
from cardamomloft_standins.gateway import entry_records as entries


def test_order_of_the_records_does_not_change_the_relays():
    records = entries(20) + entries(20, "west")
    shuffled = random.Random(1).sample(records, len(records))
    assert relays_of("east", records) == relays_of("east", shuffled)
    assert {row.region for row in relays_of("west", records)} == {"west"}


def test_relays_are_in_different_zones():
    relays = relays_of("east", entries(30))
    assert len(relays) == RELAYS_PER_REGION
    assert len({row.zone for row in relays}) == RELAYS_PER_REGION


def test_single_zone_region_also_has_two_relays():
    assert len(relays_of("east", entries(30, zones="a"))) == RELAYS_PER_REGION


def test_small_region_has_no_relays():
    assert relays_of("east", entries(MIN_GATEWAYS_FOR_RELAYS - 1)) == []
    assert len(relays_of("east", entries(MIN_GATEWAYS_FOR_RELAYS))) == RELAYS_PER_REGION


def test_gateways_without_a_peer_address_are_not_relays():
    without_address = [row._replace(peers="") for row in entries(40)]
    assert relays_of("east", without_address) == []


def test_loss_of_one_relay_keeps_the_other():
    records = entries(30)
    first, second = relays_of("east", records)
    remaining = [row for row in records if row != second]
    assert relays_of("east", remaining)[0] == first


def test_relay_of_the_own_zone_is_first_and_other_gateways_are_spread():
    records = entries(60)
    relays = relays_of("east", records)
    for relay in relays:
        own = next(row for row in records if row.zone == relay.zone)
        assert by_proximity(own, relays)[0] == relay
    in_other_zones = [row for row in records if row.zone not in {relay.zone for relay in relays}]
    firsts = [by_proximity(row, relays)[0] for row in in_other_zones]
    assert 4 <= firsts.count(relays[0]) <= len(firsts) - 4
