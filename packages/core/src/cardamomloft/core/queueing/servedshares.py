"""Service that client accounts have recently received, weighted by the rates of their quotas."""

import math
from collections import OrderedDict
from datetime import timedelta

DECAY_TIME = timedelta(seconds=2)
"""Time in which recorded service decays to 1/e. It is about the longest wait in the queue, so that
an account that was idle before has no precedence for longer than that."""

MAX_ACCOUNTS = 1_000
"""Number of accounts that are tracked; the least recently served are evicted."""

OVER_SHARE_FACTOR = 1.5
"""An account is above its share if its weighted service exceeds the mean by this factor. Smaller
differences are usual at a few requests a second."""

_MAX_SCALE = 1e12
_MAX_EXPONENT = 600.0
_MIN_VALUE = 1e-3


class _Served:
    __slots__ = ("value", "weight")

    def __init__(self, weight: float) -> None:
        self.value = 0.0
        self.weight = weight


class ServedShares:
    """The service received by each account, with exponential decay.

    All values decay at the same rate, so their order does not change with time. New service is
    recorded with an increasing scale instead, and old values remain as they are.
    """

    def __init__(self) -> None:
        self._accounts: OrderedDict[str, _Served] = OrderedDict()
        self._total_value = 0.0
        self._total_weight = 0.0
        self._origin = timedelta(0)

    def __len__(self) -> int:
        return len(self._accounts)

    def record(self, account: str, rate_per_s: float, amount: float, now: timedelta) -> None:
        """Record that `account` received service; a negative `amount` takes service back.

        Parameters
        ----------
        account
            Name of the account.
        rate_per_s
            Rate of its quota; 0 without one, which counts as the mean of the others.
        amount
            Number of requests.
        now
            Monotonic instant.
        """
        self.rescale(now)
        served = self._accounts.get(account)
        if served is None:
            served = self._accounts[account] = _Served(rate_per_s or self._mean_weight())
            self._total_weight += served.weight
        elif rate_per_s and rate_per_s != served.weight:
            self._total_weight += rate_per_s - served.weight
            served.weight = rate_per_s
        added = max(amount * self._scale(now), -served.value)
        served.value += added
        self._total_value += added
        self._accounts.move_to_end(account)
        if len(self._accounts) > MAX_ACCOUNTS:
            self._forget(next(iter(self._accounts)))

    def level(self, account: str) -> float:
        """Return the weighted service of `account`; comparable with that of other accounts only."""
        served = self._accounts.get(account)
        return 0.0 if served is None else served.value / served.weight

    def next_step(self, account: str, rate_per_s: float, now: timedelta) -> float:
        """Return by how much one request raises the level of `account`."""
        served = self._accounts.get(account)
        weight = served.weight if served is not None else rate_per_s or self._mean_weight()
        return self._scale(now) / weight

    def is_over_share(self, account: str) -> bool:
        """Return whether `account` has received clearly more than its weight's part of all."""
        if self._total_weight <= 0 or len(self._accounts) < 2:
            return False
        return self.level(account) > OVER_SHARE_FACTOR * self._total_value / self._total_weight

    def _mean_weight(self) -> float:
        return self._total_weight / len(self._accounts) if self._accounts else 1.0

    def rescale(self, now: timedelta) -> None:
        """Divide all values by the present scale once it is large; forget what has decayed.

        To be called before values of one instant are compared.
        """
        scale = self._scale(now)
        if scale <= _MAX_SCALE:
            return
        self._origin = now
        for account, served in list(self._accounts.items()):
            served.value /= scale
            if served.value < _MIN_VALUE:
                self._forget(account)
        self._total_value = sum(served.value for served in self._accounts.values())

    def _scale(self, now: timedelta) -> float:
        return math.exp(min((now - self._origin) / DECAY_TIME, _MAX_EXPONENT))

    def _forget(self, account: str) -> None:
        served = self._accounts.pop(account)
        self._total_value -= served.value
        self._total_weight -= served.weight
