"""Whom a gateway asks, and how long it may go on without the store's own word."""

from datetime import timedelta

from cardamomloft.feed.relays import relays_of
from cardamomloft.feed.sources import SourceChoice, SourceSelector
from cardamomloft_standins.gateway import entry_records as entries

DRAIN = timedelta(seconds=4)
KNOWN = entries(20)
RELAYS = relays_of("east", KNOWN)
LISTENER = next(row for row in KNOWN if row not in RELAYS)
START = timedelta(seconds=100)


def seconds(value):
    return timedelta(seconds=value)


def listener():
    sources = SourceSelector(LISTENER, DRAIN)
    sources.record_complete(START)
    return sources


def test_a_relay_asks_the_store_and_its_knowledge_gets_half_of_the_drain_time_old():
    sources = SourceSelector(RELAYS[0], DRAIN)
    assert sources.next_source(KNOWN, START).wait == timedelta(0)
    sources.record_complete(START)
    question = sources.next_source(KNOWN, START)
    assert question.relay is None and question.wait == DRAIN / 2
    after_a_pause = sources.next_source(KNOWN, START + question.pause)
    assert after_a_pause.wait + question.pause == DRAIN / 2


def test_without_relays_it_is_as_if_there_were_none():
    assert listener().next(entries(5), START) == SourceChoice(None)


def test_a_gateway_without_an_address_for_peers_asks_the_store():
    sources = SourceSelector(LISTENER._replace(peers=""), DRAIN)
    sources.record_complete(START)
    assert sources.next_source(KNOWN, START) == SourceChoice(None)


def test_a_gateway_that_the_others_do_not_know_asks_the_store():
    others = [row for row in KNOWN if row != LISTENER]
    assert listener().next(others, START) == SourceChoice(None)


def test_a_listener_asks_a_relay():
    question = listener().next(KNOWN, START)
    assert question.relay in RELAYS
    assert question.wait == DRAIN * 0.3


def test_nobody_is_asked_before_the_store_was():
    question = SourceSelector(LISTENER, DRAIN).next(KNOWN, START)
    assert question.relay is None and question.wait == timedelta(0)


def test_a_question_to_a_relay_ends_before_knowledge_is_too_old():
    sources = listener()
    question = sources.next_source(KNOWN, START + seconds(2.5))
    assert question.relay in RELAYS
    assert timedelta(0) < question.wait <= seconds(0.3)
    later = START + seconds(2.5) + question.wait + sources.relay_timeout
    assert later - START <= DRAIN * 0.8


def test_old_knowledge_is_renewed_by_the_store_at_once():
    question = listener().next(KNOWN, START + DRAIN * 0.7)
    assert question.relay is None and question.wait == timedelta(0)


def test_what_a_relay_knew_earlier_makes_nothing_younger():
    sources = listener()
    sources.record_complete(START - seconds(1))
    assert sources.age(START) == timedelta(0)


def test_a_silent_relay_is_left_alone_for_a_while_and_the_other_is_asked():
    sources = listener()
    first = sources.next_source(KNOWN, START).relay
    sources.record_relay_timeout(first.name, START)
    second = sources.next_source(KNOWN, START).relay
    assert {first, second} == set(RELAYS)
    sources.record_relay_timeout(second.name, START)
    assert sources.next_source(KNOWN, START) == SourceChoice(None)
    later = START + DRAIN * 2
    sources.record_complete(later)
    assert sources.next_source(KNOWN, later).relay == first


def test_a_gateway_that_stood_still_asks_the_store_first():
    assert listener().next(KNOWN, START + seconds(60)).relay is None


AT_ONCE = SourceChoice(None, timedelta(0))


def failing(times, at=START, own=LISTENER):
    sources = SourceSelector(own, DRAIN)
    sources.record_complete(START)
    for _ in range(times):
        sources.record_store_failure(at)
    return sources


def test_after_one_failure_the_store_is_asked_once_more():
    assert failing(1).next_while_failing(KNOWN, START) == AT_ONCE


def test_a_store_that_is_away_is_left_to_the_relays():
    question = failing(2).next_while_failing(KNOWN, START)
    assert question.relay in RELAYS
    assert question.wait == DRAIN * 0.2


def test_relays_ask_for_a_store_that_is_away_all_the_time():
    sources = failing(9, own=RELAYS[0])
    assert sources.next_source_during_outage(KNOWN, START) == AT_ONCE


def test_where_no_relay_is_to_be_had_each_asks_for_the_store():
    sources = failing(9)
    assert sources.next_source_during_outage(entries(5), START) == AT_ONCE
    for relay in RELAYS:
        sources.record_relay_timeout(relay.name, START)
    assert sources.next_source_during_outage(KNOWN, START) == AT_ONCE


def test_relays_that_are_cut_off_alone_hide_the_stores_return_for_less_than_the_drain_time():
    sources = failing(2)
    question = sources.next_source_during_outage(KNOWN, START + DRAIN * 0.65)
    assert question.relay in RELAYS
    asked_at_the_latest = DRAIN * 0.65 + question.wait + sources.relay_timeout
    assert asked_at_the_latest <= DRAIN * 0.8
    assert sources.next_source_during_outage(KNOWN, START + DRAIN * 0.7) == AT_ONCE


def test_what_a_relay_heard_before_the_failure_does_not_show_that_the_store_is_back():
    sources = failing(2)
    assert not sources.shows_recovery(START)
    assert sources.shows_recovery(START + seconds(0.1))


def test_an_answer_of_the_store_ends_the_row_of_failures():
    sources = failing(5)
    sources.record_store_answer()
    sources.record_store_failure(START)
    assert sources.next_source_during_outage(KNOWN, START) == AT_ONCE
