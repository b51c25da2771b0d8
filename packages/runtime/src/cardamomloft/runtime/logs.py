"""JSON-line logs on standard output, written by eliot."""

import sys

import eliot
from cardamomloft.runtime.output import LogOutput
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import implementer

KNOWN_KEPT = 1_000
"""Mistakes of others that are kept to log each once; beyond it they may be logged again."""


def log(event: str, **fields: object) -> None:
    """Write one log line; `event` is its message type."""
    eliot.log_message(f"cardamomloft:{event}", **fields)


@implementer(ILogObserver)
class _TwistedObserver:
    """Passes the loop's own warnings and failures on to the same stream."""

    def __call__(self, event: LogEvent) -> None:
        if event["log_level"] in (LogLevel.warn, LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            trace = failure.getTraceback() if failure is not None else ""
            log("loop", level=event["log_level"].name, text=formatEvent(event), trace=trace)


def start_logs() -> None:
    """Send eliot's and twisted's messages to standard output, one JSON object a line."""
    eliot.to_file(LogOutput(sys.stdout.fileno()))
    globalLogBeginner.beginLoggingTo([_TwistedObserver()], redirectStandardIO=False)


class ReportedProblems:
    """What was logged already, so that it is logged once and not each time it is read again."""

    def __init__(self) -> None:
        self._details: dict[str, str] = {}

    def is_new(self, key: str, detail: str) -> bool:
        """Note what is wrong with `key`; return whether that is not known yet."""
        if self._details.get(key) == detail:
            return False
        if len(self._details) >= KNOWN_KEPT:
            self._details.clear()
        self._details[key] = detail
        return True

    def forget(self, key: str) -> None:
        """Note that nothing is wrong with `key` any more."""
        self._details.pop(key, None)
