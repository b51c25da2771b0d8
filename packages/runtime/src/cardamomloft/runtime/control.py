"""The operators' HTTP pages of a process: health, readiness, metrics, status, explain."""

import json
import typing as t

from cardamomloft.runtime.pages import Pages
from twisted.web.iweb import IRequest
from twisted.web.server import Site

_MAX_EXPLAIN_BYTES = 65_536


class StatusSource(t.Protocol):
    """Content of the pages, supplied by the process."""

    def ready(self) -> bool:
        """Return whether this process serves callers now."""
        ...

    def status(self, *, limits: bool = True) -> dict[str, t.Any]:
        """Return the status page's JSON object; `limits` includes a row for each limit."""
        ...

    def metrics_text(self) -> str:
        """Return the metrics page in the Prometheus text format."""
        ...

    def explain(self, query: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return which rules match the request that the query describes, and why."""
        ...


class ControlApp:
    """Serves the pages of one :class:`StatusSource` over HTTP."""

    def __init__(self, source: StatusSource) -> None:
        self._source = source
        pages = {
            "/health": self._health,
            "/ready": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
            "/explain": self._explain,
        }
        self._pages = Pages(pages, methods={"/explain": "POST"})

    def _health(self, req: IRequest) -> bytes:
        return b"alive\n"

    def _ready(self, req: IRequest) -> bytes:
        if not self._source.ready():
            req.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

    def _metrics(self, req: IRequest) -> bytes:
        req.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._source.metrics_text().encode()

    def _status(self, req: IRequest) -> bytes:
        limits = req.args.get(b"limits") != [b"no"]
        return _send_json(req, self._source.status(limits=limits))

    def _explain(self, req: IRequest) -> bytes:
        try:
            query = json.loads(req.content.read(_MAX_EXPLAIN_BYTES))
        except ValueError as exc:
            req.setResponseCode(400)
            return _send_json(req, {"error": f"the request body is not JSON: {exc}"})
        if not isinstance(query, dict):
            req.setResponseCode(400)
            return _send_json(req, {"error": "the request body must be a JSON object"})
        return _send_json(req, self._source.explain(query))

    def site(self) -> Site:
        """Return the Twisted site that serves the pages."""
        return Site(self._pages)


def _send_json(req: IRequest, value: object) -> bytes:
    req.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode() + b"\n"
