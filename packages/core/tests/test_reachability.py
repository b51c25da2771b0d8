"""Detection of an entry whose own links to the endpoints are down, for several loads."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.connectivity import reachability
from cardamomloft.core.connectivity.reachability import ProbeTarget, Reachability

MS = timedelta(milliseconds=1)
ADDRESSES = [f"10.0.0.{number}:80" for number in range(1, 7)]
TARGETS = [ProbeTarget(address, "abc"[index % 3]) for index, address in enumerate(ADDRESSES)]


class Play:
    """Answers that come at fixed intervals, each 300 ms after its request was sent."""

    def __init__(self, interval: timedelta) -> None:
        self.links = Reachability()
        self.interval = interval
        self.now = timedelta(0)
        self.probes = 0
        for _ in range(300 * MS // interval + 1):
            self.links.record_sent(self.now)

    def answer(self, duration: timedelta, address: str = "") -> None:
        """Let answers arrive for a time, and requests be sent in their place."""
        end = self.now + duration
        while self.now < end:
            self.now += self.interval
            due = self.links.next_probe()
            if due is not None and due <= self.now:
                self.probe(connected=True)
            self.links.record_answer(address or random.Random(1).choice(ADDRESSES), self.now)
            self.links.record_end()
            self.links.record_sent(self.now)

    def probe(self, *, connected: bool) -> bool:
        self.probes += 1
        self.links.start_probe(self.now)
        if connected:
            self.links.record_connected(ADDRESSES[0], self.now)
        return self.links.end_probe(self.now, connected=connected)

    def time_to_probe(self) -> timedelta:
        due = self.links.next_probe()
        assert due is not None
        return due - self.now


@pytest.mark.parametrize("interval_ms", [5, 17, 50, 100, 300])
def test_silence_is_noticed_in_a_fraction_of_a_second_at_any_load(interval_ms):
    play = Play(interval_ms * MS)
    play.answer(5000 * MS)
    assert not play.probes
    limit = play.time_to_probe() + reachability.PROBE_TIMEOUT
    assert limit <= 900 * MS
    if interval_ms <= 25:
        assert limit <= 450 * MS


def test_nothing_is_probed_without_requests():
    links = Reachability()
    assert links.next_probe() is None
    links.record_sent(0 * MS)
    links.record_answer(ADDRESSES[0], 10 * MS)
    links.record_end()
    assert links.next_probe() is None


def test_failures_of_two_endpoints_are_probed_at_once_and_a_sign_of_another_ends_the_suspicion():
    links = Reachability()
    for address in ADDRESSES[:2]:
        links.record_failure(address, 1000 * MS)
    assert links.next_probe() == 1000 * MS + reachability.SEVERAL_FAILED_TIME
    links.record_connected(ADDRESSES[2], 1010 * MS)
    assert links.next_probe() is None
    assert not links.failed_count


def test_endpoints_that_fail_while_others_answer_do_not_take_the_links_down():
    play = Play(17 * MS)
    play.answer(1000 * MS)
    for address in ADDRESSES[1:]:
        play.links.record_failure(address, play.now)
    play.answer(200 * MS, ADDRESSES[0])
    assert not play.links.down
    assert not play.probes


def test_links_are_down_once_no_probed_endpoint_accepts_a_connection_and_come_back_with_one():
    play = Play(17 * MS)
    play.answer(1000 * MS)
    play.now += 200 * MS
    assert play.probe(connected=False)
    assert play.links.down
    assert not play.links.may_send(play.now, connected=True)
    assert not play.probe(connected=False)
    assert play.links.next_probe() == play.now + reachability.PROBE_INTERVAL
    play.now += 200 * MS
    assert play.probe(connected=True)
    assert play.links.may_send(play.now, connected=False)


def test_open_connections_are_used_while_only_new_ones_are_refused():
    play = Play(17 * MS)
    play.answer(1000 * MS)
    play.probe(connected=False)
    play.answer(20 * MS)
    assert play.links.down
    assert play.links.may_send(play.now, connected=True)
    assert not play.links.may_send(play.now, connected=False)
    play.now += 700 * MS
    assert not play.links.may_send(play.now, connected=True)


def test_probes_go_to_the_endpoints_heard_last_in_different_zones():
    links = Reachability()
    for second, address in enumerate([ADDRESSES[0], ADDRESSES[3], ADDRESSES[1]]):
        links.record_connected(address, timedelta(seconds=second))
    chosen = links.targets(TARGETS, random.Random(1))
    assert len(chosen) == reachability.PROBED_ENDPOINTS
    assert [row.address for row in chosen[:2]] == [ADDRESSES[1], ADDRESSES[3]]
    assert {row.zone for row in chosen[:3]} == {"a", "b", "c"}


def test_other_endpoints_are_probed_too_while_links_are_down():
    links = Reachability()
    links.record_connected(ADDRESSES[0], 0 * MS)
    links.end_probe(1 * MS, connected=False)
    rng = random.Random(1)
    probed = {row.address for _ in range(30) for row in links.targets(TARGETS, rng)}
    assert probed == set(ADDRESSES)


def test_endpoints_that_are_gone_are_not_probed():
    links = Reachability()
    links.record_connected("10.9.9.9:80", 0 * MS)
    assert links.targets(TARGETS[:1], random.Random(1)) == TARGETS[:1]
    assert links.targets([], random.Random(1)) == []


def silent_links() -> Reachability:
    """Return links on which an answer is awaited and a probe has started at 1 s."""
    links = Reachability()
    links.record_sent(0 * MS)
    links.start_probe(1000 * MS)
    return links


@pytest.mark.parametrize("definite", [True, False])
def test_links_on_which_nothing_arrives_are_down_after_a_probe(definite):
    links = silent_links()
    links.record_answer(ADDRESSES[0], 1010 * MS)
    assert links.end_probe(1000 * MS, connected=False, definite=definite)


def test_links_with_answers_are_not_down_while_connections_may_still_be_established():
    links = silent_links()
    links.record_answer(ADDRESSES[0], 1100 * MS)
    assert not links.end_probe(1000 * MS, connected=False, definite=False)
    assert links.end_probe(1000 * MS, connected=False, definite=True)


def test_links_are_not_down_after_a_connection_of_another_origin():
    links = silent_links()
    links.record_connected(ADDRESSES[0], 1100 * MS)
    assert not links.end_probe(1000 * MS, connected=False)


def test_probes_are_awaited_longer_while_connections_are_slow():
    links = silent_links()
    assert links.probe_timeout(1000 * MS) == reachability.PROBE_TIMEOUT
    for took in (1, 300, 300):
        links.record_connected(ADDRESSES[0], 1000 * MS, took * MS)
    assert links.probe_timeout(1000 * MS) > 600 * MS
    assert links.probe_timeout(1200 * MS) <= 500 * MS
    assert links.probe_timeout(1800 * MS) == reachability.PROBE_TIMEOUT
    links.record_answer(ADDRESSES[0], 4000 * MS)
    links.record_sent(4000 * MS)
    assert links.probe_timeout(4000 * MS) == reachability.PROBE_TIMEOUT
