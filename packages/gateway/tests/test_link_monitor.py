"""The monitor of a gateway's links, with exchanges and probes set by the test."""

from cardamomloft.core.connectivity.reachability import (
    PROBE_INTERVAL,
    PROBE_TIMEOUT,
    ProbeTarget,
)
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.observers import ConnectionFailure, LinkObservers
from cardamomloft_standins import gateway as kit
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

MS = kit.MS
ADDRESSES = [f"10.0.0.{number}:80" for number in range(1, 5)]


class Client:
    """Counts how often the monitor aborts what was not sent, and suspects what was."""

    def __init__(self) -> None:
        self.idle = set()
        self.aborted = 0
        self.suspected = 0
        self.observers = LinkObservers()

    def has_idle(self, address):
        return address in self.idle

    def abort_unsent(self, detail):
        self.aborted += 1
        return 1

    def suspect(self, evidence):
        self.suspected += 1
        return 1


class Run:
    """A monitor whose probes have the outcome `reachable`; None leaves them pending."""

    def __init__(self) -> None:
        self.time = kit.Time(Clock())
        self.client = Client()
        self.reachable = True
        self.probed = []
        self.pending = []
        self.changes = []
        self.targets = [ProbeTarget(address, "abab"[at]) for at, address in enumerate(ADDRESSES)]
        self.monitor = LinkMonitor(
            self.time.reactor,
            self.time.clock,
            kit.rng(),
            self.client,
            lambda: self.targets,
            lambda: self.changes.append(self.monitor.down),
            Metrics(),
            self.probe,
        )

    def probe(self, reactor, address, timeout):
        self.probed.append(address)
        if self.reachable is None:
            self.pending.append(Deferred())
            return self.pending[-1]
        return succeed(self.reachable)

    def fail(self, *addresses) -> None:
        for address in addresses:
            self.monitor.failed(address, ConnectionFailure.REFUSED)

    def lose_links(self) -> None:
        self.reachable = False
        self.fail(*ADDRESSES[:2])
        self.time.advance(100 * MS)
        assert self.monitor.down


def test_silent_exchanges_take_the_links_down_and_are_suspected():
    run = Run()
    run.reachable = False
    for address in ADDRESSES:
        run.monitor.sent(address)
    run.time.advance(1000 * MS)
    assert run.changes == [True]
    assert run.client.suspected and run.client.aborted
    assert not run.monitor.may_send(ADDRESSES[0])


def test_slow_endpoints_that_accept_connections_do_not_take_the_links_down():
    run = Run()
    for address in ADDRESSES:
        run.monitor.sent(address)
    run.time.advance(10_000 * MS)
    assert run.probed
    assert not run.changes
    assert not run.client.aborted and not run.client.suspected


def test_links_come_back_by_themselves():
    run = Run()
    run.lose_links()
    run.time.advance(5000 * MS)
    run.reachable = True
    run.time.advance(PROBE_INTERVAL + 20 * MS)
    assert run.changes == [True, False]
    assert run.monitor.may_send(ADDRESSES[0])
    count = len(run.probed)
    run.time.advance(5000 * MS)
    assert len(run.probed) == count


def test_verdict_on_failures_is_known_after_one_probe():
    run = Run()
    run.reachable = False
    run.fail(ADDRESSES[0])
    results = []
    run.monitor.verdict().addCallback(lambda _: results.append(run.monitor.down))
    assert results == [True]
    run.monitor.verdict().addCallback(lambda _: results.append(run.monitor.down))
    assert results == [True, True]


