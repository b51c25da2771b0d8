"""Command line of one gateway over the key-value store: ``python -m cardamomloft.gateway.main``."""

import argparse
import pathlib
import signal
import sys

from cardamomloft.gateway.plaintext import block_openssl_import


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
    # The settings are read once the imports are done, so that an earlier signal changes nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    block_openssl_import()
    # Twisted must be imported after the import of OpenSSL is blocked, and its reactor after the
    # event loop is installed.
    from cardamomloft.runtime.eventloop import install_event_loop

    install_event_loop()
    from cardamomloft.gateway.process import run_gateway

    return run_gateway(settings, prefix, check)


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the arguments of the command line.

    Parameters
    ----------
    arguments
        The arguments; by default those of the process.
    """
    # Not by defopt, which imports docutils and so takes 5 MB in every gateway.
    parser = argparse.ArgumentParser(description="Run one gateway.")
    parser.add_argument(
        "-s",
        "--settings",
        type=pathlib.Path,
        required=True,
        help="JSON file with this gateway's settings.",
    )
    parser.add_argument(
        "-p",
        "--prefix",
        default="gateway/",
        help="Prefix of the deployment's keys in the store. (default: %(default)s)",
    )
    parser.add_argument(
        "-c",
        "--check",
        action=argparse.BooleanOptionalAction,
        default=False,
        help="Only check the settings, then exit.",
    )
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(gateway(**vars(parse_arguments())))
