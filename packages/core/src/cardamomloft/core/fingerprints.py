"""Recognising a request that a caller sends again, at whichever entry."""

from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 16


CALLER_HEADERS = ("authorization", "cookie", "user-agent")
"""Headers by which a caller says who it is. Its address says less: it may come again by another
network, and many callers share one."""


def fingerprint(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes | int
) -> str:
    """Return a text that is the same for the same request of the same caller in every process.

    Ids and deadlines of single attempts have no part in it.

    Parameters
    ----------
    target
        The path with its query, as sent.
    headers
        The request's headers, with names in lower case.
    body
        The whole body; its length in bytes if it is streamed.
    """
    said = dict(headers)
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, target, *(said.get(name, "") for name in ("host", *CALLER_HEADERS))):
        hashed.update(part.encode())
        hashed.update(b"\0")
    hashed.update(b"=" + body if isinstance(body, bytes) else b"#%d" % body)
    return hashed.hexdigest()
