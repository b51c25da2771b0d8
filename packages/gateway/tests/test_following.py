"""Following the store: a list, then changes, through outages and a lost history."""

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
    def __init__(self, control: kit.FakeControl) -> None:
        self.control = control
        self.time = kit.Time(Clock())
        self.listings, self.changes, self.returned, self.faults = [], [], [], []
        self.follower = Follower(
            self.time.reactor,
            self.time.clock,
            control,
            kit.rng(),
            PollTiming(INTERVAL, WAIT),
            self.listings.append,
            self.changes.append,
            lambda *told: self.returned.append(told),
        )
        self.follower.start(self.faults.append)


def _listed() -> kit.FakeControl:
    control = kit.FakeControl(Ok(kit.listing(index=10)))
    control.next_changes = kit.no_changes()
    return control


def test_it_lists_once_and_then_asks_for_changes_at_the_interval():
    run = Run(_listed())
    run.time.advance(5 * INTERVAL)
    assert run.control.calls[0] == "read"
    assert set(run.control.calls[1:]) == {"changes 10"}
    assert 4 <= len(run.control.calls) - 1 <= 6
    assert len(run.listings) == 1


def test_changes_are_passed_on_and_the_index_moves():
    run = Run(_listed())
    fact = UpstreamWithdrawn("i-1")
    run.control.next_changes = Ok(Changes((fact,), kit.position(14)))
    run.time.advance(2 * INTERVAL)
    assert run.changes[0] == (fact,)
    assert run.control.calls[-1] == "changes 14"


def test_a_lost_history_leads_to_a_new_list_soon():
    run = Run(_listed())
    run.control.next_changes = Ok(Changes((), kit.position(10), lost=True))
    run.time.advance(INTERVAL + 100 * MS)
    run.control.next_changes = kit.no_changes()
    run.time.advance(600 * MS)
    assert run.control.calls.count("read") == 2
    assert len(run.listings) == 2


def test_failed_questions_are_repeated_within_half_a_second():
    run = Run(kit.FakeControl())
    run.time.advance(5000 * MS)
    assert 9 <= len(run.control.calls) <= 11


def test_one_failure_is_no_outage():
    run = Run(_listed())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(INTERVAL + 100 * MS)
    assert not run.follower.store_unavailable
    run.control.next_changes = kit.no_changes()
    run.time.advance(INTERVAL)
    assert run.returned == []


def test_the_return_after_an_outage_is_told_once():
    run = Run(_listed())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(5 * INTERVAL)
    assert run.follower.store_unavailable
    run.control.next_changes = kit.no_changes()
    run.time.advance(3 * INTERVAL)
    assert run.returned == [()]


def test_the_store_may_wait_for_a_change_and_is_asked_again_at_once_when_there_was_none():
    run = Run(_listed())
    run.control.pending = Deferred()
    run.time.advance(3000 * MS)
    assert run.control.calls == ["read", "changes 10"]
    assert run.control.waits == [WAIT]
    answered, run.control.pending = run.control.pending, Deferred()
    answered.callback(kit.no_changes())
    run.time.advance(10 * MS)
    assert run.control.calls == ["read", "changes 10", "changes 10"]


def test_after_a_change_the_next_question_waits_for_the_interval():
    run = Run(_listed())
    run.control.pending = Deferred()
    run.time.advance(1500 * MS)
    answered, run.control.pending = run.control.pending, Deferred()
    answered.callback(Ok(Changes((UpstreamWithdrawn("i-1"),), kit.position(11))))
    assert run.changes == [(UpstreamWithdrawn("i-1"),)]
    run.time.advance(0.8 * INTERVAL)
    assert run.control.calls == ["read", "changes 10"]
    run.time.advance(0.4 * INTERVAL)
    assert run.control.calls[2:] == ["changes 11"]


def test_after_a_failure_the_store_is_not_to_wait():
    run = Run(_listed())
    run.time.advance(INTERVAL)
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(3 * INTERVAL)
    asked = len(run.control.waits)
    run.control.next_changes = kit.no_changes()
    run.time.advance(2 * INTERVAL)
    assert run.control.waits[asked - 1] == run.control.waits[asked] == 0 * MS
    assert run.control.waits[-1] == WAIT


def test_a_question_that_waits_is_asked_anew_when_another_call_has_failed():
    run = Run(_listed())
    run.control.pending = Deferred(lambda asked: asked.callback(kit.STORE_UNAVAILABLE))
    run.time.advance(1500 * MS)
    run.control.pending = None
    run.follower.poll_now()
    run.time.advance(600 * MS)
    assert run.control.waits[:2] == [WAIT, 0 * MS]
    assert not run.follower.store_unavailable and run.faults == []


def test_a_doubt_changes_nothing_while_the_store_fails_anyway_or_nothing_is_asked():
    run = Run(_listed())
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(3 * INTERVAL)
    asked = len(run.control.calls)
    run.follower.poll_now()
    assert len(run.control.calls) == asked and run.follower.store_unavailable


def test_an_end_is_final():
    run = Run(_listed())
    run.follower.stop()
    assert run.time.reactor.getDelayedCalls() == []
    asked = len(run.control.calls)
    run.time.advance(5 * INTERVAL)
    assert len(run.control.calls) == asked
    assert run.faults == []


def test_an_end_while_the_store_waits_is_final_too():
    run = Run(_listed())
    run.control.pending = Deferred(lambda asked: asked.callback(kit.STORE_UNAVAILABLE))
    run.time.advance(1500 * MS)
    run.follower.stop()
    assert run.time.reactor.getDelayedCalls() == []
    asked = len(run.control.calls)
    run.time.advance(5 * INTERVAL)
    assert len(run.control.calls) == asked
    assert run.faults == []
