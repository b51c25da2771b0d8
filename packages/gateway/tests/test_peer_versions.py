"""Requests that go through other gateways are never handled by an older configuration again."""

import pytest
from cardamomloft.core.messages import ConfigurationPush, NoticeDigest
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord, PlanRead
from cardamomloft.feed.factcodec import decode_facts, encode_facts
from cardamomloft.gateway.peerproxy.header import CONFIGURATION_HEADER
from cardamomloft.gateway.peerproxy.versions import EXCHANGE_INTERVAL, PeerVersions
from cardamomloft_standins import gateway as kit
from twisted.internet.task import Clock

from .test_peer_proxy import Asked, Run, reason_of

MS = kit.MS
COMPLETE = {"cardamomloft_outcome": "complete"}


def _served(configuration: int):
    return kit.answer(200, b"whole", cardamomloft_configuration=str(configuration), **COMPLETE)


def _refused():
    headers = {"cardamomloft_outcome": "refused", "cardamomloft_reason": "entry-not-ready"}
    return kit.answer(503, b"{}", cardamomloft_configuration="3", **headers)


def test_request_after_one_that_a_newer_configuration_handled_states_that_number():
    """Guards against orders that go back to the service of an older configuration."""
    run = Run(_served(7), _served(7))
    run.send()
    run.send()
    assert [run.header(at).configuration for at in (0, 1)] == [3, 7]
    assert len(run.asked) == 1


def test_refusal_of_a_gateway_with_an_older_configuration_raises_no_number():
    run = Run(_served(7), _refused(), _served(7))
    run.send()
    run.send()
    assert [run.header(at).configuration for at in (0, 1, 2)] == [3, 7, 7]


def test_caller_does_not_get_the_number_of_the_configuration():
    outcome = Run(_served(7)).send()
    assert CONFIGURATION_HEADER not in dict(outcome.answer.headers)
    assert outcome.hops[0].fields()["configuration"] == 7


@pytest.mark.parametrize("value", ["", "x", "-1", "9" * 30])
def test_number_that_is_missing_or_malformed_counts_as_unknown(value):
    run = Run(kit.answer(200, b"whole", cardamomloft_configuration=value, **COMPLETE), _served(3))
    assert run.send().answer.body == b"whole"
    run.send()
    assert run.header(1).configuration == 3


class Messages:
    """Records the messages of a gateway to one that is recorded."""

    def __init__(self, asked: Asked) -> None:
        self.sent = []
        gateway = asked.run.gateway
        gateway.entries.add(EntryRecord("e-0", "10.0.0.8:80", "a", "east", "10.0.0.8:90"), 0 * MS)
        gateway.feed.port.peers = self

    def send(self, address, message, to=None) -> bool:
        self.sent.append((address, message))
        return True

    def close(self) -> None:
        pass


def test_newer_configuration_is_sent_to_the_origin_before_its_request_reaches_an_endpoint():
    asked = Asked(kit.plan(4))
    messages = Messages(asked)
    sent_before = []
    send = asked.run.client.send

    def record(req):
        sent_before.extend(messages.sent)
        return send(req)

    asked.run.client.send = record
    answer = asked.ask(configuration=3)
    assert answer.status == 200
    assert dict(answer.headers)[CONFIGURATION_HEADER] == "4"
    ((address, push),) = sent_before
    assert address == "10.0.0.8:90"
    assert isinstance(push, ConfigurationPush)
    (fact,) = decode_facts(push.fact).ok
    assert fact.plan.number == 4


def test_gateway_with_an_older_configuration_refuses_and_asks_the_origin_for_its_own():
    asked = Asked(kit.plan(4))
    messages = Messages(asked)
    answer = asked.ask(configuration=5)
    assert reason_of(answer) == "entry-not-ready"
    ((address, digest),) = messages.sent
    assert address == "10.0.0.8:90"
    assert isinstance(digest, NoticeDigest)
    assert digest.asking
    assert digest.configuration == 4
    push = ConfigurationPush(encode_facts([PlanRead(kit.plan(5))]))
    asked.run.gateway.feed.receive(Incarnation("e-0", "1"), push)
    assert asked.ask(configuration=5).status == 200


def test_messages_to_one_gateway_are_limited_while_each_request_shows_the_difference():
    time, pushed, asked = kit.Time(Clock()), [], []
    versions = PeerVersions(time.clock, lambda: 4, pushed.append, asked.append)
    for _ in range(50):
        versions.on_request("e-1", 3)
        versions.on_request("e-2", 5)
        versions.on_request("e-3", 4)
    assert (pushed, asked) == (["e-1"], ["e-2"])
    time.advance(EXCHANGE_INTERVAL)
    versions.on_request("e-1", 3)
    assert pushed == ["e-1", "e-1"]


def test_push_to_a_gateway_that_is_not_recorded_is_not_sent():
    asked = Asked(kit.plan(4))
    messages = Messages(asked)
    asked.run.gateway.feed.gossip.push_plan("unknown")
    asked.run.gateway.feed.gossip.ask_one("unknown")
    assert messages.sent == []
