"""Each way to learn of a configuration keeps the bound while answers are lost, late or cut."""

from datetime import timedelta

import pytest
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.relayharness import (
    CALL_TIMEOUT,
    DRAIN_TIME,
    ENTRY_COUNT,
    Deployment,
    Gateway,
)

MS = kit.MS
SMALL = 6
"""Number of gateways of a region in which each reads the store itself."""

PHASES = range(0, 2600, 130)
"""Instants of a change after the last one, in milliseconds: it meets each step of a poll."""


def _deployment(count: int, phase: int) -> Deployment:
    run = Deployment(seed=phase, count=count)
    run.run(phase * MS)
    return run


def _delays(run: Deployment, gateways: list[Gateway], changes: int = 4) -> list[timedelta]:
    """Make changes 1.3 s apart, and return how long each took at each of the gateways."""
    made = {}
    for _ in range(changes):
        run.configure()
        made[run.number] = run.time.clock.monotonic()
        run.run(1300 * MS)
    run.run(2 * DRAIN_TIME)
    return [_delay(gateway, number, at) for gateway in gateways for number, at in made.items()]


def _delay(gateway: Gateway, number: int, made_at: timedelta) -> timedelta:
    at = min((at for n, at in gateway.put_in_force.items() if n >= number), default=None)
    return timedelta.max if at is None else at - made_at


def _check(run: Deployment, gateways: list[Gateway], changes: int = 4) -> None:
    assert max(_delays(run, gateways, changes)) <= DRAIN_TIME
    for gateway in run.gateways:
        assert gateway.plans == sorted(set(gateway.plans))
        assert gateway.faults == []


sizes = pytest.mark.parametrize("count", [SMALL, ENTRY_COUNT])
phases = pytest.mark.parametrize("phase", PHASES)


@sizes
@phases
@pytest.mark.parametrize("fault", ["cut", "refused"])
def test_gateways_that_the_store_alone_rejects_learn_of_changes_in_time(count, phase, fault):
    run = _deployment(count, phase)
    rejected = run.gateways[: count // 3]
    getattr(run.store, fault).update(gateway.name for gateway in rejected)
    _check(run, run.gateways)


@sizes
@phases
@pytest.mark.parametrize("fault", ["losing", "breaking"])
@pytest.mark.parametrize("answers", [1, 2, 3])
@pytest.mark.parametrize("changed", [False, True])
def test_lost_and_cut_answers_delay_no_change_beyond_the_bound(
    count, phase, fault, answers, changed
):
    """After a change each gateway pauses, which is the longest way to a poll that gets lost."""
    run = _deployment(count, phase)
    if changed:
        run.configure()
        run.run(50 * MS)
    for name in {run.gateways[0].name, *run.relays}:
        getattr(run.store, fault)[name] = answers
    _check(run, run.gateways)


@sizes
@phases
@pytest.mark.parametrize("fault", ["losing", "breaking"])
def test_answer_that_every_gateway_loses_delays_no_change_beyond_the_bound(count, phase, fault):
    run = _deployment(count, phase)
    run.configure()
    run.run(50 * MS)
    for gateway in run.gateways:
        getattr(run.store, fault)[gateway.name] = 1
    _check(run, run.gateways)


@sizes
@phases
def test_late_answers_delay_no_change_beyond_the_bound(count, phase):
    run = _deployment(count, phase)
    run.store.answer_delay = CALL_TIMEOUT - 20 * MS
    _check(run, run.gateways)


@sizes
@phases
def test_answer_that_cannot_be_used_leads_to_a_listing_and_not_to_the_same_request(count, phase):
    run = _deployment(count, phase)
    run.store.garbled.update(gateway.name for gateway in run.gateways)
    _check(run, run.gateways)


@sizes
@pytest.mark.parametrize("phase", [0, 650, 1300])
def test_forgotten_history_delays_no_change_beyond_the_bound(count, phase):
    run = _deployment(count, phase)
    for _ in range(4):
        run.configure()
        run.store.discard_history()
        run.run(DRAIN_TIME)
        assert run.outdated_gateways() == []


@sizes
def test_fault_in_an_answer_does_not_end_the_following_of_changes(count):
    run = _deployment(count, 0)
    gateway = run.gateways[0]
    apply_changes, failing = gateway.view.apply_changes, [True]

    def fail_once(facts):
        if failing and facts:
            failing.clear()
            raise ZeroDivisionError
        apply_changes(facts)

    gateway.view.apply_changes = fail_once
    assert max(_delays(run, [gateway])) <= DRAIN_TIME
    assert len(gateway.faults) == 1


@sizes
@phases
def test_messages_lost_between_gateways_delay_no_change_while_the_store_rejects_some(count, phase):
    run = _deployment(count, phase)
    run.network.loss = 0.3
    run.store.refused.update(gateway.name for gateway in run.gateways[: count // 3])
    _check(run, run.gateways)


@pytest.mark.parametrize("phase", [0, 650, 1300, 1950])
def test_changes_reach_gateways_while_the_store_rejects_all_but_one(phase):
    run = _deployment(SMALL, phase)
    run.store.refused.update(gateway.name for gateway in run.gateways[1:])
    _check(run, run.gateways)


@sizes
def test_gateways_ask_each_other_for_nothing_while_the_store_answers_them(count):
    run = _deployment(count, 0)
    before = sum(gateway.digests for gateway in run.gateways)
    _delays(run, run.gateways, changes=8)
    assert sum(gateway.digests for gateway in run.gateways) == before
