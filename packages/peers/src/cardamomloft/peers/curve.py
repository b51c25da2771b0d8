"""Encryption and authentication of peers with one CURVE key pair for the whole deployment.

All processes share the key pair, so a peer proves that it belongs to the deployment, but not which
process it is. ZeroMQ sends an authentication request for each connection (ZAP, ZeroMQ RFC 27),
which is answered on the reactor's thread.
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
ZAP_REQUEST_FRAMES = 7


class CurveKeys(t.NamedTuple):
    """The deployment's key pair, in Z85 form (40 characters each)."""

    public: bytes
    secret: bytes


def generate_keys() -> CurveKeys:
    """Generate a key pair for a new deployment."""
    return CurveKeys(*zmq.curve_keypair())


class KeyAuthenticator:
    """ZAP handler that accepts connections with the deployment's key; `denied` counts the others.

    Create it before the sockets of `context` that use it.
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
        self._accepted_key = z85.decode(keys.public)
        self._sock = context.socket(zmq.REP)
        self._sock.setsockopt(zmq.LINGER, 0)
        self._sock.bind(ZAP_ADDRESS)
        self._reader = SocketReader(reactor, self._sock, self._authenticate, on_fault)

    def configure_server(self, sock: zmq.Socket[bytes]) -> None:
        """Set the CURVE options of a listening socket."""
        sock.setsockopt(zmq.CURVE_SERVER, 1)
        sock.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret)
        sock.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)

    def configure_client(self, sock: zmq.Socket[bytes]) -> None:
        """Set the CURVE options of a connecting socket."""
        sock.setsockopt(zmq.CURVE_SERVERKEY, self._keys.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret)

    def close(self) -> None:
        """Stop answering requests; new connections then fail at the handshake timeout."""
        self._reader.close()
        self._sock.close(linger=0)

    def _authenticate(self, frames: list[bytes]) -> None:
        accepted = len(frames) == ZAP_REQUEST_FRAMES and frames[6] == self._accepted_key
        request_id = frames[1] if len(frames) > 1 else b""
        if not accepted:
            self.denied += 1
        status, text = (b"200", b"OK") if accepted else (b"400", b"unknown key")
        self._sock.send_multipart([ZAP_VERSION, request_id, status, text, b"", b""])
