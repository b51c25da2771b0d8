"""Average size of the request bodies of each rule."""

from cardamomloft.core.estimates import SMOOTHING_FACTOR

LARGE_BODY_BYTES = 16 * 1024
"""Average body size from which a rule's requests are placed by zone instead of by region.

Placement by zone saves traffic between zones, but a key that is requested in two zones is then
cached in both. That is worth it only for rules with large bodies: where uploads of 60
KB are 8 % of the requests, they are 90 % of the bytes.
"""


class BodySizes:
    """Exponential moving averages of the body sizes, by rule."""

    def __init__(self) -> None:
        self._bytes: dict[str, float] = {}

    def record(self, rule: str, size: int) -> None:
        """Record the body size of one request in bytes."""
        average = self._bytes.get(rule, size)
        self._bytes[rule] = average + (size - average) * SMOOTHING_FACTOR

    def has_large_bodies(self, rule: str) -> bool:
        """Return whether the rule's requests should be kept within a zone."""
        return self._bytes.get(rule, 0.0) >= LARGE_BODY_BYTES
