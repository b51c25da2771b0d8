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


def test_a_gateway_can_be_imported_without_tls():
    subprocess.run([sys.executable, "-c", SCRIPT], check=True, timeout=60)


def test_it_is_too_late_once_tls_is_there(monkeypatch):
    monkeypatch.setitem(sys.modules, "OpenSSL", sys)
    with pytest.raises(RuntimeError, match="already"):
        plaintext.block_openssl_import()
