"""One gateway over the product's own key-value store: ``python -m cardamomloft.gateway.main``."""

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
        What the deployment's keys in the store begin with.
    check
        Only check the settings, then exit.
    """
    install_event_loop()
    # Only now: it imports the loop that is installed.
    from cardamomloft.gateway.process import run_gateway

    return run_gateway(settings, prefix, check)


if __name__ == "__main__":
    sys.exit(defopt.run(gateway))
