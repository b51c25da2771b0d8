"""The usual times of connections, and the present delay of all."""

from datetime import timedelta

from cardamomloft.core.connectivity.connecttimes import RECENT_TIME, ConnectTimes

MS = timedelta(milliseconds=1)
NOW = timedelta(seconds=100)
ONE, OTHER = "10.0.0.1:80", "10.0.0.2:80"


def times(*delays_ms) -> ConnectTimes:
    """Return times of a link on which connections usually take 1 ms."""
    known = ConnectTimes()
    known.record(ONE, MS, NOW)
    for delay_ms in delays_ms:
        known.record(ONE, (1 + delay_ms) * MS, NOW)
    return known


def test_usual_time_follows_short_times_at_once_and_long_ones_slowly():
    known = times(*[200] * 3)
    assert MS < known.usual(ONE) < 100 * MS
    known.record(ONE, MS, NOW)
    assert known.usual(ONE) == MS
    assert known.usual(OTHER) is None


def test_delay_of_several_connections_is_that_of_the_entry():
    assert times().delay == 0 * MS
    assert times(100, 100, 100).delay >= 75 * MS


def test_delay_of_a_single_connection_among_others_does_not_count():
    assert times(0, 0, 1000, 0).delay == 0 * MS


def test_delay_is_forgotten_after_a_while_without_connections():
    known = times(100, 100)
    known.expire(NOW + RECENT_TIME - MS)
    assert known.delay
    known.expire(NOW + RECENT_TIME)
    assert not known.delay


def test_endpoints_that_are_gone_are_forgotten():
    known = times()
    known.retain({OTHER})
    assert known.usual(ONE) is None
