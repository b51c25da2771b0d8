"""Which source a gateway queries, and how old its data may get without the store."""

from datetime import timedelta

from cardamomloft.feed.relays import relays_of
from cardamomloft.feed.sources import SourceChoice, SourceSelector
from cardamomloft_standins.gateway import entry_records as entries

DRAIN = timedelta(seconds=4)
KNOWN = entries(20)
RELAYS = relays_of("east", KNOWN)
SUBSCRIBER = next(row for row in KNOWN if row not in RELAYS)
START = timedelta(seconds=100)


def seconds(value):
    return timedelta(seconds=value)


def subscriber():
    sources = SourceSelector(SUBSCRIBER, DRAIN)
    sources.record_complete(START)
    return sources


def test_relay_queries_the_store_and_its_data_is_at_most_half_a_drain_time_old():
    sources = SourceSelector(RELAYS[0], DRAIN)
    assert sources.next_source(KNOWN, START).wait == timedelta(0)
    sources.record_complete(START)
    query = sources.next_source(KNOWN, START)
    assert query.relay is None and query.wait == DRAIN / 2
    after_a_pause = sources.next_source(KNOWN, START + query.pause)
    assert after_a_pause.wait + query.pause == DRAIN / 2


def test_region_without_relays_queries_the_store_with_defaults():
    assert subscriber().next_source(entries(5), START) == SourceChoice(None)


def test_gateway_without_a_peer_address_queries_the_store():
    sources = SourceSelector(SUBSCRIBER._replace(peers=""), DRAIN)
    sources.record_complete(START)
    assert sources.next_source(KNOWN, START) == SourceChoice(None)


def test_gateway_without_a_record_queries_the_store():
    others = [row for row in KNOWN if row != SUBSCRIBER]
    assert subscriber().next_source(others, START) == SourceChoice(None)


def test_subscriber_queries_a_relay():
    query = subscriber().next_source(KNOWN, START)
    assert query.relay in RELAYS
    assert query.wait == DRAIN * 0.3


def test_first_query_goes_to_the_store():
    query = SourceSelector(SUBSCRIBER, DRAIN).next_source(KNOWN, START)
    assert query.relay is None and query.wait == timedelta(0)


def test_query_to_a_relay_ends_before_the_data_is_too_old():
    sources = subscriber()
    query = sources.next_source(KNOWN, START + seconds(2.5))
    assert query.relay in RELAYS
    assert timedelta(0) < query.wait <= seconds(0.3)
    later = START + seconds(2.5) + query.wait + sources.relay_timeout
    assert later - START <= DRAIN * 0.8


def test_old_data_is_refreshed_from_the_store_immediately():
    query = subscriber().next_source(KNOWN, START + DRAIN * 0.7)
    assert query.relay is None and query.wait == timedelta(0)


def test_older_data_of_a_relay_does_not_reduce_the_age():
    sources = subscriber()
    sources.record_complete(START - seconds(1))
    assert sources.age(START) == timedelta(0)


def test_unresponsive_relay_is_skipped_for_two_drain_times():
    sources = subscriber()
    first = sources.next_source(KNOWN, START).relay
    sources.record_relay_timeout(first.name, START)
    second = sources.next_source(KNOWN, START).relay
    assert {first, second} == set(RELAYS)
    sources.record_relay_timeout(second.name, START)
    assert sources.next_source(KNOWN, START) == SourceChoice(None)
    later = START + DRAIN * 2
    sources.record_complete(later)
    assert sources.next_source(KNOWN, later).relay == first


def test_gateway_that_was_suspended_queries_the_store_first():
    assert subscriber().next_source(KNOWN, START + seconds(60)).relay is None


STORE_IMMEDIATELY = SourceChoice(None, timedelta(0))


def sources_after_failures(times, at=START, own=SUBSCRIBER):
    sources = SourceSelector(own, DRAIN)
    sources.record_complete(START)
    for _ in range(times):
        sources.record_store_failure(at)
    return sources


def test_store_is_queried_again_after_one_failure():
    assert sources_after_failures(1).next_source_during_outage(KNOWN, START) == STORE_IMMEDIATELY


def test_subscriber_queries_a_relay_while_the_store_is_unavailable():
    query = sources_after_failures(2).next_source_during_outage(KNOWN, START)
    assert query.relay in RELAYS
    assert query.wait == DRAIN * 0.2


def test_relay_queries_an_unavailable_store_continuously():
    sources = sources_after_failures(9, own=RELAYS[0])
    assert sources.next_source_during_outage(KNOWN, START) == STORE_IMMEDIATELY


def test_gateway_without_a_usable_relay_queries_an_unavailable_store():
    sources = sources_after_failures(9)
    assert sources.next_source_during_outage(entries(5), START) == STORE_IMMEDIATELY
    for relay in RELAYS:
        sources.record_relay_timeout(relay.name, START)
    assert sources.next_source_during_outage(KNOWN, START) == STORE_IMMEDIATELY


def test_recovered_store_is_queried_in_time_when_only_the_relays_cannot_reach_it():
    sources = sources_after_failures(2)
    query = sources.next_source_during_outage(KNOWN, START + DRAIN * 0.65)
    assert query.relay in RELAYS
    latest_store_query = DRAIN * 0.65 + query.wait + sources.relay_timeout
    assert latest_store_query <= DRAIN * 0.8
    assert sources.next_source_during_outage(KNOWN, START + DRAIN * 0.7) == STORE_IMMEDIATELY


def test_relay_data_older_than_the_failure_does_not_show_a_recovery():
    sources = sources_after_failures(2)
    assert not sources.shows_recovery(START)
    assert sources.shows_recovery(START + seconds(0.1))


def test_answer_of_the_store_resets_the_failure_count():
    sources = sources_after_failures(5)
    sources.record_store_answer()
    sources.record_store_failure(START)
    assert sources.next_source_during_outage(KNOWN, START) == STORE_IMMEDIATELY
