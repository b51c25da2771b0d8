"""Callers of endpoints that answer uploads early, and the check of what these endpoints got.

All times are those of ``time.monotonic``, in seconds.
"""

import contextlib
import hashlib
import http.client
import random
import socket
import threading
import time
import typing as t
from collections.abc import Iterable

from cardamomloft_standins import endpoints
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.earlyanswers import FRAMINGS, Plan, Upload
from cardamomloft_standins.linkfleet import LinkFleet
from cardamomloft_standins.linkhistory import GRACE_S, LAST_SIXTH_S, SIGNAL_SLACK_S, Signalled

PREFIX = "/videos"

RULE = {
    "name": "videos",
    "when": {"host": endpoints.HOST, "path": f"{PREFIX}/"},
    "then": {
        "services": [{"service": "media", "weight": 1}],
        "idempotent": True,
        "timeout": "3s",
        "target": "2s",
        "attempts": 2,
        "priority": 2,
    },
}

MIB = 1024 * 1024
SIZES = (60_000, 200_000, 900_000, MIB, MIB + 1, 3_000_000)
"""Sizes of bodies in bytes, around that up to which gateways hold them."""

FIRST_BYTES = 64 * 1024
MAX_PAUSE_S = 1.5
DEADLINES_S = (0.7, 3.0)
FOLLOWER_DEADLINE_S = 0.7
PART_BYTES = 100_000
SOCKET_TIMEOUT_S = 6.0
NOTICE_S = 3.0
"""Time in which an endpoint learns that an upload stays incomplete, in seconds."""


class SentUpload(t.NamedTuple):
    """An upload that was sent from `at` on.

    Attributes
    ----------
    gateway
        The gateway that got it.
    name
        Its request id.
    status
        Status of its answer, 0 without one.
    sha256
        Digest of the whole body.
    end
        When its caller had sent and received all that it wanted, or left.
    whole
        Whether its caller sent all of it.
    """

    gateway: str
    name: str
    at: float
    status: int
    sha256: str
    end: float
    whole: bool


class Trouble(t.NamedTuple):
    """A change of a gateway's links to the endpoints; they are in the state `cut` from `at` on."""

    gateway: str
    at: float
    cut: Cut


