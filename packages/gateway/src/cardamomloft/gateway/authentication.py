"""Authentication of callers by the key of their client account."""

import re
from collections.abc import Iterable

from cardamomloft.callers.exchange import Headers
from cardamomloft.core.clientaccounts.identities import AccountIndex, find_account_conflict
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import ClientAccount, RoutePlan, RouteRule

AUTHORIZATION = "authorization"

ACCOUNT_NAME = re.compile(r"[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?\Z")
"""Form of an account's name: a header value, in which spaces are allowed but not at its ends."""

KEY_PATTERN = r"^[A-Za-z0-9._~+/-]{1,500}=*$"
"""Form of a key (the `token68` of RFC 9110, section 11.2)."""

_KEY = re.compile(r"[\x21-\x7e]+\Z")
"""Form of a key that another writer has chosen: what a header can carry after the scheme."""

_BEARER = re.compile(r"bearer +", re.IGNORECASE)


class Authenticator:
    """Identifies callers by the client accounts of one configuration.

    Parameters
    ----------
    plan
        The configuration. If it has no accounts, no caller is asked for a key.
    header
        Name, in lower case, of the request header in which endpoints get the account's name.
    """

    def __init__(self, plan: RoutePlan, header: str) -> None:
        self._header = header
        self._index = None if plan.accounts is None else AccountIndex(plan.accounts)

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that holds `key`, or None."""
        return None if self._index is None else self._index.find(key)

    def authenticate(
        self, rule: RouteRule, headers: Iterable[tuple[str, str]], *, verified: bool
    ) -> ClientAccount | Refusal | None:
        """Return the caller's account, None for an anonymous caller, or a refusal.

        Parameters
        ----------
        rule
            The rule that the request matches.
        headers
            The request's headers, with names in lower case.
        verified
            Whether the configuration is known to be recent enough to accept or reject keys.
        """
        if self._index is None:
            return None
        credentials = [value for name, value in headers if name == AUTHORIZATION]
        if not credentials and rule.anonymous:
            return None
        if not verified:
            detail = "this entry cannot verify keys at present; send the request to another entry"
            return Refusal(RefusalReason.UNVERIFIED, detail)
        if len(credentials) != 1:
            detail = "exactly one Authorization header with a key is required"
            return Refusal(RefusalReason.UNAUTHENTICATED, detail)
        scheme = _BEARER.match(credentials[0])
        account = self.find(credentials[0][scheme.end() :].strip(" ")) if scheme else None
        if account is None:
            detail = "the Authorization header has no known key in the form 'Bearer KEY'"
            return Refusal(RefusalReason.UNAUTHENTICATED, detail)
        return account

    def forwarded_headers(self, headers: Headers, account: ClientAccount | None) -> Headers:
        """Return the headers for an endpoint: without the key, and with the account's name."""
        if self._index is None:
            return headers
        removed = (AUTHORIZATION, self._header)
        kept = tuple(pair for pair in headers if pair[0] not in removed)
        return kept if account is None else (*kept, (self._header, account.name))


def checked_accounts(accounts: Iterable[ClientAccount]) -> tuple[ClientAccount, ...]:
    """Return the accounts if their names and keys are usable.

    Raises
    ------
    ValueError
        If they are not. The message names no key.
    """
    found = tuple(accounts)
    for account in found:
        if not ACCOUNT_NAME.match(account.name):
            raise ValueError(
                "an account's name must be visible ASCII characters, with spaces only between them"
            )
        if not all(isinstance(key, str) and _KEY.match(key) for key in account.keys):
            raise ValueError(f"account {account.name} has a key with characters not allowed in one")
        if not (account.rate_per_s >= 0 and account.burst >= 0):
            raise ValueError(f"account {account.name} has a negative rate or burst")
    conflict = find_account_conflict(found)
    if conflict is not None:
        raise ValueError(conflict)
    return found
