"""The operators' HTTP pages of one entry: health, readiness, metrics, status, explain."""

import json
import typing as t

from klein import Klein
from twisted.web.iweb import IRequest
from twisted.web.server import Site

_EXPLAIN_LIMIT = 65_536


class StatusSource(t.Protocol):
    """What the pages show; implemented by the entry's node."""

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        ...

    def status(self, *, limits: bool = True) -> dict[str, t.Any]:
        """Return the status page's object, with its list of limits or without."""
        ...

    def metrics_text(self) -> str:
        """Return the metrics page."""
        ...

    def explain(self, question: dict[str, t.Any]) -> dict[str, t.Any]:
        """Tell which rule would match a request, and why not the ones before."""
        ...


class ControlApp:
    """Serves the pages of one :class:`StatusSource`."""

    app = Klein()

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    @app.route("/health")
    def _health(self, req: IRequest) -> bytes:
        return b"alive\n"

    @app.route("/ready")
    def _ready(self, req: IRequest) -> bytes:
        if not self._source.ready():
            req.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

    @app.route("/metrics")
    def _metrics(self, req: IRequest) -> bytes:
        req.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._source.metrics_text().encode()

    @app.route("/status")
    def _status(self, req: IRequest) -> bytes:
        limits = req.args.get(b"limits") != [b"no"]
        return _send_json(req, self._source.status(limits=limits))

    @app.route("/explain", methods=["POST"])
    def _explain(self, req: IRequest) -> bytes:
        try:
            question = json.loads(req.content.read(_EXPLAIN_LIMIT))
        except ValueError as exc:
            req.setResponseCode(400)
            return _send_json(req, {"error": f"not JSON: {exc}"})
        if not isinstance(question, dict):
            req.setResponseCode(400)
            return _send_json(req, {"error": "an object is expected"})
        return _send_json(req, self._source.explain(question))

    def site(self) -> Site:
        """Return the site to listen with."""
        return Site(self.app.resource())


def _send_json(req: IRequest, value: object) -> bytes:
    req.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode() + b"\n"
