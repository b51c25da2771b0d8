"""From a request's head to what the decisions need to know about it."""

import re
import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.document import Document, ServiceRow
from cardamomloft.core.model import Priority, Refusal, RefusalReason, Request
from cardamomloft.core.rules import bare_path, path_prefixes, strip_trailing_slashes
from expression import Error, Ok, Result

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods that a service may be asked to run twice, unless it lists its own."""

DEFAULT_MAX_BODY_BYTES = 1 << 30

DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
OPERATION_HEADER = "idempotency-key"

# ASCII digits alone, and few enough that reading them costs nothing.
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
    """Tells requests apart by the services of one document.

    Parameters
    ----------
    document
        A checked document.
    blocks
        The client-block map; by default the one that stands in the document.
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
        self._depth = max((prefix.count("/") for prefix in self._services), default=0)

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
            The caller's IPv4 address; if it is not known, the site is the entry's `zone`.
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
        """Look clients up in another map from now on, because more of it has come."""
        self._blocks = blocks

    def site_of(self, client: int) -> str:
        """Return the site that serves the client's block."""
        return self._blocks.site_of(client)

    def _service_of(self, path: str) -> _Service | Refusal:
        bare = bare_path(path)
        # The next hop may resolve dot segments, and rules on paths would then be got around.
        if not bare.startswith("/") or _DOT_SEGMENT.search(bare):
            return Refusal(RefusalReason.BAD_REQUEST, "the path is not absolute and resolved")
        for prefix in reversed(path_prefixes(bare, self._depth)):
            service = self._services.get(prefix)
            if service is not None:
                return service
        return Refusal(RefusalReason.NO_SERVICE, f"no service has the path {bare}")


def body_limit(row: ServiceRow) -> int:
    """Return the most bytes that a request's body may have."""
    return row.get("max_body_bytes", DEFAULT_MAX_BODY_BYTES)


def idempotent_methods(row: ServiceRow) -> frozenset[str]:
    """Return the methods that the service runs as idempotent."""
    listed = row.get("idempotent_methods")
    return IDEMPOTENT_METHODS if listed is None else frozenset(listed)


def service_priority(row: ServiceRow) -> Priority:
    """Return the priority of the service's requests unless a rule or the caller sets another."""
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
        return Refusal(RefusalReason.BAD_REQUEST, f"{DEADLINE_HEADER} is not a whole number")
    left_ms = min(int(text), service.max_deadline // timedelta(milliseconds=1))
    if left_ms == 0:
        return Refusal(RefusalReason.DEADLINE, f"{DEADLINE_HEADER} leaves no time")
    return timedelta(milliseconds=left_ms)


def _priority(text: str | None, service: _Service) -> Priority | Refusal:
    """Return the caller's priority, but none above the service's.

    Priorities decide who is served when capacity is short. If callers could raise their own,
    every impatient one would, and the order that the operators chose would be lost.
    """
    if text is None:
        return service.priority
    try:
        asked = Priority[text.upper()]
    except KeyError:
        return Refusal(RefusalReason.BAD_REQUEST, f"{PRIORITY_HEADER} is not a priority")
    return max(asked, service.priority)


def _size(text: str | None, service: _Service) -> int | None | Refusal:
    if text is None:
        return None
    if not _WHOLE_NUMBER.match(text):
        return Refusal(RefusalReason.BAD_REQUEST, "content-length is not a whole number")
    if int(text) > service.max_body_bytes:
        limit = service.max_body_bytes
        return Refusal(RefusalReason.TOO_LARGE, f"the body is above {limit} bytes")
    return int(text)
