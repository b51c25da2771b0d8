"""A gateway without TLS does not import OpenSSL."""

import subprocess
import sys

import pytest
from cardamomloft.gateway import plaintext

SCRIPT = """
from cardamomloft.gateway.plaintext import block_openssl_import
block_openssl_import()
import sys
import cardamomloft.gateway.node
from twisted.internet import reactor
assert not any(name.startswith(("OpenSSL.", "cryptography")) for name in sys.modules)
"""


def test_gateway_is_imported_without_openssl():
    subprocess.run([sys.executable, "-c", SCRIPT], check=True, timeout=60)


def test_openssl_that_is_already_imported_is_an_error(monkeypatch):
    monkeypatch.setitem(sys.modules, "OpenSSL", sys)
    with pytest.raises(RuntimeError, match="already"):
        plaintext.block_openssl_import()
