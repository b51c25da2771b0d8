"""JSON-line logs on standard output, written by eliot."""

import sys

import eliot
from cardamomloft.runtime.output import LogOutput
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import implementer

MAX_REPORTED_KEYS = 1_000
"""Keys whose last logged problem is kept; beyond it all are cleared and may be logged again."""


def log(event: str, **fields: object) -> None:
    """Write one log line with `fields`; `event` is its message type."""
    eliot.log_message(f"cardamomloft:{event}", **fields)


@implementer(ILogObserver)
class _TwistedObserver:
    """Writes Twisted's warnings and errors to the log."""

    def __call__(self, event: LogEvent) -> None:
        if event["log_level"] in (LogLevel.warn, LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            trace = failure.getTraceback() if failure is not None else ""
            log("loop", level=event["log_level"].name, text=formatEvent(event), trace=trace)


def start_logs() -> None:
    """Write eliot's and Twisted's messages to standard output, one JSON object per line."""
    eliot.to_file(LogOutput(sys.stdout.fileno()))
    globalLogBeginner.beginLoggingTo([_TwistedObserver()], redirectStandardIO=False)


class ReportedProblems:
    """Remembers logged problems by key, so that a problem is not logged again at every read."""

    def __init__(self) -> None:
        self._details: dict[str, str] = {}

    def is_new(self, key: str, detail: str) -> bool:
        """Record the problem `detail` of `key`; return whether it differs from the last one."""
        if self._details.get(key) == detail:
            return False
        if len(self._details) >= MAX_REPORTED_KEYS:
            self._details.clear()
        self._details[key] = detail
        return True

    def forget(self, key: str) -> None:
        """Record that the problem of `key` is resolved."""
        self._details.pop(key, None)
