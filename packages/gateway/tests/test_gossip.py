"""Notices reach every gateway in time: few and hundreds, whoever is cut off or lost meanwhile."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.messages import (
    ChangesRequest,
    ConfigurationPush,
    NoticeDigest,
    NoticePush,
)
from cardamomloft.core.model import Incarnation
from cardamomloft.core.notices import CrashUnderRequest, UpstreamLeaving
from cardamomloft.core.registrations import ZoneDrained
from cardamomloft.feed.factcodec import encode_facts
from cardamomloft.gateway.gossip import CATCH_UP_TIME, COMPARE_INTERVAL, FANOUT, Gossip
from cardamomloft.runtime.metrics import Metrics
from cardamomloft_standins import gateway as kit
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock, LoopingCall

MS = kit.MS

LINK = 35 * MS
"""How long a message takes, as between regions."""

IN_TIME = 3000 * MS
"""How soon every gateway is to know a notice."""

CRASH = CrashUnderRequest("f", "i-1", 0, 1)


class Member:
    """One gateway's gossip."""

    def __init__(self, run: "Fleet", name: str) -> None:
        self.run, self.me = run, Incarnation(name, "1")
        self.heard = []
        self.known = True
        self.sent = 0
        self.metrics = Metrics()
        self.gossip = Gossip(
            run.time.reactor,
            run.time.clock,
            random.Random(f"{run.seed} {name}"),
            self._others,
            self._send,
            self.heard.append,
            self.metrics,
            name,
        )
        self.plans = []
        self.gossip.plan = lambda: self.plans[-1] if self.plans else None
        self.gossip.on_plan = lambda plan: self.plans.append(plan)
        timer = LoopingCall(self.gossip.compare)
        timer.clock = run.time.reactor
        timer.start(COMPARE_INTERVAL.total_seconds(), now=False)

    def knows(self, notice) -> bool:
        return notice in {dated.notice for dated in self.heard}

    def _others(self):
        return {
            other.me.seat: other.me.seat
            for other in self.run.members
            if other is not self and other.known
        }

    def _send(self, address, message):
        self.sent += 1
        self.run.bring(self, address, message)
        return True


