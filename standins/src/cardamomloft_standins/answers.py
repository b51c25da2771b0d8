"""Answers of upstream stand-ins: complete, streamed, truncated or duplicated."""

import json
import typing as t
from collections.abc import Callable, Mapping

from twisted.internet.interfaces import IPullProducer
from twisted.web import http
from zope.interface import implementer

CHUNK_BYTES = 64 * 1024
_PATTERN_CYCLE = bytes(range(251))
_REPEATED_PATTERN = _PATTERN_CYCLE * (CHUNK_BYTES // len(_PATTERN_CYCLE) + 2)


def pattern(offset: int, size: int) -> bytes:
    """Return the `size` bytes (at most `CHUNK_BYTES`) at `offset` of a streamed answer."""
    start = offset % len(_PATTERN_CYCLE)
    return _REPEATED_PATTERN[start : start + size]


def send(
    request: http.Request, status: int, content: object, headers: Mapping[str, str] | None = None
) -> None:
    """Answer `request` with `content` as JSON."""
    body = json.dumps(content).encode()
    request.setResponseCode(status)
    _set_headers(request, len(body))
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def send_echo(request: t.Any, endpoint: str, *, truncate: bool, duplicate: bool) -> None:
    """Answer with a JSON description of the received request.

    Parameters
    ----------
    truncate
        Send half of the announced bytes, then close the connection.
    duplicate
        Send the whole answer a second time on the same connection.
    """
    body = json.dumps(
        {
            "endpoint": endpoint,
            "path": request.path.decode("latin-1"),
            "method": request.method.decode(),
            "received": request.received,
            "key": request.header("idempotency-key"),
            "sha256": request.digest.hexdigest(),
        }
    ).encode()
    _set_headers(request, len(body))
    if truncate:
        request.write(body[: len(body) // 2])
        request.loseConnection()
        return
    transport = request.transport
    request.write(body)
    request.finish()
    if duplicate:
        transport.write(_serialize_answer(request, body))


@implementer(IPullProducer)
class AnswerStream:
    """Streams `size` bytes of :func:`pattern` as fast as the caller reads them.

    Parameters
    ----------
    truncate
        Stop after half of the announced bytes and close the connection.
    on_last_chunk
        Called before the last chunk is written.
    """

    def __init__(
        self, request: http.Request, size: int, truncate: bool, on_last_chunk: Callable[[], None]
    ) -> None:
        self._request = request
        self._size = size
        self._end_offset = size // 2 if truncate else size
        self._truncate = truncate
        self._on_last_chunk = on_last_chunk
        self._offset = 0

    def start(self) -> None:
        """Set the headers and begin to stream the body."""
        _set_headers(self._request, self._size, "application/octet-stream")
        self._request.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next chunk."""
        chunk = pattern(self._offset, min(CHUNK_BYTES, self._end_offset - self._offset))
        self._offset += len(chunk)
        is_last = self._offset == self._end_offset
        if is_last:
            self._on_last_chunk()
        self._request.write(chunk)
        if is_last:
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the request's `connectionLost` notifies the endpoint."""

    def _finish(self) -> None:
        self._request.unregisterProducer()
        if self._truncate:
            self._request.loseConnection()
        else:
            self._request.finish()


def _set_headers(request: t.Any, length: int, content_type: str = "application/json") -> None:
    request.setHeader("Content-Length", str(length))
    request.setHeader("Content-Type", content_type)
    request_id = request.getHeader("x-request-id")
    if request_id is not None:
        request.setHeader("X-Request-Id", request_id)


def _serialize_answer(request: t.Any, body: bytes) -> bytes:
    head = [b"HTTP/1.1 200 OK"]
    for name, values in request.responseHeaders.getAllRawHeaders():
        head.extend(name + b": " + value for value in values)
    return b"\r\n".join(head) + b"\r\n\r\n" + body