def test_failures_of_a_dead_endpoint_cause_few_probes():
    run = Run()
    for _ in range(100):
        run.fail(ADDRESSES[0])
        run.monitor.verdict()
        run.time.advance(10 * MS)
    assert len(run.probed) <= 4 * (1000 * MS // PROBE_INTERVAL + 1)
    assert not run.changes


def test_process_that_was_suspended_reads_its_sockets_before_it_probes():
    run = Run()
    run.reachable = False
    run.monitor.sent(ADDRESSES[0])
    run.time.clock.advance(3000 * MS)
    run.time.reactor.advance(3.0)
    assert not run.probed
    run.monitor.answered(ADDRESSES[0])
    run.monitor.ended(ADDRESSES[0])
    run.time.advance(1000 * MS)
    assert not run.probed


def test_open_connections_are_used_while_only_new_ones_are_refused():
    run = Run()
    run.lose_links()
    run.client.idle.add(ADDRESSES[0])
    assert not run.monitor.may_send(ADDRESSES[0])
    run.monitor.sent(ADDRESSES[0])
    run.monitor.answered(ADDRESSES[0])
    run.monitor.ended(ADDRESSES[0])
    assert run.monitor.may_send(ADDRESSES[0])
    assert not run.monitor.may_send(ADDRESSES[1])
    aborted, suspected = run.client.aborted, run.client.suspected
    run.time.advance(250 * MS)
    assert run.client.aborted > aborted
    assert run.client.suspected == suspected


def test_stopped_monitor_probes_no_more_and_keeps_nobody_waiting():
    run = Run()
    run.reachable = None
    run.fail(*ADDRESSES[:2])
    released = []
    run.monitor.verdict().addCallback(released.append)
    assert not released
    run.monitor.stop()
    assert released
    count = len(run.probed)
    for pending in run.pending:
        pending.callback(False)
    run.time.advance(PROBE_TIMEOUT * 5)
    assert len(run.probed) == count
    assert not run.changes


def confirmation(run) -> list[bool]:
    results = []
    run.monitor.confirm().addCallback(results.append)
    return results


def test_failure_is_confirmed_by_the_next_answer_of_another_endpoint():
    run = Run()
    run.fail(ADDRESSES[0])
    results = confirmation(run)
    run.time.advance(10 * MS)
    run.monitor.answered(ADDRESSES[1])
    assert not results
    run.time.advance(15 * MS)
    run.monitor.answered(ADDRESSES[2])
    assert results == [True]
    assert not run.probed


def test_first_of_the_connections_that_are_reset_together_is_no_crash():
    run = Run()
    run.reachable = False
    run.fail(ADDRESSES[0])
    first = confirmation(run)
    run.fail(*ADDRESSES[1:])
    second = confirmation(run)
    run.time.advance(200 * MS)
    assert run.monitor.down
    assert first == second == [False]
    assert confirmation(run) == [False]


def test_failure_without_further_traffic_is_confirmed_by_a_probe():
    run = Run()
    run.fail(ADDRESSES[0])
    results = confirmation(run)
    run.time.advance(400 * MS)
    assert results == [True]


def test_failures_are_not_confirmed_by_a_probe_that_began_before():
    run = Run()
    run.reachable = None
    run.fail(*ADDRESSES[:2])
    run.time.advance(60 * MS)
    run.fail(ADDRESSES[2])
    results = confirmation(run)
    for pending in run.pending:
        pending.callback(True)
    run.reachable = False
    run.time.advance(10 * MS)
    assert not results
    run.time.advance(400 * MS)
    assert results == [False]
    assert run.monitor.down


def test_failure_of_the_last_endpoint_is_confirmed_and_the_monitor_comes_to_rest():
    run = Run()
    run.targets = []
    run.fail(ADDRESSES[0])
    results = confirmation(run)
    run.time.advance(1000 * MS)
    assert results == [True]
    assert len(run.time.reactor.getDelayedCalls()) <= 1


def wait_for_probes(run) -> None:
    """Let answers be due until probes have started that have no result yet."""
    run.reachable = None
    run.monitor.sent(ADDRESSES[0])
    run.time.advance(700 * MS)
    assert run.pending


def test_links_come_back_with_a_connection_that_is_established_late():
    run = Run()
    wait_for_probes(run)
    late = run.pending[0]
    run.time.advance(PROBE_TIMEOUT + 30 * MS)
    assert run.monitor.down
    late.callback(True)
    assert run.changes == [True, False]


def test_links_with_answers_are_not_down_while_connections_are_slow():
    run = Run()
    wait_for_probes(run)
    for _ in range(20):
        run.time.advance(50 * MS)
        run.monitor.answered(ADDRESSES[1])
    assert not run.changes
    for pending in run.pending:
        pending.callback(True)
    assert not run.changes


def test_links_that_establish_no_connection_are_down_although_open_ones_work():
    run = Run()
    wait_for_probes(run)
    run.time.advance(50 * MS)
    run.monitor.answered(ADDRESSES[1])
    run.time.advance(PROBE_TIMEOUT)
    assert not run.changes
    for pending in run.pending:
        pending.callback(False)
    assert run.monitor.down
