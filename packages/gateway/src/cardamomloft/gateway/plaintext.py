"""Prevents the import of OpenSSL in gateways, which use TLS neither with callers nor upstreams.

Twisted loads OpenSSL with its TCP transports if it can be imported. Without it a process needs less
memory and starts faster.
"""

import sys


def block_openssl_import() -> None:
    """Make any later import of OpenSSL fail; call it before Twisted is imported.

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
