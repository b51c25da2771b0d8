"""Following the store: a list, then changes, through outages and a lost history."""

from cardamomloft.core.registrations import UpstreamWithdrawn
from cardamomloft.gateway.control import Changes
from cardamomloft.gateway.following import Follower
from cardamomloft_standins import gateway as kit
from expression import Ok
from twisted.internet.task import Clock

MS = kit.MS
INTERVAL = 1000 * MS


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
            INTERVAL,
            self.listings.append,
            self.changes.append,
            self.returned.append,
        )
        self.follower.start(self.faults.append)


def _listed() -> kit.FakeControl:
    control = kit.FakeControl(Ok(kit.listing(index=10)))
    control.next = kit.no_changes()
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
    run.control.next = Ok(Changes((fact,), 14))
    run.time.advance(2 * INTERVAL)
    assert run.changes[0] == (fact,)
    assert run.control.calls[-1] == "changes 14"


def test_a_lost_history_leads_to_a_new_list_soon():
    run = Run(_listed())
    run.control.next = Ok(Changes((), 10, lost=True))
    run.time.advance(INTERVAL + 100 * MS)
    run.control.next = kit.no_changes()
    run.time.advance(600 * MS)
    assert run.control.calls.count("read") == 2
    assert len(run.listings) == 2


def test_failed_questions_are_repeated_within_half_a_second():
    run = Run(kit.FakeControl())
    run.time.advance(5000 * MS)
    assert 9 <= len(run.control.calls) <= 11


def test_one_failure_is_no_outage():
    run = Run(_listed())
    run.control.next = kit.AWAY
    run.time.advance(INTERVAL + 100 * MS)
    assert not run.follower.away
    run.control.next = kit.no_changes()
    run.time.advance(INTERVAL)
    assert run.returned == []


def _with_outage(growth_meanwhile: int) -> Run:
    """Play ten questions with 35 changes between two, an outage of 5 s, and the return."""
    run = Run(_listed())
    index = 10
    for _ in range(10):
        index += 35
        run.control.next = kit.no_changes(index)
        run.time.advance(INTERVAL)
    run.control.next = kit.AWAY
    run.time.advance(5 * INTERVAL)
    assert run.follower.away
    run.control.next = kit.no_changes(index + growth_meanwhile)
    run.time.advance(INTERVAL)
    return run


def test_after_an_outage_for_all_what_lapsed_may_come_back():
    assert _with_outage(growth_meanwhile=10).returned == [False]


def test_after_being_cut_off_alone_nothing_has_lapsed_that_lives():
    assert _with_outage(growth_meanwhile=170).returned == [True]


def test_an_end_is_final():
    run = Run(_listed())
    run.follower.stop()
    asked = len(run.control.calls)
    run.time.advance(5 * INTERVAL)
    assert len(run.control.calls) == asked
    assert run.faults == []