class Fleet:
    """Gateways and the network between them, on one clock."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.time = kit.Time(Clock())
        self.seed = seed
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.cut: set[str] = set()
        self.members: list[Member] = []
        for number in range(count):
            self.add(f"e-{number}")

    def add(self, name: str) -> Member:
        member = Member(self, name)
        self.members.append(member)
        return member

    def bring(self, sender: Member, address: str, message) -> None:
        receiver = next(member for member in self.members if member.me.seat == address)
        if self.rng.random() < self.loss or {sender.me.seat, address} & self.cut:
            return
        delay = LINK.total_seconds()
        self.time.reactor.callLater(delay, receiver.gossip.receive, sender.me, message)

    def run(self, duration: timedelta) -> None:
        self.time.advance(duration, 10 * MS)

    def ignorant(self, notice) -> list[str]:
        return [member.me.seat for member in self.members if not member.knows(notice)]


@pytest.mark.parametrize("count", [2, 3, 10, 63, 195])
@pytest.mark.parametrize("seed", range(3))
def test_a_notice_reaches_everybody_in_time(count, seed):
    fleet = Fleet(count, seed)
    fleet.run(CATCH_UP_TIME)
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(IN_TIME)
    assert fleet.ignorant(CRASH) == []


@pytest.mark.parametrize("count", [10, 195])
def test_it_reaches_everybody_in_time_though_messages_are_lost(count):
    fleet = Fleet(count)
    fleet.loss = 0.2
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(IN_TIME)
    assert fleet.ignorant(CRASH) == []


def test_it_reaches_the_others_in_time_though_a_third_is_cut_off_and_then_those_too():
    fleet = Fleet(60)
    fleet.cut = {f"e-{number}" for number in range(20, 40)}
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(IN_TIME)
    assert set(fleet.ignorant(CRASH)) == fleet.cut
    fleet.cut = set()
    fleet.run(IN_TIME)
    assert fleet.ignorant(CRASH) == []


def test_a_gateway_that_starts_later_hears_it_once_others_know_of_it():
    fleet = Fleet(10)
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(CATCH_UP_TIME)
    late = fleet.add("late")
    late.known = False
    fleet.run(2000 * MS)
    late.known = True
    fleet.run(IN_TIME)
    assert late.knows(CRASH)


def test_a_gateway_that_starts_by_an_older_copy_takes_the_newest_configuration_that_others_have():
    fleet = Fleet(10)
    for number, member in enumerate(fleet.members):
        member.plans = [kit.plan(7 if number % 2 else 6)]
    fleet.run(2 * CATCH_UP_TIME)
    late = fleet.add("late")
    late.known, late.plans = False, [kit.plan(5)]
    late.gossip.catch_up()
    fleet.run(3 * LINK)
    assert late.plans[-1].number > 5
    fleet.run(IN_TIME)
    assert max(plan.number for plan in late.plans) == 7


def test_only_a_gateway_that_has_just_started_is_told_of_configurations():
    fleet = Fleet(10)
    fleet.run(CATCH_UP_TIME)
    fleet.members[0].plans = [kit.plan(7)]
    fleet.members[1].gossip.publish([CRASH])
    fleet.run(IN_TIME)
    assert [member.plans for member in fleet.members[1:]] == [[]] * 9


def test_without_notices_nothing_is_sent_after_the_start():
    fleet = Fleet(10)
    fleet.run(CATCH_UP_TIME)
    before = [member.sent for member in fleet.members]
    fleet.run(60_000 * MS)
    assert [member.sent for member in fleet.members] == before


def test_what_is_noticed_at_once_goes_in_one_message_and_costs_little():
    fleet = Fleet(195)
    fleet.run(CATCH_UP_TIME)
    before = sum(member.sent for member in fleet.members)
    notices = [CRASH._replace(upstream=f"i-{number}") for number in range(20)]
    fleet.members[0].gossip.publish(notices)
    fleet.run(400 * MS)
    sent = sum(member.sent for member in fleet.members) - before
    assert sent <= len(fleet.members) * (FANOUT + 1)


def test_an_excuse_overtakes_what_it_excuses():
    fleet = Fleet(10)
    fleet.members[0].gossip.publish([CRASH])
    fleet.members[1].gossip.publish([CRASH._replace(excused=True)])
    fleet.run(IN_TIME)
    for member in fleet.members:
        assert member.heard[-1].notice.excused
        assert len(member.heard) <= 2


def test_messages_that_cannot_be_read_or_are_of_another_kind_change_nothing():
    fleet = Fleet(2)
    member, stranger = fleet.members[0], Incarnation("stranger", "1")
    for message in (
        NoticePush(b"\xc1"),
        NoticeDigest((), False, False, 0, ""),
        NoticeDigest((1,) * 1000, True, False, 0, ""),
        ConfigurationPush(b"x"),
        ConfigurationPush(encode_facts([ZoneDrained("a")])),
        ChangesRequest(1, 0, 1, 1),
    ):
        member.gossip.receive(stranger, message)
    assert member.heard == []
    assert member.metrics.counters["notices_unreadable"] == 3
    assert member.metrics.counters["peer_messages_of_another_kind"] == 1


@settings(max_examples=25, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["tell", "excuse", "leave", "cut", "heal", "loss", "join"]),
            st.integers(0, 11),
            st.integers(0, 30),
        ),
        max_size=15,
    ),
    st.integers(0, 99),
)
def test_under_any_series_of_faults_all_hold_the_same_in_the_end(steps, seed):
    fleet = Fleet(12, seed)
    for kind, at, pause in steps:
        member = fleet.members[at]
        match kind:
            case "tell":
                member.gossip.publish([CRASH._replace(upstream=f"i-{at}")])
            case "excuse":
                member.gossip.publish([CRASH._replace(upstream=f"i-{at}", excused=True)])
            case "leave":
                member.gossip.publish([UpstreamLeaving(f"i-{at}", 0)])
            case "cut":
                fleet.cut.add(member.me.seat)
            case "heal":
                fleet.cut, fleet.loss = set(), 0.0
            case "loss":
                fleet.loss = 0.3
            case "join":
                fleet.add(f"late-{len(fleet.members)}")
        fleet.run(pause * 50 * MS)
    fleet.cut, fleet.loss = set(), 0.0
    fleet.run(2 * IN_TIME)
    now = fleet.time.clock.monotonic()
    assert len({member.gossip._board.checksums(now) for member in fleet.members}) == 1
