"""Encryption and admission of peers by one key pair for the whole deployment.

Every entry has the same CURVE pair, so a peer proves that it belongs to the deployment, not which
entry it is. ZeroMQ asks for each connection whether its key is welcome (ZAP, RFC 27); the answer
comes from the same reactor.
"""

import typing as t
from collections.abc import Callable

import zmq
from cardamomloft.peers.socket import SocketReader
from twisted.python.failure import Failure
from zmq.utils import z85

ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_DOMAIN = b"cardamomloft"
REQUEST_FRAMES = 7


class CurveKeys(t.NamedTuple):
    """The deployment's key pair, in Z85 form (40 characters each)."""

    public: bytes
    secret: bytes


def new_keys() -> CurveKeys:
    """Draw a key pair for a new deployment."""
    return CurveKeys(*zmq.curve_keypair())


class KeyCheck:
    """Admits connections that show the deployment's key; `denied` counts the others.

    It must exist before the sockets of `context` that use it.
    """

    def __init__(
        self,
        reactor: t.Any,
        context: zmq.Context[t.Any],
        keys: CurveKeys,
        on_fault: Callable[[Failure], None],
    ) -> None:
        self.denied = 0
        self._keys = keys
        self._welcome = z85.decode(keys.public)
        self._sock = context.socket(zmq.REP)
        self._sock.setsockopt(zmq.LINGER, 0)
        self._sock.bind(ZAP_ADDRESS)
        self._reader = SocketReader(reactor, self._sock, self._judge, on_fault)

    def serve(self, sock: zmq.Socket[bytes]) -> None:
        """Set up a socket that accepts connections."""
        sock.setsockopt(zmq.CURVE_SERVER, 1)
        sock.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret)
        sock.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)

    def connect(self, sock: zmq.Socket[bytes]) -> None:
        """Set up a socket that opens connections."""
        sock.setsockopt(zmq.CURVE_SERVERKEY, self._keys.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret)

    def close(self) -> None:
        """Stop answering; connections that come now wait and are then dropped."""
        self._reader.close()
        self._sock.close(linger=0)

    def _judge(self, frames: list[bytes]) -> None:
        welcome = len(frames) == REQUEST_FRAMES and frames[6] == self._welcome
        request_id = frames[1] if len(frames) > 1 else b""
        if not welcome:
            self.denied += 1
        status, text = (b"200", b"OK") if welcome else (b"400", b"unknown key")
        self._sock.send_multipart([ZAP_VERSION, request_id, status, text, b"", b""])
