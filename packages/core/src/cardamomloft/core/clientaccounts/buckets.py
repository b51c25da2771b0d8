"""Token buckets of client accounts over all entries together."""

import math
from collections import deque
from datetime import timedelta

from cardamomloft.core.clientaccounts.rates import demand_rate
from cardamomloft.core.routes import ClientAccount

DETECTION_TIME = timedelta(seconds=1)
"""Time within which an entry or a zone that is not heard from is noticed in all zones."""

_SLOTS = 10
"""Number of intervals in which the requests of a window are counted."""

_SECOND = timedelta(seconds=1)


class _Slot:
    """What happened in one interval: admitted requests and the lowest part of the quota."""

    def __init__(self, began: timedelta, part: float) -> None:
        self.began = began
        self.admitted = 0.0
        self.part = part


class AccountBucket:
    """The tokens of one account over all entries, negative while they are overdrawn.

    A debt ends with the window of the quota: it is no larger than what was admitted in the last
    window beyond the rate.

    Parameters
    ----------
    account
        The account.
    tokens, part
        Tokens at the start, and the part of the quota that is not reserved for others.
    window
        Window of the quota.
    now
        Monotonic instant.

    Attributes
    ----------
    withheld
        Tokens that were taken out for sources that are not heard from.
    """

    def __init__(
        self,
        account: ClientAccount,
        tokens: float,
        part: float,
        window: timedelta,
        now: timedelta,
    ) -> None:
        self.account = account
        self.tokens = min(tokens, part * account.burst)
        self.part = part
        self.withheld = 0.0
        self.recorded_at = now
        self.demand = demand_rate(account, now)
        self._window = window
        self._refilled_at = now
        self._highest, self._highest_before, self._highest_since = self.tokens, 0.0, now
        self.restart(self.tokens, now)

    def restart(self, tokens: float, now: timedelta) -> None:
        """Follow the account again with at most `tokens` after a time without reports."""
        self.tokens = min(self.tokens, tokens)
        self._refilled_at = now
        self._slots: deque[_Slot] = deque([_Slot(now, self.part)])
        self._followed_since = now

    def record(self, wanted: int, admitted: int, now: timedelta) -> None:
        """Count requests after a refill at the same instant."""
        self.tokens -= admitted
        self.recorded_at = now
        self.demand.add(wanted, now)
        self._slots[-1].admitted += admitted

    def credit(self, tokens: float) -> None:
        """Add tokens for requests of a time in which the rate was not added here."""
        self.tokens += tokens

    def refill(self, part: float, now: timedelta) -> None:
        """Add the tokens of the part of the quota that is not reserved for others."""
        self._reserve(part)
        added = part * self.account.rate_per_s * ((now - self._refilled_at) / _SECOND)
        tokens = max(self.tokens + added, -self._largest_debt(now))
        self.tokens = min(part * self.account.burst, tokens)
        self._refilled_at = now
        if now - self._highest_since >= DETECTION_TIME:
            self._highest_before, self._highest, self._highest_since = self._highest, 0.0, now
        self._highest = max(self._highest, self.tokens)

    def _reserve(self, part: float) -> None:
        """Withhold the burst together with the rate, and return it with the rate.

        A source that is not heard from may have spent its share of the burst before either side
        noticed, but no more tokens than there were when it was last heard. They are taken even if
        none are left now; a cap alone would take nothing then.
        """
        change = (part - self.part) * self.account.burst
        self.part = part
        available = max(self._highest, self._highest_before)
        change = min(change, self.withheld) if change > 0 else max(change, -available)
        self.withheld -= change
        self.tokens += change

    def _largest_debt(self, now: timedelta) -> float:
        """Return by how much the last window exceeds the rate; infinity if it is not known."""
        self._advance_slots(now)
        if now - self._followed_since < self._window:
            return math.inf
        part = min(slot.part for slot in self._slots)
        admitted = sum(slot.admitted for slot in self._slots)
        return max(0.0, admitted - part * self.account.rate_per_s * (self._window / _SECOND))

    def _advance_slots(self, now: timedelta) -> None:
        slots = self._slots
        if now - slots[-1].began >= self._window / _SLOTS:
            slots.append(_Slot(now, self.part))
        slots[-1].part = min(slots[-1].part, self.part)
        # A slot counts until all of it is out of the window.
        while len(slots) > 1 and now - slots[1].began > self._window:
            slots.popleft()
