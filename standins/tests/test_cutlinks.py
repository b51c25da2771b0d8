from cardamomloft_standins.cutlinks import Cut, CuttableLinks, write_links
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

CUT, OTHER = "127.0.0.1:81", "127.0.0.1:82"


class FakeReactor(Clock):
    """Establishes every connection at once."""

    def connectTCP(self, host, port, factory, timeout, bindAddress):  # noqa: N802, N803
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(StringTransport())
        return protocol


def test_links_to_addresses_that_are_not_listed_work(tmp_path):
    path = tmp_path / "links"
    write_links(path, Cut.HANG, [CUT])
    links = CuttableLinks(FakeReactor(), path)
    assert links.cut_of(CUT) is Cut.HANG
    assert links.cut_of(OTHER) is Cut.NONE


def test_only_open_connections_to_listed_addresses_are_cut(tmp_path):
    path, reactor = tmp_path / "links", FakeReactor()
    write_links(path, Cut.NONE, [CUT, OTHER])
    links = CuttableLinks(reactor, path)
    cut, other = [
        links.connect("127.0.0.1", port, Factory.forProtocol(Protocol)) for port in (81, 82)
    ]
    write_links(path, Cut.HANG, [CUT])
    reactor.advance(1.0)
    cut.write(b"request")
    other.write(b"request")
    assert cut.transport.value() == b""
    assert other.transport.value() == b"request"


def test_connections_that_are_opened_while_others_are_cut_can_be_cut_later(tmp_path):
    path, reactor = tmp_path / "links", FakeReactor()
    write_links(path, Cut.NONE, [CUT, OTHER])
    links = CuttableLinks(reactor, path)
    write_links(path, Cut.HANG, [CUT])
    reactor.advance(1.0)
    other = links.connect("127.0.0.1", 82, Factory.forProtocol(Protocol))
    write_links(path, Cut.HANG, [CUT, OTHER])
    reactor.advance(1.0)
    other.write(b"request")
    assert other.transport.value() == b""
