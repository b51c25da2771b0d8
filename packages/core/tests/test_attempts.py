"""Connections that are being established, compared with later ones to other endpoints."""

from datetime import timedelta

from cardamomloft.core.connectivity.attempts import ConnectionAttempts

MS = timedelta(milliseconds=1)
START = timedelta(seconds=100)
ONE, OTHER = "10.0.0.1:80", "10.0.0.2:80"


def test_connection_is_overtaken_by_one_to_another_endpoint_that_was_opened_as_late_or_later():
    attempts = ConnectionAttempts()
    attempts.start(ONE, START)
    attempts.record_established(OTHER, START - MS, START + 10 * MS)
    attempts.record_established(ONE, START + MS, START + 10 * MS)
    assert not attempts.is_overtaken(ONE, START)
    attempts.record_established(OTHER, START, START + 20 * MS)
    assert attempts.is_overtaken(ONE, START)
    assert attempts.is_overtaken(ONE, START, by=START + 20 * MS)
    assert not attempts.is_overtaken(ONE, START, by=START + 19 * MS)


def test_established_connection_ends_earlier_attempts():
    attempts = ConnectionAttempts()
    attempts.start(ONE, START)
    attempts.start(ONE, START + MS)
    assert attempts.pending(ONE) == [START, START + MS]
    assert attempts.pending(ONE, since=START) == [START + MS]
    attempts.record_established(ONE, START + MS, START + 2 * MS)
    assert attempts.addresses() == []
    attempts.end(ONE, START)


def test_attempts_that_began_together_end_one_by_one():
    attempts = ConnectionAttempts()
    attempts.start(ONE, START)
    attempts.start(ONE, START)
    attempts.end(ONE, START)
    assert attempts.pending(ONE) == [START]
    attempts.end(ONE, START)
    assert attempts.pending(ONE) == []


def test_pending_connection_counts_as_control_only_to_stated_endpoints():
    attempts = ConnectionAttempts()
    attempts.start(ONE, START)
    attempts.start(OTHER, START + MS)
    assert attempts.has_control(ONE, START, [ONE, OTHER])
    assert not attempts.has_control(ONE, START, [ONE])
    assert not attempts.has_control(OTHER, START + MS, [ONE, OTHER])
