"""Fingerprints that identify a repeated request of a caller at any entry."""

from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 16


CALLER_HEADERS = ("authorization", "cookie", "user-agent")
"""Headers that identify a caller. Its address is not used: a caller may change networks, and many
callers may share one address."""


def fingerprint(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes | int
) -> str:
    """Return a hash of a request and its caller that is the same in every process.

    Headers that differ between attempts, such as request ids and deadlines, are not included.

    Parameters
    ----------
    method
        The request method.
    target
        The path with its query, as sent.
    headers
        The request's headers, with names in lower case.
    body
        The whole body; its length in bytes if it is streamed.
    """
    values = dict(headers)
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, target, *(values.get(name, "") for name in ("host", *CALLER_HEADERS))):
        hashed.update(part.encode())
        hashed.update(b"\0")
    hashed.update(b"=" + body if isinstance(body, bytes) else b"#%d" % body)
    return hashed.hexdigest()
