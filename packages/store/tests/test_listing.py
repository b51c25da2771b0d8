"""Listing all keys below a prefix."""

import pytest
from cardamomloft.store.exchange import Answer
from cardamomloft.store.keyvalue import HttpStore, ListResult, Record
from cardamomloft_standins.keyvalue import KeyValues
from cardamomloft_standins.store import Store
from expression import Ok
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase
from twisted.web.server import Site


class ListingTest(TestCase):
    timeout = 20

    @inlineCallbacks
    def test_listing_returns_all_keys_below_the_prefix_with_their_versions(self):
        values = KeyValues(Clock())
        for key in ("g/a", "g/b/c", "other"):
            values.put(key, key.encode())
        store = Store(reactor, values=values)
        self.addCleanup(store.close)
        port = reactor.listenTCP(0, Site(store.app.resource()), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        client = HttpStore(reactor, f"127.0.0.1:{port.getHost().port}")
        self.addCleanup(client.close)
        listed = yield client.list("g/")
        versions = {key: values.get(key).modify_index for key in ("g/a", "g/b/c")}
        records = {key: Record(key.encode(), version) for key, version in versions.items()}
        assert listed == Ok(ListResult(records, values.last_index))
        assert (yield client.list("none/")) == Ok(ListResult({}, values.last_index))


@pytest.mark.parametrize(
    "body",
    [b"{", b"7", b'[{"Key": "a"}]', b'[{"Key": "a", "Value": "!", "ModifyIndex": 3}]']
    + [b'[{"Key": "a", "Value": null, "ModifyIndex": 0}]'],
)
def test_malformed_listing_is_a_failure(body):
    store = HttpStore(None, "127.0.0.1:1")
    store._exchange.call = lambda *args, **kwargs: succeed(Ok(Answer(200, 7, body)))
    results = []
    store.list("g/").addCallback(results.append)
    assert results[0].is_error()


@pytest.mark.parametrize("key", [b'"g/\\ud800"', b"7", b"null"])
def test_record_whose_key_is_no_text_does_not_cost_the_others(key):
    store = HttpStore(None, "127.0.0.1:1")
    row = b'{"Key": %b, "Value": null, "ModifyIndex": 3}'
    body = b"[" + row % key + b"," + row % b'"g/a"' + b"]"
    store._exchange.call = lambda *args, **kwargs: succeed(Ok(Answer(200, 7, body)))
    results = []
    store.list("g/").addCallback(results.append)
    assert list(results[0].ok.records) == ["g/a"]
