"""HTTP stand-in for the platform's VM list, with a configurable lag.

``PUT /v1/vms`` replaces the rows, ``PUT /control`` changes
:class:`~cardamomloft_standins.faults.VmFaults`.
"""

import json
import typing as t
from datetime import UTC, datetime

from klein import Klein
from twisted.internet import defer
from twisted.web.iweb import IRequest

from cardamomloft_standins.faults import VmFaults, apply_changes, parse_json
from cardamomloft_standins.listener import SetRefusing, ignore_refusing


class Vms:
    """HTTP interface of the VM list.

    Parameters
    ----------
    reactor
        Measures the lag.
    set_refusing
        Called with True to close the listening socket or False to reopen it, and with the
        transport of the control request, which must stay open.
    """

    app = Klein()

    def __init__(self, reactor: t.Any, set_refusing: SetRefusing = ignore_refusing) -> None:
        self._reactor = reactor
        self._set_refusing = set_refusing
        self._history: list[tuple[float, list[dict[str, str]]]] = [(reactor.seconds(), [])]
        self._calls = 0
        self.faults = VmFaults()

    @app.route("/v1/vms", methods=["GET"])
    def fetch(self, request: IRequest) -> bytes | defer.Deferred[bytes]:
        """Return the rows as they were `lag_ms` ago."""
        self._calls += 1
        if self.faults.down:
            return defer.Deferred()
        request.setHeader(b"Content-Type", b"application/json")
        return json.dumps(self._rows()).encode()

    @app.route("/v1/vms", methods=["PUT"])
    def replace(self, request: IRequest) -> bytes:
        """Replace all rows; a row without `at` gets the current time."""
        rows = parse_json(request.content.read())
        if not isinstance(rows, list):
            request.setResponseCode(400)
            return b"expected a JSON array"
        now = datetime.now(UTC).isoformat()
        self._history.append((self._reactor.seconds(), [{"at": now, **row} for row in rows]))
        return b"true"

    @app.route("/control", methods=["PUT"])
    def control(self, request: IRequest) -> bytes:
        """Change the faults; an unknown name is answered with 400."""
        faults = apply_changes(self.faults, parse_json(request.content.read()))
        if isinstance(faults, str):
            request.setResponseCode(400)
            return faults.encode()
        self.faults = faults
        self._set_refusing(faults.down == "refuse", request.transport)
        return json.dumps(faults._asdict()).encode()

    @app.route("/control/counts", methods=["GET"])
    def counts(self, request: IRequest) -> bytes:
        """Return the number of fetches."""
        return json.dumps({"calls": {"fetch": self._calls}}).encode()

    def close(self) -> None:
        """Do nothing: there are no timers."""

    def _rows(self) -> list[dict[str, str]]:
        shown = self._reactor.seconds() - self.faults.lag_ms / 1000
        while len(self._history) > 1 and self._history[1][0] <= shown:
            self._history.pop(0)
        return self._history[0][1]
