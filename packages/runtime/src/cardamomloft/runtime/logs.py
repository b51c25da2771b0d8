"""JSON-line logs on standard output, written by eliot."""

import sys

import eliot
from cardamomloft.runtime.output import LogOutput
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import implementer


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
