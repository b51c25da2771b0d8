"""Client accounts: who a caller is by its key, and what the operators allow that account."""

import typing as t
from collections import Counter
from collections.abc import Iterable, Mapping

from cardamomloft.core.routes import ClientAccount, RouteRule

MAX_DETAIL_ACCOUNTS = 3
"""Maximum number of accounts that a mistake names."""


class AccountIndex:
    """Finds client accounts by their keys in constant time.

    Parameters
    ----------
    accounts
        The accounts of a configuration, without conflicts.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_key: Mapping[str, ClientAccount] = {
            key: account for account in accounts for key in account.keys
        }

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that holds `key`, or None."""
        return self._by_key.get(key)


def find_account_conflict(accounts: Iterable[ClientAccount]) -> str | None:
    """Return why accounts cannot be told apart, without naming a key; None if they can."""
    accounts = tuple(accounts)
    names = Counter(account.name for account in accounts)
    repeated = [name for name, count in names.items() if count > 1]
    if repeated:
        return f"accounts defined more than once: {_listed(repeated)}"
    owners: dict[str, str] = {}
    for account in accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                return f"one key belongs to several accounts: {owners[key]}, {account.name}"
    return None


def rule_for_account(rule: RouteRule, account: ClientAccount) -> RouteRule | None:
    """Return `rule` with the priority and the home regions of `account`.

    Where both name home regions, only the regions common to both may serve the request; None if
    there are none.
    """
    homes = rule.homes or account.homes
    if rule.homes and account.homes:
        homes = rule.homes & account.homes
        if not homes:
            return None
    priority = rule.priority if account.priority is None else account.priority
    return rule._replace(homes=homes, priority=priority)


def _listed(names: t.Sequence[str]) -> str:
    shown = ", ".join(names[:MAX_DETAIL_ACCOUNTS])
    return f"{shown} and others" if len(names) > MAX_DETAIL_ACCOUNTS else shown
