"""The script that classifies, from logs, why requests were slow or not served."""

import json
import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))

from losses import cause_of, count_causes, parse_lines, sum_counters  # noqa: E402


def send(ms=100.0, outcome="served", touch="known", reason="home", load="1.0/4", detail=""):
    return {
        "ms": ms,
        "outcome": outcome,
        "touch": touch,
        "reason": reason,
        "load": load,
        "detail": detail,
    }


def row(*sends, outcome="served", ms=110.0, detail=""):
    return {
        "outcome": outcome,
        "ms": ms,
        "sends": list(sends),
        "detail": detail,
        "service": "menus",
    }


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        (row(send()), "slow there"),
        (row(send(load="4.0/4")), "waiting there"),
        (row(send(touch="first")), "touch: first, home"),
        (row(send(touch="beside-first", reason="overflow")), "touch: beside-first, overflow"),
        (row(send(), ms=300.0), "waiting here"),
        (row(send(200.0, "failed"), send(50.0), ms=260.0), "an earlier send: failed"),
        (row(outcome="refused", detail="no endpoint has room for 7: i-1"), "no room"),
        (row(outcome="refused", detail="status 503"), "status 503"),
        (row(send(outcome="refused"), outcome="refused"), "refused there"),
        (row(send(detail="deadline passed"), outcome="late"), "no answer: deadline passed"),
        (row(outcome="failed"), "no answer: not sent"),
        (row(outcome="caller-left"), "caller-left"),
    ],
)
def test_each_request_has_one_cause(fields, cause):
    assert cause_of(fields) == cause


def line(kind, at, **fields):
    return "12.3 entry-1 " + json.dumps({"message_type": kind, "timestamp": at, **fields})


def test_log_lines_are_aggregated_by_service_and_by_time():
    texts = [
        "Traceback of something else",
        '{"half',
        "[1]",
        line("elsewhere:request", 1.0),
        line("cardamomloft:started", 100.0),
        line("cardamomloft:request", 101.0, **row(send(touch="first"))),
        line("cardamomloft:request", 101.0, outcome="refused", detail="no rule"),
        line("cardamomloft:figures", 101.0, **{"sends.home.menus": 3, "requests": 5}),
        line("cardamomloft:figures", 103.0, **{"sends.home.orders": 4}),
        line("cardamomloft:figures", 105.0, requests=1),
    ]
    lines = list(parse_lines(texts))
    assert [found.kind for found in lines].count("request") == 2
    assert count_causes(lines) == {"menus": {"touch: first, home": 1}}
    assert sum_counters(lines, 100.0) == {
        0.0: {"sends.home": 7, "requests": 5},
        4.0: {"requests": 1},
    }
