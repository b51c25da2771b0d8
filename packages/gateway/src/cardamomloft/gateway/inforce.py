"""The configuration in force at a gateway."""

import random
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import UnreadablePlan
from cardamomloft.core.routes import ClientAccount, RoutePlan, RouteRule
from cardamomloft.gateway.calls import Call, CallerHeaders, RequestReader
from cardamomloft.gateway.knowledge import Knowledge
from cardamomloft.runtime.logs import log

_NO_CONFIGURATION = Refusal(RefusalReason.NOT_READY, "no configuration yet")


MAX_SPLITS_LOGGED = 20
"""Maximum number of rules in a log line about splits; the busiest ones are logged."""


class PlanInForce:
    """Reads requests according to the configuration in force, which never gets older.

    A newer configuration may be known that can't be put in force. Its accounts are used with the
    rules in force; if they can't be read either, the keys of callers are outdated.

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
    verified_age
        Returns the time since this gateway's data was proved to be current, None if it never was.
    source
        Where the configuration came from.
    unreadable
        What is known of a newer configuration that can't be put in force, None without one.
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
        self.verified_age: Callable[[], timedelta | None] = lambda: None
        self.source = ""
        self.unreadable: UnreadablePlan | None = None

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

    @property
    def accounts(self) -> tuple[ClientAccount, ...] | None:
        """The accounts by which callers are identified, None if they need no keys."""
        if self.unreadable is not None and self.unreadable.accounts is not None:
            return self.unreadable.accounts
        return None if self.plan is None else self.plan.accounts

    @property
    def keys_outdated(self) -> bool:
        """Whether a configuration is known to be newer than the accounts in use."""
        return self.unreadable is not None and self.unreadable.accounts is None

    def knowledge(self) -> Knowledge:
        """Return the number of the configuration, and how it is known."""
        return Knowledge(self.number, self.source, self.verified_age())

    def replace(self, plan: RoutePlan, source: str = "") -> bool:
        """Put a configuration in force, and return True, unless it is not newer.

        Parameters
        ----------
        plan
            The configuration.
        source
            Where it came from, for the log.
        """
        if plan.number <= self.number:
            if plan.number < self.number:
                log(
                    "configuration-older",
                    offered=plan.number,
                    held=self.number,
                    source=source,
                )
            return False
        self.log_splits()
        self.reader = RequestReader(plan, self._headers, self._rng, self.reader)
        self.source = source
        number = None if self.unreadable is None else self.unreadable.number
        if number is not None and plan.number >= number:
            self.unreadable = None
        if self.unreadable is not None:
            self.reader.use_accounts(self.accounts)
        log("in-force", rules=len(plan.rules), **self.knowledge().fields())
        return True

    def mark_unreadable(self, known: UnreadablePlan) -> bool:
        """Record that the store holds a configuration that can't be put in force.

        Returns
        -------
        bool
            Whether this has changed what is known.
        """
        outdated = known.number is not None and known.number <= self.number
        return not outdated and self._set_unreadable(known)

    def mark_readable(self) -> bool:
        """Record that the configuration in the store can be read; return whether that is new."""
        return self._set_unreadable(None)

    def _set_unreadable(self, known: UnreadablePlan | None) -> bool:
        if known == self.unreadable:
            return False
        self.unreadable = known
        if self.reader is not None:
            self.reader.use_accounts(self.accounts)
        log(
            "accounts-in-use",
            configuration=self.number,
            unreadable=known is not None and known.number,
            readable_accounts=len(self.accounts or ()),
            keys_outdated=self.keys_outdated,
        )
        return True

    def read(self, head: RequestHead) -> Call | Refusal:
        """Parse a request."""
        if self.reader is None:
            return _NO_CONFIGURATION
        now = self._clock.monotonic()
        call = self.reader.read(head, now, verified=self._keys_verified())
        return call if isinstance(call, Refusal) else call._replace(knowledge=self.knowledge())

    def log_splits(self) -> None:
        """Log which services were chosen by the rules that have several, since the last line."""
        if self.reader is None:
            return
        counts = self.reader.take_choices()
        busiest = sorted(counts.items(), key=lambda item: -sum(item[1].values()))
        if busiest:
            chosen = dict(busiest[:MAX_SPLITS_LOGGED])
            log("splits", configuration=self.number, chosen=chosen)

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
