"""Command line of one gateway over the key-value store: ``python -m cardamomloft.gateway.main``."""

import pathlib
import sys

import defopt
from cardamomloft.runtime.eventloop import install_event_loop


def gateway(*, settings: pathlib.Path, prefix: str = "gateway/", check: bool = False) -> int:
    """Run one gateway.

    Parameters
    ----------
    settings
        JSON file with this gateway's settings.
    prefix
        Prefix of the deployment's keys in the store.
    check
        Only check the settings, then exit.
    """
    install_event_loop()
    # Imported here, since it imports the reactor, which must be installed first.
    from cardamomloft.gateway.process import run_gateway

    return run_gateway(settings, prefix, check)


if __name__ == "__main__":
    sys.exit(defopt.run(gateway))
