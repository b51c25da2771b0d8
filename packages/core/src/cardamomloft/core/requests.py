"""Classification of a request from its head: service, priority, deadline and limits."""

import re
import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.document import Document, ServiceRow
from cardamomloft.core.model import Priority, Refusal, RefusalReason, Request
from cardamomloft.core.rules import path_prefixes, path_without_query, strip_trailing_slashes
from expression import Error, Ok, Result

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods that may run twice, unless the service lists its own."""

DEFAULT_MAX_BODY_BYTES = 1 << 30

DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
OPERATION_HEADER = "idempotency-key"

# ASCII digits only; the bound on their number limits the cost of parsing.
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}\Z")
_DOT_SEGMENT = re.compile(r"/(\.|%2[eE]){1,2}(/|\Z)")


class _Service(t.NamedTuple):
    name: str
    priority: Priority
    deadline: timedelta
    max_deadline: timedelta
    idempotent_methods: frozenset[str]
    max_body_bytes: int


class Classifier:
    """Classifies requests by the services of one document.

    Parameters
    ----------
    document
        A valid document.
    blocks
        The client-block map; by default the one in the document.
    """

    def __init__(self, document: Document, blocks: BlockMap | None = None) -> None:
        clients = document["clients"]
        self._blocks = blocks
        if self._blocks is None:
            self._blocks = BlockMap.from_blocks(clients.get("blocks", {}), clients["default"])
        self._services = {
            strip_trailing_slashes(row["prefix"]): _service(name, row)
            for name, row in document["services"].items()
        }
        self._max_depth = max((prefix.count("/") for prefix in self._services), default=0)

    def classify(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        client: int | None,
        now: timedelta,
        zone: str,
    ) -> Result[Request, Refusal]:
        """Return the request, with its deadline counted from `now` (monotonic).

        Parameters
        ----------
        path
            The path with its query, if any.
        headers
            The request's headers with lower-case names.
        client
            The caller's IPv4 address, None if unknown.
        zone
            The entry's zone, used as the site of a caller without a known address.

        Errors
        ------
        Refusal
            BAD_REQUEST, NO_SERVICE, DEADLINE or TOO_LARGE.
        """
        service = self._service_of(path)
        if isinstance(service, Refusal):
            return Error(service)
        remaining = _remaining(headers.get(DEADLINE_HEADER), service)
        if isinstance(remaining, Refusal):
            return Error(remaining)
        priority = _priority(headers.get(PRIORITY_HEADER), service)
        if isinstance(priority, Refusal):
            return Error(priority)
        size = _size(headers.get("content-length"), service)
        if isinstance(size, Refusal):
            return Error(size)
        return Ok(
            Request(
                service=service.name,
                method=method,
                path=path,
                client=client,
                site=zone if client is None else self._blocks.site_of(client),
                headers=headers,
                priority=priority,
                idempotent=method in service.idempotent_methods,
                deadline=now + remaining,
                operation=headers.get(OPERATION_HEADER),
                size=size,
            )
        )

    def use_blocks(self, blocks: BlockMap) -> None:
        """Replace the client-block map, for example when more of it has been loaded."""
        self._blocks = blocks

    def site_of(self, client: int) -> str:
        """Return the site that serves the client's block."""
        return self._blocks.site_of(client)

    def _service_of(self, path: str) -> _Service | Refusal:
        bare_path = path_without_query(path)
        # The upstream may resolve dot segments, which would bypass rules on paths.
        if not bare_path.startswith("/") or _DOT_SEGMENT.search(bare_path):
            return Refusal(
                RefusalReason.BAD_REQUEST, "the path must be absolute and without dot segments"
            )
        for prefix in reversed(path_prefixes(bare_path, self._max_depth)):
            service = self._services.get(prefix)
            if service is not None:
                return service
        return Refusal(RefusalReason.NO_SERVICE, f"no service has a prefix of the path {bare_path}")


def body_limit(row: ServiceRow) -> int:
    """Return the maximum size of a request body in bytes."""
    return row.get("max_body_bytes", DEFAULT_MAX_BODY_BYTES)


def idempotent_methods(row: ServiceRow) -> frozenset[str]:
    """Return the methods that the service treats as idempotent."""
    listed = row.get("idempotent_methods")
    return IDEMPOTENT_METHODS if listed is None else frozenset(listed)


def service_priority(row: ServiceRow) -> Priority:
    """Return the default priority of the service's requests."""
    return Priority[row.get("priority", "normal").upper()]


def _service(name: str, row: ServiceRow) -> _Service:
    return _Service(
        name=name,
        priority=service_priority(row),
        deadline=timedelta(milliseconds=row["deadline_ms"]),
        max_deadline=timedelta(milliseconds=row["max_deadline_ms"]),
        idempotent_methods=idempotent_methods(row),
        max_body_bytes=body_limit(row),
    )


def _remaining(text: str | None, service: _Service) -> timedelta | Refusal:
    if text is None:
        return service.deadline
    if not _WHOLE_NUMBER.match(text):
        return Refusal(RefusalReason.BAD_REQUEST, f"{DEADLINE_HEADER} must be a whole number of ms")
    remaining_ms = min(int(text), service.max_deadline // timedelta(milliseconds=1))
    if remaining_ms == 0:
        return Refusal(RefusalReason.DEADLINE, f"{DEADLINE_HEADER} must be at least 1 ms")
    return timedelta(milliseconds=remaining_ms)


def _priority(text: str | None, service: _Service) -> Priority | Refusal:
    """Return the caller's priority, limited to the service's.

    A caller can lower the priority of its request but not raise it, so that the configured order
    holds when capacity is short.
    """
    if text is None:
        return service.priority
    try:
        requested = Priority[text.upper()]
    except KeyError:
        return Refusal(
            RefusalReason.BAD_REQUEST, f"{PRIORITY_HEADER} must be critical, normal or bulk"
        )
    return max(requested, service.priority)


def _size(text: str | None, service: _Service) -> int | None | Refusal:
    if text is None:
        return None
    if not _WHOLE_NUMBER.match(text):
        return Refusal(RefusalReason.BAD_REQUEST, "content-length must be a whole number")
    if int(text) > service.max_body_bytes:
        limit = service.max_body_bytes
        return Refusal(RefusalReason.TOO_LARGE, f"the body exceeds the limit of {limit} bytes")
    return int(text)
