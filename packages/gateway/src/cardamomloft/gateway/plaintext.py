"""Starts a process without TLS, which gateways do not speak: neither with callers nor upstreams.

Twisted loads OpenSSL with its TCP transports if it can be imported. Without it a process takes
52.9 MB instead of 65.0 MB (resident after all imports, three starts each), and is ready sooner
after a crash: the import takes 51 of 774 ms, as ``-X importtime`` tells.
"""

import sys


def block_openssl_import() -> None:
    """Let an import of OpenSSL fail from now on; call it before Twisted is imported.

    Raises
    ------
    RuntimeError
        If OpenSSL has been imported already.
    """
    if sys.modules.get("OpenSSL") is not None:
        raise RuntimeError("OpenSSL has been imported already")
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
