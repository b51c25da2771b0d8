"""Polling the VM list: the interval, notices of changes, and malformed notices."""

from datetime import timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.membership import VmRow
from cardamomloft.core.messages import VmNotice
from cardamomloft.entry.vms import VmWatch
from cardamomloft.runtime.metrics import Metrics
from expression import Ok
from twisted.internet.defer import succeed


class Bench:
    def __init__(self):
        self.clock, self.metrics = ManualClock(), Metrics()
        self.listed, self.fetches, self.seen, self.sent = {}, 0, [], []
        self.watch = VmWatch(self, self.clock, self.metrics, self.seen.append, self.sent.extend)

    def fetch(self):
        self.fetches += 1
        rows = [VmRow(name, state, self.clock.utcnow()) for name, state in self.listed.items()]
        return succeed(Ok(rows))


def test_an_entry_of_a_large_fleet_polls_seldom_and_a_steward_at_each_call():
    bench = Bench()
    for _ in range(30):
        bench.watch.poll(1500, at_each_call=False)
        bench.clock.advance(timedelta(seconds=2))
    assert bench.fetches == 1
    steward = Bench()
    for _ in range(30):
        steward.watch.poll(1500, at_each_call=True)
    assert steward.fetches == 30


def test_a_steward_sends_notices_of_changed_rows_only_ordered_by_seat():
    bench = Bench()
    bench.listed = {"e1": "live", "e2": "live"}
    bench.watch.poll(2, at_each_call=True, notify=["e3", "e4"])
    bench.watch.poll(2, at_each_call=True, notify=["e3", "e4"])
    assert bench.sent == []
    bench.listed["e2"] = "gone"
    bench.watch.poll(2, at_each_call=True, notify=["e3", "e4"])
    assert [(seat, notice.name, notice.state) for seat, notice in bench.sent] == [
        ("e3", "e2", "gone"),
        ("e4", "e2", "gone"),
    ]


def test_a_notice_is_applied_and_a_malformed_one_counted():
    bench = Bench()
    bench.watch.on_notice(VmNotice("e2", "gone", "2026-01-01T00:00:00+00:00"))
    assert [row.name for row in bench.seen[-1]] == ["e2"]
    bench.watch.on_notice(VmNotice("e2", "gone", "yesterday"))
    assert len(bench.seen) == 1 and bench.metrics.counters["messages-ignored"] == 1
