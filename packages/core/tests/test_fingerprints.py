"""A request that comes again is recognised, and another is not taken for it."""

from cardamomloft.core.fingerprints import fingerprint
from hypothesis import given
from hypothesis import strategies as st

TEXTS = st.text(st.characters(min_codepoint=1, max_codepoint=255), max_size=4)
REQUESTS = st.tuples(
    TEXTS,
    TEXTS,
    TEXTS,
    TEXTS,
    st.one_of(st.binary(max_size=4), st.integers(0, 99), st.sampled_from([b"#7", b"=7", 7, b"7"])),
)


@given(REQUESTS, REQUESTS)
def test_only_the_same_request_of_the_same_caller_has_the_same_one(one, other):
    assert (fingerprint(*one) == fingerprint(*other)) == (one == other)


def test_it_is_the_same_in_every_process():
    found = fingerprint("10.0.0.9", "GET", "a.example", "/menus/7?a=1", b"")
    assert found == "e6c75dd639824012f56a5264a1cb51f3"