class EarlyUploader(threading.Thread):
    """Sends uploads one after the other, and requests with a short deadline beside them.

    Parameters
    ----------
    fleet
        The gateways, of which one is drawn for each upload.
    prefix
        Prefix of the request ids.
    seed
        Source of the draws.
    """

    def __init__(self, fleet: LinkFleet, prefix: str, seed: str) -> None:
        super().__init__(daemon=True)
        self.sent: list[SentUpload] = []
        self.stopped = threading.Event()
        self._fleet = fleet
        self._prefix = prefix
        self._rng = random.Random(seed)
        self._count = 0

    def run(self) -> None:
        """Send until the event `stopped` is set."""
        while not self.stopped.is_set():
            self._upload()
            for _ in range(self._rng.choice([0, 0, 1, 3])):
                threading.Thread(target=self._follow, args=(self._draw_gateway(),)).start()

    def draw_plan(self) -> Plan:
        """Return how the next upload is to be answered."""
        rng = self._rng
        return Plan(
            after=rng.choice([0, 1000, FIRST_BYTES, 150_000]),
            pause=rng.choice([0.0, 0.1, 0.5, MAX_PAUSE_S]),
            step=rng.choice([0.0, 0.0, 0.01]),
            status=rng.choice([200, 200, 200, 201, 404, 500]),
            framing=rng.choice(FRAMINGS),
            half_close=rng.random() < 0.1,
            leave=rng.random() < 0.1,
        )

    def _draw_gateway(self) -> dict[str, t.Any]:
        return self._rng.choice(self._fleet.settings)

    def _next_name(self) -> str:
        self._count += 1
        return f"{self._prefix}-{self._count}"

    def _upload(self) -> None:
        rng, cfg, name = self._rng, self._draw_gateway(), self._next_name()
        body = rng.randbytes(rng.choice(SIZES))
        plan, chunked, leaves = self.draw_plan(), rng.random() < 0.3, rng.random() < 0.25
        pipelines = not leaves and rng.random() < 0.3
        head = _head("POST", name, rng.choice(DEADLINES_S), plan, len(body), chunked=chunked)
        data = _in_chunks(body) if chunked else body
        stays_whole = not leaves or len(body) <= MIB
        if not stays_whole:
            data = data[: len(data) * 2 // 3]
        at, sent, status = time.monotonic(), False, 0
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            host, _, port = cfg["callers"].rpartition(":")
            with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as conn:
                conn.sendall(head)
                for start in range(0, len(data), PART_BYTES):
                    conn.sendall(data[start : start + PART_BYTES])
                sent = stays_whole
                if pipelines:
                    behind = _head("GET", self._next_name(), FOLLOWER_DEADLINE_S)
                    conn.sendall(behind)
                answer = http.client.HTTPResponse(conn)
                answer.begin()
                answer.read()
                status = answer.status
        digest, end = hashlib.sha256(body).hexdigest(), time.monotonic()
        self.sent.append(SentUpload(cfg["name"], name, at, status, digest, end, sent))

    def _follow(self, cfg: dict[str, t.Any]) -> None:
        """Send a request that may come to the connection of an upload."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            host, _, port = cfg["callers"].rpartition(":")
            with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as conn:
                conn.sendall(_head("GET", self._next_name(), FOLLOWER_DEADLINE_S))
                http.client.HTTPResponse(conn).begin()


def _head(
    method: str,
    name: str,
    deadline_s: float,
    plan: Plan | None = None,
    size: int = 0,
    *,
    chunked: bool = False,
) -> bytes:
    headers = {
        "Host": endpoints.HOST,
        "X-Request-Id": name,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
        **({} if plan is None else plan.headers()),
    }
    headers |= {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": str(size)}
    lines = [f"{method} {PREFIX}/{name} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join((*lines, "", "")).encode()


def _in_chunks(body: bytes) -> bytes:
    parts = (body[start : start + PART_BYTES] for start in range(0, len(body), PART_BYTES))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def lost_uploads(
    sent: Iterable[SentUpload],
    got: Iterable[Upload],
    killed: Iterable[Signalled],
    stopped: Iterable[Signalled],
    troubles: Iterable[Trouble],
    left: Iterable[str],
) -> list[tuple[SentUpload, list[Upload]]]:
    """Return the uploads that were acknowledged and that no endpoint has got whole, unless excused.

    Parameters
    ----------
    sent
        The uploads of the callers.
    got
        What endpoints have got.
    killed, stopped
        The gateways that were killed, and those that were told to stop.
    troubles
        The changes of links to the endpoints.
    left
        Names of the uploads whose endpoints have closed their connections.
    """
    by_name: dict[str, list[Upload]] = {}
    for upload in got:
        by_name.setdefault(upload.name, []).append(upload)
    killed, stopped, troubles, left = tuple(killed), tuple(stopped), tuple(troubles), set(left)
    found = []
    for one in sent:
        uploads = by_name.get(one.name, [])
        acknowledged = 200 <= one.status < 400 and one.whole and one.name not in left
        is_whole = any(upload.whole and upload.sha256 == one.sha256 for upload in uploads)
        if not acknowledged or is_whole:
            continue
        end = max((upload.ended for upload in uploads), default=one.end)
        if not _is_excused(one.at, end, killed, stopped, troubles):
            found.append((one, uploads))
    return found


def late_notices(
    sent: Iterable[SentUpload], got: Iterable[Upload], troubles: Iterable[Trouble]
) -> list[tuple[SentUpload, Upload]]:
    """Return the uploads whose callers left, and whose endpoints have learnt of it late.

    While links hang, endpoints learn of nothing.
    """
    by_name = {one.name: one for one in sent if not one.whole and one.status}
    pairs = [(by_name[upload.name], upload) for upload in got if upload.name in by_name]
    hanging = [one for one in troubles if one.cut is Cut.HANG]
    return [
        (one, upload)
        for one, upload in pairs
        if upload.ended > one.end + MAX_PAUSE_S + NOTICE_S
        and not any(trouble.at <= upload.ended for trouble in hanging)
    ]


def mixed_uploads(sent: Iterable[SentUpload], got: Iterable[Upload]) -> list[Upload]:
    """Return the uploads that were taken for whole with other bytes than their callers'."""
    digests = {one.name: one.sha256 for one in sent}
    return [one for one in got if one.whole and digests.get(one.name) not in (None, one.sha256)]


def _is_excused(
    begin: float,
    end: float,
    killed: tuple[Signalled, ...],
    stopped: tuple[Signalled, ...],
    troubles: tuple[Trouble, ...],
) -> bool:
    """Return whether a process or link ended an upload that was on its way from `begin` to `end`.

    An upload may go through any two gateways.
    """
    if any(begin <= one.at + SIGNAL_SLACK_S and one.at <= end for one in killed):
        return True
    last = ((one.at + LAST_SIXTH_S, one.at + GRACE_S + SIGNAL_SLACK_S) for one in stopped)
    if any(start <= end <= over for start, over in last):
        return True
    for number, one in enumerate(troubles):
        after = (later.at for later in troubles[number + 1 :] if later.gateway == one.gateway)
        over = next(after, float("inf")) + SIGNAL_SLACK_S
        if one.cut in (Cut.HANG, Cut.RESET) and one.at <= end and begin <= over:
            return True
    return False
