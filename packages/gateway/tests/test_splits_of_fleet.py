"""Splits keep their weights over all gateways from the first requests on."""

import random
from collections import Counter

import pytest
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.routes import ServiceShare
from cardamomloft.gateway.calls import CallerHeaders
from cardamomloft.gateway.inforce import PlanInForce
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import SETTINGS, GatewayHarness
from twisted.internet.task import Clock

HEADERS = CallerHeaders("x-id", "x-deadline-ms", "x-key")
HEAD = RequestHead(
    "GET",
    kit.RULE.prefix,
    "",
    (("host", kit.RULE.host), ("x-id", "r"), ("x-request-id", "r")),
    "127.0.0.1",
    0,
    False,
)
MAX_DEVIATION = 0.1
SEEDS = 12

WEIGHTS = [(9, 1), (8, 2), (5, 5), (6, 3, 1), (1, 1, 1), (4, 3, 2, 1), (97, 1, 1, 1)]


class Fleet:
    """Gateways that put the same configurations in force, each at an instant of its own."""

    def __init__(self, weights: tuple[int, ...], count: int, rng: random.Random) -> None:
        self.services = tuple(
            ServiceShare(f"s{number}", weight) for number, weight in enumerate(weights)
        )
        self.rng = rng
        self.clock = kit.Time(Clock()).clock
        self.version = 1
        self.gateways = [self._start() for _ in range(count)]
        self.chosen: Counter[str] = Counter()

    def _start(self) -> PlanInForce:
        plan = PlanInForce(self.clock, random.Random(self.rng.random()), HEADERS, lambda: True)
        plan.replace(self._plan())
        return plan

    def _plan(self):
        rule = kit.RULE._replace(services=self.services)
        return kit.plan(self.version, (rule, kit.ORDERS))

    def change(self) -> None:
        """Put a configuration in force that leaves the weights as they are."""
        self.version += 1
        for gateway in self.gateways:
            gateway.replace(self._plan())

    def restart(self, count: int) -> None:
        for number in self.rng.sample(range(len(self.gateways)), count):
            self.gateways[number] = self._start()

    def send(self, count: int) -> None:
        for _ in range(count):
            self.chosen[self.rng.choice(self.gateways).read(HEAD).service] += 1

    def deviation(self) -> float:
        """Return the largest difference between a service's part and its weight's."""
        total, sent = sum(share.weight for share in self.services), self.chosen.total()
        return max(
            abs(self.chosen[share.service] / sent - share.weight / total) for share in self.services
        )


@pytest.mark.parametrize("weights", WEIGHTS)
@pytest.mark.parametrize("count", [10, 30, 87, 300])
def test_few_requests_at_each_of_many_gateways_keep_the_weights(count, weights):
    for seed in range(SEEDS):
        fleet = Fleet(weights, count, random.Random(seed))
        fleet.send(300)
        assert fleet.deviation() <= MAX_DEVIATION, seed


@pytest.mark.parametrize("weights", WEIGHTS)
@pytest.mark.parametrize("count", [10, 87, 300])
def test_weights_are_kept_while_versions_and_restarts_come_in_series(count, weights):
    for seed in range(SEEDS):
        fleet = Fleet(weights, count, random.Random(seed))
        for step in range(15):
            fleet.send(20)
            if step % 3:
                fleet.change()
            if step % 4 == 0:
                fleet.restart(count // 3)
        assert fleet.deviation() <= MAX_DEVIATION, seed


@pytest.mark.parametrize("weights", WEIGHTS)
def test_first_request_of_a_gateway_goes_to_each_service_by_its_weight(weights):
    fleet = Fleet(weights, 2000, random.Random(7))
    fleet.chosen.update(gateway.read(HEAD).service for gateway in fleet.gateways)
    assert fleet.deviation() <= 0.05


@pytest.mark.parametrize("weights", WEIGHTS)
def test_second_request_does_not_depend_on_the_versions_before_it(weights):
    fleet = Fleet(weights, 2000, random.Random(8))
    for _ in range(2):
        fleet.chosen.clear()
        fleet.chosen.update(gateway.read(HEAD).service for gateway in fleet.gateways)
        assert fleet.deviation() <= 0.05
        fleet.change()


def test_version_that_leaves_the_weights_does_not_begin_the_rotation_anew():
    fleet = Fleet((9, 1), 1, random.Random(3))
    for _ in range(100):
        fleet.send(1)
        fleet.change()
    assert fleet.chosen["s1"] in (9, 10, 11)


def test_version_that_changes_the_weights_divides_by_the_new_ones():
    fleet = Fleet((9, 1), 87, random.Random(3))
    fleet.send(300)
    fleet.services = (ServiceShare("s0", 1), ServiceShare("s1", 9))
    fleet.change()
    fleet.chosen.clear()
    fleet.send(300)
    assert fleet.deviation() <= MAX_DEVIATION


def test_changed_settings_leave_the_rotation_as_it_is():
    services = (ServiceShare("s0", 9), ServiceShare("s1", 1))
    run = GatewayHarness()
    run.gateway.plan.replace(kit.plan(2, (kit.RULE._replace(services=services),)))
    chosen = Counter()
    for number in range(100):
        chosen[run.gateway.read(HEAD).service] += 1
        run.gateway.reconfigure(SETTINGS | {"lookup_life": f"{number + 1}s"})
    assert chosen["s1"] in (9, 10, 11)
