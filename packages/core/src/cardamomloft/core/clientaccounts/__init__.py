"""Client accounts: their keys and homes, and the quotas that all entries hold together."""
