"""Prevents the import of OpenSSL in gateways, which use TLS neither with callers nor upstreams.

Twisted loads OpenSSL with its TCP transports if it can be imported, and Python's own clients and
hashes load its library. Without it a process needs less memory and starts faster. The encryption
between gateways is ZeroMQ's and needs none of it.
"""

import importlib.util
import sys

_BUILTIN_HASHES = ("_md5", "_sha1", "_sha256", "_sha512", "_sha3", "_blake2")
"""Python's own hash functions, which `hashlib` uses if OpenSSL's are missing."""


def block_openssl_import() -> None:
    """Make any later import of OpenSSL fail; call it before Twisted is imported.

    The modules `ssl` and `_hashlib` are blocked too, as in a Python built without OpenSSL. The hash
    functions of OpenSSL stay where Python has none of its own.

    Raises
    ------
    RuntimeError
        If OpenSSL has been imported already.
    """
    if sys.modules.get("OpenSSL") is not None:
        raise RuntimeError(
            "OpenSSL is imported already; block its import before Twisted is imported"
        )
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    if all(importlib.util.find_spec(name) for name in _BUILTIN_HASHES):
        sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]
