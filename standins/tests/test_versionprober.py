"""The verdicts on probes: a late configuration, an older one, and what excuses a gateway."""

from cardamomloft_standins.versionprober import (
    APPLY_S,
    CONTACT_S,
    KEPT,
    Disturbance,
    Probe,
    Version,
    late,
    older,
    version_rules,
)

VERSIONS = [Version(1, 10.0), Version(2, 20.0)]
BEGUN = [9.9, 19.9]
ABSENT = Probe("e-1", 7, 2, 20.0 + APPLY_S, 22.6, 404)
PRESENT = Probe("e-1", 7, 2, 21.0, 21.1, 200)


def test_configuration_that_is_not_in_force_in_time_is_found():
    assert late([ABSENT], VERSIONS, BEGUN, []) == [ABSENT]
    assert not late([ABSENT._replace(sent=22.4)], VERSIONS, BEGUN, [])
    assert not late([PRESENT._replace(sent=30.0)], VERSIONS, BEGUN, [])


def test_configuration_that_is_not_confirmed_may_be_absent():
    assert not late([ABSENT], VERSIONS[:1], BEGUN, [])


def test_disturbed_gateway_is_excused_until_it_had_contact():
    for name in ("", "e-1"):
        end = ABSENT.sent - CONTACT_S
        assert not late([ABSENT], VERSIONS, BEGUN, [Disturbance(name, end - 1, end + 0.1)])
        assert late([ABSENT], VERSIONS, BEGUN, [Disturbance(name, end - 1, end - 0.1)])
        assert late([ABSENT], VERSIONS, BEGUN, [Disturbance(name, ABSENT.received + 1, 40.0)])
    assert late([ABSENT], VERSIONS, BEGUN, [Disturbance("e-2", 0.0, 40.0)])


def test_process_that_goes_back_to_an_older_configuration_is_found():
    assert older([PRESENT, ABSENT], BEGUN) == [(PRESENT, ABSENT)]
    assert not older([PRESENT, ABSENT._replace(pid=8)], BEGUN)
    assert not older([PRESENT, ABSENT._replace(gateway="e-2")], BEGUN)
    assert not older([PRESENT, ABSENT._replace(sent=21.2)], BEGUN)
    assert not older([ABSENT, PRESENT._replace(sent=23.0, received=23.1)], BEGUN)


def test_rule_that_a_newer_configuration_lacks_may_be_absent():
    begun = BEGUN + [21.0] * KEPT
    assert not late([ABSENT], VERSIONS, begun, [])
    assert not older([PRESENT, ABSENT], begun)
    assert [rule["name"] for rule in version_rules(KEPT + 2)][0] == "version-3"
