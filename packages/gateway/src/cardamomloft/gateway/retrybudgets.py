"""The retry budgets of a gateway, one for each service."""

from cardamomloft.core.budgets import RetryBudget
from cardamomloft.gateway.durations import parse_duration
from cardamomloft.gateway.settings import RetrySettings


class RetryBudgets:
    """Creates the budget of a service when it is first used.

    Parameters
    ----------
    cfg
        The limits of each budget.
    """

    def __init__(self, cfg: RetrySettings) -> None:
        self._cfg = cfg
        self._budgets: dict[str, RetryBudget] = {}

    def of_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            window = parse_duration(self._cfg["window"])
            budget = RetryBudget(self._cfg["ratio"], self._cfg["slack"], window)
            self._budgets[service] = budget
        return budget

    def set_limits(self, cfg: RetrySettings) -> None:
        """Apply changed limits to all budgets."""
        self._cfg = cfg
        for budget in self._budgets.values():
            budget.set_limits(cfg["ratio"], cfg["slack"], parse_duration(cfg["window"]))
