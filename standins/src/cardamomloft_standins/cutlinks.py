"""Gateway process whose links to upstream endpoints can be cut.

``python -m cardamomloft_standins.cutlinks LINKS [--source IP] ARGUMENTS`` runs a gateway with the
ARGUMENTS. The file LINKS states which addresses are cut and how; it is read again whenever it
changes. The source is the local address of connections on these links.
"""

import argparse
import enum
import json
import os
import pathlib
import socket
import sys
import threading
import typing as t

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IAddress, IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from zope.interface import implementer

CHECK_INTERVAL_S = 0.01
"""Interval at which the file is checked for changes, in seconds."""

_HOST = "127.0.0.1"


class Cut(enum.StrEnum):
    """How links are cut.

    `Cut.HANG`: nothing passes, and connections are not established. `Cut.RESET`: connections are
    reset, and new ones refused. `Cut.REFUSE`: open connections work, and new ones are refused.
    `Cut.STALL`: open connections work, and new ones are not established.
    """

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"
    STALL = "stall"


Links = dict[str, Cut]
"""The states of the links to addresses; others always work.

Connections are cut only if their address was listed, in any state, before they were opened.
"""


def write_links(
    path: pathlib.Path, cut: Cut, addresses: t.Iterable[str], known: t.Iterable[str] = ()
) -> None:
    """Change the links to `addresses` of the process that reads `path`; others work.

    Connections to `known` can be cut later.
    """
    write_each(path, dict.fromkeys(known, Cut.NONE) | dict.fromkeys(addresses, cut))


def write_each(path: pathlib.Path, links: Links) -> None:
    """Change each link of the process that reads `path`."""
    staging = path.with_suffix(f".{threading.get_ident()}")
    staging.write_text(json.dumps(links))
    staging.replace(path)


def read_links(path: pathlib.Path) -> Links:
    """Return what was written last to `path`."""
    return {address: Cut(cut) for address, cut in json.loads(path.read_text()).items()}


class CuttableLinks:
    """Replaces ``connectTCP`` of a reactor.

    Parameters
    ----------
    reactor
        The event loop.
    path
        The file with the state of the links.
    source
        Local IP address of the connections on the links.
    """

    def __init__(self, reactor: t.Any, path: pathlib.Path, source: str = _HOST) -> None:
        self._path = path
        self._source = source
        self._read_at = 0
        self._connect = reactor.connectTCP
        self.links = read_links(path)
        self._known = set(self.links)
        self.open: set[_Link] = set()
        self._silent = _SilentListener()
        self._closed = socket.socket()
        self._closed.bind((_HOST, 0))
        reactor.connectTCP = self.connect
        self._timer = LoopingCall(self._refresh)
        self._timer.clock = reactor
        self._timer.start(CHECK_INTERVAL_S)

    def connect(
        self,
        host: str,
        port: int,
        factory: t.Any,
        timeout: float = 30,
        bindAddress: t.Any = None,  # noqa: N803  (named by Twisted)
    ) -> t.Any:
        """Connect to an address, or fail as the state of its link implies."""
        address = f"{host}:{port}"
        if address not in self._known:
            return self._connect(host, port, factory, timeout, bindAddress)
        cut = self.cut_of(address)
        if cut in (Cut.HANG, Cut.STALL):
            port = self._silent.port
        elif cut in (Cut.RESET, Cut.REFUSE):
            port = self._closed.getsockname()[1]
        wrapped = _LinkFactory(factory, self, address)
        source = bindAddress or (self._source, 0)
        return self._connect(host, port, wrapped, timeout, source)

    def cut_of(self, address: str) -> Cut:
        """Return the state of the link to an address."""
        return self.links.get(address, Cut.NONE)

    def _refresh(self) -> None:
        changed_at = os.stat(self._path).st_mtime_ns
        if changed_at == self._read_at:
            return
        self._read_at = changed_at
        self.links = read_links(self._path)
        self._known |= self.links.keys()
        for link in tuple(self.open):
            link.apply(self.cut_of(link.factory.address))


class _SilentListener:
    """A listening socket whose queue is full, so that the kernel drops further SYN packets."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind((_HOST, 0))
        self._listener.listen(0)
        self.port = self._listener.getsockname()[1]
        self._queued = []
        for _ in range(4):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex((_HOST, self.port))
            self._queued.append(conn)


@implementer(IHalfCloseableProtocol)
class _Link(ProtocolWrapper):
    """A connection on a link; while the link hangs, data of both directions is held back."""

    def __init__(self, factory: "_LinkFactory", wrapped: Protocol) -> None:
        super().__init__(factory, wrapped)
        self._hangs = False
        self._reset = False
        self._outgoing: list[bytes] = []
        self._incoming: list[bytes] = []

    def apply(self, cut: Cut) -> None:
        """Change the state of the link."""
        self._hangs = cut is Cut.HANG
        if cut is Cut.RESET:
            self._reset = True
            self.transport.abortConnection()
        elif not self._hangs:
            outgoing, self._outgoing = self._outgoing, []
            incoming, self._incoming = self._incoming, []
            self.transport.writeSequence(outgoing)
            for data in incoming:
                super().dataReceived(data)

    def makeConnection(self, transport: t.Any) -> None:  # noqa: N802
        links = self.factory.links
        links.open.add(self)
        super().makeConnection(transport)
        cut = links.cut_of(self.factory.address)
        if cut in (Cut.HANG, Cut.RESET):
            # The connection was being established when the link was cut.
            self.apply(cut)

    def write(self, data: bytes) -> None:
        if self._hangs:
            self._outgoing.append(data)
        else:
            super().write(data)

    def writeSequence(self, data: t.Iterable[bytes]) -> None:  # noqa: N802
        self.write(b"".join(data))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._hangs:
            self._incoming.append(data)
        else:
            super().dataReceived(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        if IHalfCloseableProtocol.providedBy(self.wrappedProtocol):
            self.wrappedProtocol.readConnectionLost()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        if IHalfCloseableProtocol.providedBy(self.wrappedProtocol):
            self.wrappedProtocol.writeConnectionLost()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.factory.links.open.discard(self)
        super().connectionLost(Failure(ConnectionLost()) if self._reset else reason)


class _LinkFactory(WrappingFactory):
    protocol = _Link

    def __init__(self, wrapped: t.Any, links: CuttableLinks, address: str) -> None:
        super().__init__(wrapped)
        self.links = links
        self.address = address

    def buildProtocol(self, addr: IAddress) -> Protocol | None:  # noqa: N802
        wrapped = self.wrappedFactory.buildProtocol(addr)
        return None if wrapped is None else _Link(self, wrapped)


def main(arguments: list[str]) -> int:
    """Run a gateway with cuttable links, and return its exit code."""
    from cardamomloft.gateway.main import parse_arguments
    from cardamomloft.runtime.eventloop import install_event_loop

    install_event_loop()
    from cardamomloft.gateway.process import run_gateway
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(allow_abbrev=False)
    parser.add_argument("links", type=pathlib.Path)
    parser.add_argument("--source", default=_HOST)
    own, others = parser.parse_known_args(arguments)
    links = CuttableLinks(reactor, own.links, own.source)
    options = parse_arguments(others)
    code = run_gateway(options.settings, options.prefix, options.check)
    del links
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
