"""How large the requests of each rule are: large ones are better kept within a zone."""

from cardamomloft.core.estimates import SMOOTHING

BULKY_BYTES = 16 * 1024
"""Size of a rule's bodies from which its objects are placed by zone instead of by region.

Placing all by zone spares nearly all bytes between zones, but gives objects that two zones' entries
ask for two sets of endpoints: worth on Pimento's scale-2 0.566 against 0.684 by region, on Anwani's
0.579 against 0.630 (one run each). Uploads of 60 KB are 8 % of the requests and 90 % of the bytes.
"""


class Sizes:
    """How large the bodies of each rule's requests are, smoothed."""

    def __init__(self) -> None:
        self._bytes: dict[str, float] = {}

    def record(self, rule: str, size: int) -> None:
        """Note the size of one request's body in bytes."""
        known = self._bytes.get(rule, size)
        self._bytes[rule] = known + (size - known) * SMOOTHING

    def is_bulky(self, rule: str) -> bool:
        """Tell whether the rule's requests are better kept within a zone."""
        return self._bytes.get(rule, 0.0) >= BULKY_BYTES
