from datetime import timedelta
from itertools import count

import pytest
from cardamomloft_standins.keyvalue import KeyValues, PutOutcome
from twisted.internet.task import Clock

TTL = timedelta(seconds=10)
WAIT = timedelta(seconds=30)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def values(clock):
    ids = count(1)
    return KeyValues(clock, new_id=lambda: f"session-{next(ids)}")


def test_of_two_swaps_from_one_version_only_the_first_is_written(values):
    assert values.put("k", b"1", cas=0) is PutOutcome.WRITTEN
    assert values.put("k", b"2", cas=0) is PutOutcome.CONFLICT
    version = values.get("k").modify_index
    assert values.put("k", b"a", cas=version) is PutOutcome.WRITTEN
    assert values.put("k", b"b", cas=version) is PutOutcome.CONFLICT
    assert values.get("k").value == b"a"


def test_a_paused_holder_loses_its_lease_without_notice(values, clock):
    paused = values.create_session(TTL)
    assert values.put("lease", b"paused", acquire=paused) is PutOutcome.WRITTEN
    clock.advance(9)
    assert values.renew_session(paused)
    clock.advance(9)
    other = values.create_session(TTL)
    assert values.put("lease", b"other", acquire=other) is PutOutcome.CONFLICT
    clock.advance(1)

    assert values.get("lease") is None
    assert values.put("lease", b"other", acquire=other) is PutOutcome.WRITTEN
    assert values.put("lease", b"paused", acquire=paused) is PutOutcome.NO_SESSION
    assert not values.renew_session(paused)
    assert values.get("lease").value == b"other"


@pytest.mark.parametrize("by_key", [True, False])
def test_a_lease_ends_on_demand_by_key_or_by_session(values, by_key):
    session = values.create_session(TTL)
    values.put("lease", b"me", acquire=session)
    assert values.expire("lease" if by_key else session)
    assert values.get("lease") is None
    assert not values.expire("lease")


def test_a_watch_fires_on_change_on_deletion_and_when_the_wait_is_over(values, clock):
    session = values.create_session(TTL)
    absent = values.watch("k", values.index("k"), WAIT)
    other = values.watch("other", values.index("other"), WAIT)
    values.put("k", b"1", acquire=session)
    assert absent.called
    held = values.watch("k", values.index("k"), WAIT)
    clock.advance(10)
    assert held.called
    assert not other.called
    clock.advance(20)
    assert other.called


def test_the_index_of_a_key_never_decreases_across_its_deletion(values):
    session = values.create_session(TTL)
    seen = [values.index("k")]
    values.put("k", b"1", acquire=session)
    seen.append(values.index("k"))
    values.destroy_session(session)
    seen.append(values.index("k"))
    values.put("k", b"2", cas=0)
    seen.append(values.index("k"))
    assert seen == sorted(set(seen))


def test_a_lagging_watch_fires_late_even_if_it_is_repeated(values, clock):
    values.lag = timedelta(seconds=5)
    before = values.index("k")
    first = values.watch("k", before, WAIT)
    values.put("k", b"1")
    clock.advance(3)
    repeated = values.watch("k", before, WAIT)
    clock.advance(1.9)
    assert not first.called
    assert not repeated.called
    clock.advance(0.2)
    assert first.called
    assert repeated.called
    assert clock.getDelayedCalls() == []
