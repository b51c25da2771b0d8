"""What client accounts may do at one gateway: accept keys, and keep to quotas."""

import random
import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clientaccounts.quotagate import QuotaGate
from cardamomloft.core.clientaccounts.quotas import QuotaCoordinator, QuotaPolicy
from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.core.routes import ClientAccount
from cardamomloft.core.selection import Selector
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.durations import parse_duration
from cardamomloft.gateway.settings import QuotaSettings
from cardamomloft.gateway.usageexchange import UsageExchange
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics

MAX_KEY_AGE_FRACTION = 0.75
"""Fraction of the revocation time for which keys are accepted after the configuration was verified.
The remainder covers a store whose watches miss changes for a moment before its history is lost."""

_NO_QUOTAS = QuotaPolicy(timedelta(seconds=5), 0.0, 0.0)
"""Policy of a gateway that enforces no quotas and knows no accounts."""


class AccountAccess:
    """Decides whether keys can be verified and which requests are within their quotas.

    Parameters
    ----------
    reactor, clock, rng
        The event loop, and sources of time and randomness.
    own
        This gateway's record.
    entries
        The recorded gateways.
    selector
        Divides limits among them.
    feed
        Knows how recent the configuration is, and exchanges messages.
    is_announced
        Returns whether this gateway is announced to the others.

    Attributes
    ----------
    keys_outdated
        Returns whether the keys are known to be outdated, however recent the data is.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        own: EntryRecord,
        entries: EntryTable,
        selector: Selector,
        feed: ChangeFeed,
        is_announced: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._own = own
        self._entries = entries
        self._selector = selector
        self._feed = feed
        self._is_announced = is_announced
        self._revocation_time: timedelta | None = None
        self._logged_verified = True
        self._coordinator: QuotaCoordinator | None = None
        self.quotas: QuotaGate | None = None
        self.keys_outdated: Callable[[], bool] = lambda: False

    def build_quotas(self, settings: QuotaSettings | None, metrics: Metrics) -> None:
        """Enforce quotas according to the settings; without any they are not enforced.

        Loads are exchanged in either case, by the same messages.
        """
        policy = _NO_QUOTAS if settings is None else _quota_policy(settings)
        coordinator = QuotaCoordinator(policy, self._clock.monotonic())
        usage = self._feed.usage = UsageExchange(
            self._reactor,
            self._clock,
            self._own,
            self._entries,
            self._is_announced,
            self._feed.send,
            coordinator,
            metrics,
            self._selector.shared_loads,
        )
        if settings is None:
            return
        self._coordinator = coordinator
        self.quotas = usage.gate = QuotaGate(
            policy,
            self._rng,
            self._selector.division,
            self._selector.entry_rank,
            usage.count,
        )

    def set_quota_settings(self, settings: QuotaSettings) -> None:
        """Apply changed settings, if quotas were enforced from the start."""
        if self.quotas is not None and self._coordinator is not None:
            self.quotas.policy = self._coordinator.policy = _quota_policy(settings)

    def set_revocation_time(self, revocation_time: timedelta | None) -> None:
        """Refuse withdrawn keys within this time even without contact to the store."""
        self._revocation_time = revocation_time
        self._feed.set_revocation_time(revocation_time)

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Apply the accounts of a configuration."""
        if self._coordinator is not None:
            self._coordinator.set_accounts(accounts)

    def keys_verified(self) -> bool:
        """Return whether the configuration is recent enough to accept or reject keys."""
        if self._revocation_time is None:
            return True
        if self.keys_outdated():
            return False
        age = self._feed.verified_age()
        return age is not None and age < self._revocation_time * MAX_KEY_AGE_FRACTION

    def beyond_quota(self, call: Call) -> Refusal | None:
        """Count a request; return a refusal if it is beyond its account's quota."""
        if self.quotas is None or call.account is None:
            return None
        wait = self.quotas.admit(call.account, self._clock.monotonic(), call.key)
        if wait is None:
            return None
        detail = f"account {call.account.name} has used its quota at all entries together"
        return Refusal(RefusalReason.QUOTA, detail, wait)

    def return_token(self, call: Call) -> None:
        """Count a request no longer, since it was not run."""
        if self.quotas is not None and call.account is not None:
            self.quotas.give_back(call.account, self._clock.monotonic())

    def log_verification(self) -> None:
        """Log whether keys can be verified if that has changed; call it periodically."""
        verified = self.keys_verified()
        if verified == self._logged_verified:
            return
        self._logged_verified = verified
        age = self._feed.verified_age()
        age_ms = None if age is None else age // timedelta(milliseconds=1)
        log("key-verification", verified=verified, verified_age_ms=age_ms)


def _quota_policy(settings: QuotaSettings) -> QuotaPolicy:
    return QuotaPolicy(parse_duration(settings["window"]), settings["overage"], settings["slack"])
