"""The follower lists the store and polls it for changes, through outages and lost histories."""

from cardamomloft.core.registrations import UpstreamWithdrawn
from cardamomloft.gateway.control import Changes
from cardamomloft.gateway.following import Follower, PollTiming
from cardamomloft_standins import gateway as kit
from expression import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

MS = kit.MS
INTERVAL = 1000 * MS
WAIT = 2000 * MS


class Run:
    """A follower of a fake store, with the listings, changes and recoveries it has reported."""

    def __init__(self, control: kit.FakeControl) -> None:
        self.control = control
        self.time = kit.Time(Clock())
        self.listings, self.changes, self.recoveries, self.faults = [], [], [], []
        self.follower = Follower(
            self.time.reactor,
            self.time.clock,
            control,
            kit.rng(),
            PollTiming(INTERVAL, WAIT),
            self.listings.append,
            self.changes.append,
            lambda *args: self.recoveries.append(args),
        )
        self.follower.start(self.faults.append)


def _listed_control() -> kit.FakeControl:
    control = kit.FakeControl(Ok(kit.listing(index=10)))
    control.next_changes = kit.no_changes()
    return control


def test_store_is_listed_once_and_then_polled_at_the_interval():
    run = Run(_listed_control())
    run.time.advance(5 * INTERVAL)
    assert run.control.calls[0] == "read"
    assert set(run.control.calls[1:]) == {"changes 10"}
    assert 4 <= len(run.control.calls) - 1 <= 6
    assert len(run.listings) == 1


def test_changes_are_passed_on_and_advance_the_index():
    run = Run(_listed_control())
    fact = UpstreamWithdrawn("i-1")
    run.control.next_changes = Ok(Changes((fact,), kit.position(14)))
    run.time.advance(2 * INTERVAL)
    assert run.changes[0] == (fact,)
    assert run.control.calls[-1] == "changes 14"


def test_lost_history_leads_to_a_new_listing():
    run = Run(_listed_control())
    run.control.next_changes = Ok(Changes((), kit.position(10), lost=True))
    run.time.advance(INTERVAL + 100 * MS)
    run.control.next_changes = kit.no_changes()
    run.time.advance(600 * MS)
    assert run.control.calls.count("read") == 2
    assert len(run.listings) == 2


def test_failed_calls_are_retried_within_half_a_second():
    run = Run(kit.FakeControl())
    run.time.advance(5000 * MS)
    assert 9 <= len(run.control.calls) <= 11


def test_single_failure_is_not_an_outage():
    run = Run(_listed_control())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(INTERVAL + 100 * MS)
    assert not run.follower.store_unavailable
    run.control.next_changes = kit.no_changes()
    run.time.advance(INTERVAL)
    assert run.recoveries == []


def test_end_of_an_outage_is_reported_once():
    run = Run(_listed_control())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(5 * INTERVAL)
    assert run.follower.store_unavailable
    run.control.next_changes = kit.no_changes()
    run.time.advance(3 * INTERVAL)
    assert run.recoveries == [()]


def test_long_poll_without_changes_is_repeated_at_once():
    run = Run(_listed_control())
    run.control.pending = Deferred()
    run.time.advance(3000 * MS)
    assert run.control.calls == ["read", "changes 10"]
    assert run.control.waits == [WAIT]
    poll, run.control.pending = run.control.pending, Deferred()
    poll.callback(kit.no_changes())
    run.time.advance(10 * MS)
    assert run.control.calls == ["read", "changes 10", "changes 10"]


def test_poll_after_a_change_waits_for_the_interval():
    run = Run(_listed_control())
    run.control.pending = Deferred()
    run.time.advance(1500 * MS)
    poll, run.control.pending = run.control.pending, Deferred()
    poll.callback(Ok(Changes((UpstreamWithdrawn("i-1"),), kit.position(11))))
    assert run.changes == [(UpstreamWithdrawn("i-1"),)]
    run.time.advance(0.8 * INTERVAL)
    assert run.control.calls == ["read", "changes 10"]
    run.time.advance(0.4 * INTERVAL)
    assert run.control.calls[2:] == ["changes 11"]


def test_first_poll_after_a_failure_does_not_wait():
    run = Run(_listed_control())
    run.time.advance(INTERVAL)
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(3 * INTERVAL)
    waits_before = len(run.control.waits)
    run.control.next_changes = kit.no_changes()
    run.time.advance(2 * INTERVAL)
    assert run.control.waits[waits_before - 1] == run.control.waits[waits_before] == 0 * MS
    assert run.control.waits[-1] == WAIT


def test_pending_poll_is_replaced_when_another_call_has_failed():
    run = Run(_listed_control())
    run.control.pending = Deferred(lambda deferred: deferred.callback(kit.STORE_UNAVAILABLE))
    run.time.advance(1500 * MS)
    run.control.pending = None
    run.follower.poll_now()
    run.time.advance(600 * MS)
    assert run.control.waits[:2] == [WAIT, 0 * MS]
    assert not run.follower.store_unavailable and run.faults == []


def test_extra_poll_is_ignored_during_an_outage():
    run = Run(_listed_control())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(3 * INTERVAL)
    calls_before = len(run.control.calls)
    run.follower.poll_now()
    assert len(run.control.calls) == calls_before and run.follower.store_unavailable


def test_nothing_is_requested_after_a_stop():
    run = Run(_listed_control())
    run.follower.stop()
    assert run.time.reactor.getDelayedCalls() == []
    calls_before = len(run.control.calls)
    run.time.advance(5 * INTERVAL)
    assert len(run.control.calls) == calls_before
    assert run.faults == []


def test_nothing_is_requested_after_a_stop_during_a_pending_poll():
    run = Run(_listed_control())
    run.control.pending = Deferred(lambda deferred: deferred.callback(kit.STORE_UNAVAILABLE))
    run.time.advance(1500 * MS)
    run.follower.stop()
    assert run.time.reactor.getDelayedCalls() == []
    calls_before = len(run.control.calls)
    run.time.advance(5 * INTERVAL)
    assert len(run.control.calls) == calls_before
    assert run.faults == []


def test_exceptions_in_a_row_are_retried_at_growing_intervals_and_one_soon():
    run = Run(_listed_control())

    def fail(listing):
        raise ZeroDivisionError

    run.control.next_changes = Ok(Changes((), kit.position(10), lost=True))
    run.follower._on_listing = fail
    run.time.advance(60_000 * MS)
    assert 6 <= len(run.faults) <= 14
    run.follower._on_listing = run.listings.append
    run.time.advance(9000 * MS)
    count = len(run.listings)
    assert count >= 2
    run.follower._on_listing = fail
    run.time.advance(2000 * MS)
    run.follower._on_listing = run.listings.append
    run.time.advance(2500 * MS)
    assert len(run.listings) > count
