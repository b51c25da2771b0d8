"""Fingerprints match for repeated requests of a caller, and differ for all others."""

import pytest
from cardamomloft.core.fingerprints import CALLER_HEADERS, fingerprint
from hypothesis import given
from hypothesis import strategies as st

TEXTS = st.text(st.characters(min_codepoint=1, max_codepoint=255), max_size=4)
BODIES = st.one_of(
    st.binary(max_size=4), st.integers(0, 99), st.sampled_from([b"#7", b"=7", 7, b"7"])
)
HEADERS = st.tuples(*(st.tuples(st.just(name), TEXTS) for name in ("host", *CALLER_HEADERS)))
REQUESTS = st.tuples(TEXTS, TEXTS, HEADERS, BODIES)


@given(REQUESTS, REQUESTS)
def test_fingerprints_match_only_for_the_same_request_of_the_same_caller(one, other):
    assert (fingerprint(*one) == fingerprint(*other)) == (one == other)


def test_a_fingerprint_is_the_same_in_every_process():
    found = fingerprint("GET", "/menus/7?a=1", [("host", "a.example")], b"")
    assert found == "7db0ae7ffd143d0fce97a25e059c6f79"


@pytest.mark.parametrize("name", ["x-request-id", "x-deadline-ms", "x-placement-key", "accept"])
def test_headers_that_differ_between_attempts_are_ignored(name):
    headers = [("host", "a.example")]
    assert fingerprint("GET", "/", headers, b"") == fingerprint(
        "GET", "/", [*headers, (name, "1")], b""
    )
