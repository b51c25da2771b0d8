"""What a gateway's configuration is based on, for the log."""

import typing as t
from datetime import timedelta


class Knowledge(t.NamedTuple):
    """The configuration that decides a request, and how a gateway knows it.

    Attributes
    ----------
    configuration
        Its number, 0 without one.
    source
        Where it came from: a listing, a watch of the store, a relay, or a push of another gateway.
    age
        Time since this gateway's data was proved to be current, None if it never was.
    """

    configuration: int
    source: str = ""
    age: timedelta | None = None

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line."""
        age_ms = None if self.age is None else self.age // timedelta(milliseconds=1)
        return {
            "configuration": self.configuration,
            "configuration_source": self.source,
            "verified_age_ms": age_ms,
        }


NO_KNOWLEDGE = Knowledge(0)
