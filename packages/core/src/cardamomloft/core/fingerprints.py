"""Recognising a request that a caller sends again, at whichever entry."""

from hashlib import blake2b

_DIGEST_BYTES = 16


def fingerprint(caller: str, method: str, host: str, target: str, body: bytes | int) -> str:
    """Return a text that is the same for the same request of the same caller in every process.

    Ids and deadlines of single attempts have no part in it.

    Parameters
    ----------
    caller
        The caller's address.
    target
        The path with its query, as sent.
    body
        The whole body; its length in bytes if it is streamed.
    """
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller, method, host, target):
        hashed.update(part.encode())
        hashed.update(b"\0")
    hashed.update(b"=" + body if isinstance(body, bytes) else b"#%d" % body)
    return hashed.hexdigest()
