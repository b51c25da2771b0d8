"""The configuration in force at a gateway."""

import random
from collections.abc import Callable

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import ClientAccount, RoutePlan, RouteRule
from cardamomloft.gateway.calls import Call, CallerHeaders, RequestReader
from cardamomloft.runtime.logs import log

_NO_CONFIGURATION = Refusal(RefusalReason.NOT_READY, "no configuration yet")


class PlanInForce:
    """Reads requests according to the configuration in force, which never gets older.

    Parameters
    ----------
    clock, rng
        Sources of time and randomness.
    headers
        The names of the callers' request headers.
    keys_verified
        Returns whether keys of client accounts can be accepted or rejected.

    Attributes
    ----------
    reader
        Reads requests according to the configuration, None before the first.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        headers: CallerHeaders,
        keys_verified: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._headers = headers
        self._keys_verified = keys_verified
        self.reader: RequestReader | None = None

    def __bool__(self) -> bool:
        return self.reader is not None

    @property
    def plan(self) -> RoutePlan | None:
        """The configuration, None before the first."""
        return None if self.reader is None else self.reader.plan

    @property
    def number(self) -> int:
        """The number of the configuration, 0 before the first."""
        return 0 if self.reader is None else self.reader.plan.number

    def replace(self, plan: RoutePlan) -> bool:
        """Put a configuration in force, and return True, unless it is not newer."""
        if plan.number <= self.number:
            if plan.number < self.number:
                log("configuration-older", offered=plan.number, held=self.number)
            return False
        self.reader = RequestReader(plan, self._headers, self._rng)
        log("in-force", configuration=plan.number, rules=len(plan.rules))
        return True

    def read(self, head: RequestHead) -> Call | Refusal:
        """Parse a request."""
        if self.reader is None:
            return _NO_CONFIGURATION
        now = self._clock.monotonic()
        return self.reader.read(head, now, verified=self._keys_verified())

    def match(self, host: str, path: str) -> RouteRule | Refusal:
        """Return the rule for a host and a path."""
        return _NO_CONFIGURATION if self.reader is None else self.reader.match(host, path)

    def is_idempotent(self, head: RequestHead) -> bool:
        """Return whether the rule of a request allows running it more than once."""
        return self.reader is not None and self.reader.is_idempotent(head)

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to."""
        return None if self.reader is None else self.reader.find_account(key)

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that may serve all requests for a host; empty: all."""
        none: frozenset[str] = frozenset()
        return none if self.reader is None else self.reader.home_regions.get(host, none)
