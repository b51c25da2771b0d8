"""The monitor of single endpoints, with exchanges and probes set by the test."""

from datetime import timedelta

import pytest
from cardamomloft.core.connectivity.outages import EndpointOutages
from cardamomloft.core.registrations import Registration
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.endpointmonitor import EndpointMonitor
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.observers import ConnectionFailure, LinkObservers
from cardamomloft_standins import gateway as kit
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

MS = kit.MS
ONE, OTHER = "10.0.0.1:80", "10.0.0.2:80"


class Client:
    """Records which connections are closed, and which exchanges are aborted or suspected."""

    def __init__(self) -> None:
        self.observers = LinkObservers()
        self.closed = []
        self.aborted = []
        self.suspected = []

    def close_idle(self, address):
        self.closed.append(address)

    def abort_unsent(self, detail, addresses):
        self.aborted += addresses
        return 1

    def suspect(self, evidence, addresses):
        self.suspected += addresses
        return 1


class Run:
    """A monitor whose probes have the outcome `reachable`; None leaves them pending."""

    def __init__(self) -> None:
        self.time = kit.Time(Clock())
        self.client = Client()
        self.outages = EndpointOutages()
        self.table = UpstreamTable({"a": "east"})
        for number, address in enumerate((ONE, OTHER)):
            row = Registration(f"i-{number}", "s", address, "a", 4, False, timedelta(0))
            self.table.register(row, self.time.clock.monotonic())
        self.reachable: bool | None = False
        self.silent = set()
        self.links_down = False
        self.probed = []
        self.monitor = EndpointMonitor(
            self.time.reactor,
            self.time.clock,
            self.client,
            self.outages,
            self.table,
            lambda: self.links_down,
            Metrics(),
            self.probe,
        )

    def probe(self, reactor, address, timeout):
        self.probed.append(address)
        pending = self.reachable is None or address in self.silent
        return Deferred() if pending else succeed(self.reachable)


def test_endpoint_that_refuses_a_connection_is_lost_until_a_probe_reaches_it():
    run = Run()
    run.monitor.failed(ONE, ConnectionFailure.REFUSED)
    assert run.outages.lost() == [ONE]
    run.time.advance(1000 * MS)
    assert set(run.probed) == {ONE}
    run.reachable = True
    run.time.advance(1000 * MS)
    assert run.outages.lost() == []


REASONS = [ConnectionFailure.TIMEOUT, ConnectionFailure.SLOW, ConnectionFailure.LOST]


@pytest.mark.parametrize("reason", REASONS)
@pytest.mark.parametrize("reachable", [True, False])
def test_slow_or_lost_connection_is_confirmed_by_a_probe(reason, reachable):
    run = Run()
    run.reachable = reachable
    run.monitor.failed(ONE, reason)
    assert run.probed == [ONE]
    assert run.outages.lost() == ([] if reachable else [ONE])


def silence(reason, *others) -> Run:
    """Return a run in which a connection to ONE has failed, and probes of it have no result."""
    run = Run()
    run.reachable, run.silent = True, {ONE, *others}
    run.monitor.connected(ONE, MS)
    run.monitor.connected(OTHER, MS)
    run.time.advance(10 * MS)
    run.monitor.failed(ONE, reason)
    run.time.advance(250 * MS, 5 * MS)
    return run


@pytest.mark.parametrize("reason", REASONS)
def test_silent_endpoint_is_lost_once_probes_of_another_one_are_faster(reason):
    assert silence(reason).outages.lost() == [ONE]
    assert silence(reason, OTHER).outages.lost() == []


@pytest.mark.parametrize("reason", REASONS)
def test_silent_endpoint_returns_with_the_next_probe(reason):
    run = silence(reason)
    run.silent.clear()
    run.time.advance(1000 * MS)
    assert run.outages.lost() == []


def test_silent_endpoint_is_left_by_idle_connections_and_unanswered_requests():
    run = silence(ConnectionFailure.TIMEOUT)
    assert run.client.closed == run.client.aborted == run.client.suspected == [ONE]
    run = Run()
    run.monitor.failed(ONE, ConnectionFailure.REFUSED)
    assert run.client.closed == run.client.aborted == run.client.suspected == []


def test_answer_that_is_due_leads_to_a_probe():
    run = Run()
    run.monitor.sent(ONE)
    run.monitor.sent(OTHER)
    run.monitor.answered(OTHER)
    run.monitor.ended(OTHER)
    run.time.advance(300 * MS, 5 * MS)
    assert run.probed[0] == ONE
    assert run.outages.lost() == [ONE]


def test_failures_are_not_held_against_endpoints_while_links_are_down():
    run = Run()
    run.links_down = True
    run.monitor.failed(ONE, ConnectionFailure.REFUSED)
    run.monitor.sent(OTHER)
    run.time.advance(1000 * MS, 5 * MS)
    assert not run.probed
    assert run.outages.lost() == []


def test_ejection_ends_when_an_endpoint_returns():
    run = Run()
    upstream = run.table.get("i-0")
    run.monitor.failed(ONE, ConnectionFailure.REFUSED)
    upstream.failures, upstream.ejected_until = 5, timedelta(hours=1)
    run.monitor.connected(ONE, MS)
    assert (upstream.failures, upstream.ejected_until) == (0, timedelta(0))


def test_endpoint_is_probed_once_at_a_time():
    run = Run()
    run.reachable = None
    run.monitor.failed(ONE, ConnectionFailure.LOST)
    run.monitor.failed(ONE, ConnectionFailure.LOST)
    assert run.probed == [ONE]


def test_stopped_monitor_probes_nothing():
    run = Run()
    run.monitor.failed(ONE, ConnectionFailure.REFUSED)
    run.monitor.stop()
    run.time.advance(2000 * MS)
    assert not run.probed
