"""Notices reach all gateways in time despite lost messages, disconnections and late starts."""

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

MESSAGE_DELAY = 35 * MS
"""Delay of a message, as between regions."""

DELIVERY_TIME = 3000 * MS
"""Time within which a notice must reach every gateway."""

CRASH = CrashUnderRequest("f", "i-1", 0, 1)


class Member:
    """The gossip of one gateway, with the notices that it has received."""

    def __init__(self, run: "Fleet", name: str) -> None:
        self.run, self.me = run, Incarnation(name, "1")
        self.received = []
        self.listed = True
        self.sent = 0
        self.metrics = Metrics()
        self.gossip = Gossip(
            run.time.reactor,
            run.time.clock,
            random.Random(f"{run.seed} {name}"),
            self._others,
            self._send,
            self.received.append,
            self.metrics,
            name,
        )
        self.plans = []
        self.gossip.plan = lambda: self.plans[-1] if self.plans else None
        self.gossip.on_plan = lambda plan, sender: self.plans.append(plan)
        timer = LoopingCall(self.gossip.compare)
        timer.clock = run.time.reactor
        timer.start(COMPARE_INTERVAL.total_seconds(), now=False)

    def has_received(self, notice) -> bool:
        return notice in {dated.notice for dated in self.received}

    def _others(self):
        return {
            other.me.seat: other.me.seat
            for other in self.run.members
            if other is not self and other.listed
        }

    def _send(self, address, message):
        self.sent += 1
        self.run.deliver(self, address, message)
        return True


class Fleet:
    """Gateways and a simulated network between them, on one clock."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.time = kit.Time(Clock())
        self.seed = seed
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.disconnected: set[str] = set()
        self.members: list[Member] = []
        for number in range(count):
            self.add(f"e-{number}")

    def add(self, name: str) -> Member:
        member = Member(self, name)
        self.members.append(member)
        return member

    def deliver(self, sender: Member, address: str, message) -> None:
        receiver = next(member for member in self.members if member.me.seat == address)
        if self.rng.random() < self.loss or {sender.me.seat, address} & self.disconnected:
            return
        delay = MESSAGE_DELAY.total_seconds()
        self.time.reactor.callLater(delay, receiver.gossip.receive, sender.me, message)

    def run(self, duration: timedelta) -> None:
        self.time.advance(duration, 10 * MS)

    def members_without(self, notice) -> list[str]:
        return [member.me.seat for member in self.members if not member.has_received(notice)]


@pytest.mark.parametrize("count", [2, 3, 10, 63, 195])
@pytest.mark.parametrize("seed", range(3))
def test_notice_reaches_all_gateways_in_time(count, seed):
    fleet = Fleet(count, seed)
    fleet.run(CATCH_UP_TIME)
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(DELIVERY_TIME)
    assert fleet.members_without(CRASH) == []


@pytest.mark.parametrize("count", [10, 195])
def test_notice_reaches_all_gateways_in_time_despite_lost_messages(count):
    fleet = Fleet(count)
    fleet.loss = 0.2
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(DELIVERY_TIME)
    assert fleet.members_without(CRASH) == []


def test_notice_reaches_disconnected_gateways_once_they_are_reconnected():
    fleet = Fleet(60)
    fleet.disconnected = {f"e-{number}" for number in range(20, 40)}
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(DELIVERY_TIME)
    assert set(fleet.members_without(CRASH)) == fleet.disconnected
    fleet.disconnected = set()
    fleet.run(DELIVERY_TIME)
    assert fleet.members_without(CRASH) == []


def test_gateway_that_starts_later_receives_earlier_notices():
    fleet = Fleet(10)
    fleet.members[0].gossip.publish([CRASH])
    fleet.run(CATCH_UP_TIME)
    late = fleet.add("late")
    late.listed = False
    fleet.run(2000 * MS)
    late.listed = True
    fleet.run(DELIVERY_TIME)
    assert late.has_received(CRASH)


def test_starting_gateway_takes_the_newest_configuration_of_its_peers():
    fleet = Fleet(10)
    for number, member in enumerate(fleet.members):
        member.plans = [kit.plan(7 if number % 2 else 6)]
    fleet.run(2 * CATCH_UP_TIME)
    late = fleet.add("late")
    late.listed, late.plans = False, [kit.plan(5)]
    late.gossip.catch_up()
    fleet.run(3 * MESSAGE_DELAY)
    assert late.plans[-1].number > 5
    fleet.run(DELIVERY_TIME)
    assert max(plan.number for plan in late.plans) == 7


def test_configurations_are_sent_to_starting_gateways_only():
    fleet = Fleet(10)
    fleet.run(CATCH_UP_TIME)
    fleet.members[0].plans = [kit.plan(7)]
    fleet.members[1].gossip.publish([CRASH])
    fleet.run(DELIVERY_TIME)
    assert [member.plans for member in fleet.members[1:]] == [[]] * 9


def test_no_messages_are_sent_without_notices():
    fleet = Fleet(10)
    fleet.run(CATCH_UP_TIME)
    before = [member.sent for member in fleet.members]
    fleet.run(60_000 * MS)
    assert [member.sent for member in fleet.members] == before


def test_simultaneous_notices_are_sent_in_one_message():
    fleet = Fleet(195)
    fleet.run(CATCH_UP_TIME)
    before = sum(member.sent for member in fleet.members)
    notices = [CRASH._replace(upstream=f"i-{number}") for number in range(20)]
    fleet.members[0].gossip.publish(notices)
    fleet.run(400 * MS)
    sent = sum(member.sent for member in fleet.members) - before
    assert sent <= len(fleet.members) * (FANOUT + 1)


def test_excuse_prevails_over_the_crash_notice():
    fleet = Fleet(10)
    fleet.members[0].gossip.publish([CRASH])
    fleet.members[1].gossip.publish([CRASH._replace(excused=True)])
    fleet.run(DELIVERY_TIME)
    for member in fleet.members:
        assert member.received[-1].notice.excused
        assert len(member.received) <= 2


def test_unreadable_and_unexpected_messages_are_ignored():
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
    assert member.received == []
    assert member.metrics.counters["notices_unreadable"] == 3
    assert member.metrics.counters["peer_messages_of_another_kind"] == 1


@settings(max_examples=25, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["crash", "excuse", "leave", "cut", "heal", "loss", "join"]),
            st.integers(0, 11),
            st.integers(0, 30),
        ),
        max_size=15,
    ),
    st.integers(0, 99),
)
def test_gateways_converge_after_any_sequence_of_faults(steps, seed):
    fleet = Fleet(12, seed)
    for kind, at, pause in steps:
        member = fleet.members[at]
        match kind:
            case "crash":
                member.gossip.publish([CRASH._replace(upstream=f"i-{at}")])
            case "excuse":
                member.gossip.publish([CRASH._replace(upstream=f"i-{at}", excused=True)])
            case "leave":
                member.gossip.publish([UpstreamLeaving(f"i-{at}", 0)])
            case "cut":
                fleet.disconnected.add(member.me.seat)
            case "heal":
                fleet.disconnected, fleet.loss = set(), 0.0
            case "loss":
                fleet.loss = 0.3
            case "join":
                fleet.add(f"late-{len(fleet.members)}")
        fleet.run(pause * 50 * MS)
    fleet.disconnected, fleet.loss = set(), 0.0
    fleet.run(2 * DELIVERY_TIME)
    now = fleet.time.clock.monotonic()
    assert len({member.gossip._notice_table.checksums(now) for member in fleet.members}) == 1
