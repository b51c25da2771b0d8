"""Operation ids: who may run a request that must not run twice.

A system id names its only executor, so no two entries can ever run it and no store is asked. An
id of the caller's own making names nobody; :mod:`cardamomloft.core.claims` settles who runs it.
"""

import base64
import hashlib
import hmac
import re
import typing as t
import uuid
from datetime import UTC, datetime, timedelta

from expression import Error, Ok, Result

from .clock import Clock
from .model import Incarnation, Refusal, RefusalReason, Request, Unknown

ID_VALIDITY_WINDOW = timedelta(minutes=15)
ROTATION = timedelta(seconds=10)

_MAC_BYTES = 16
_MIN_SECRET_BYTES = 16
_SYSTEM_ID_DOTS = 4

_SEAT = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_INCARNATION = re.compile(r"[A-Za-z0-9_-]{1,64}")
_EPOCH = re.compile(r"0|[1-9][0-9]{0,11}")
_MAC = re.compile(r"[A-Za-z0-9_-]{22}")
_UNIQUE = re.compile(r"[A-Za-z0-9_-]{16,64}")
_UUID = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", re.IGNORECASE)


class SystemId(t.NamedTuple):
    """An id under a prefix that an entry handed out; `text` is the whole of it."""

    seat: str
    incarnation: str
    epoch: int
    mac: str
    text: str

    @property
    def executor(self) -> Incarnation:
        """The only process that may run the operation."""
        return Incarnation(self.seat, self.incarnation)


class CallerSuppliedId(t.NamedTuple):
    """An id that the caller made: a UUIDv7 in canonical form, and the UTC time stamped in it."""

    text: str
    stamped: datetime


class Prefix(t.NamedTuple):
    """A prefix to hand out; ids under it are accepted for `left` from now on."""

    text: str
    left: timedelta


def parse_operation(text: str) -> Result[SystemId | CallerSuppliedId, Refusal]:
    """Read an Idempotency-Key.

    Parameters
    ----------
    text
        Either `<prefix>.<unique>` with 16 to 64 characters from `A-Z a-z 0-9 _ -` as the unique
        part, or a UUIDv7. Quotes of the structured-field form of the header are allowed.

    Returns
    -------
    Result
        The id, or a :class:`Refusal` that says what is wrong with the text. The executor's mac
        and the validity are not checked here.
    """
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if text.startswith("v1."):
        return _parse_system(text)
    return _parse_own(text)


def fingerprint(req: Request, body: bytes = b"") -> str:
    """Condense what must be equal when an id is presented again.

    Parameters
    ----------
    req
        The request; service, method, path and size count, headers and deadline do not.
    body
        The content, where it is held whole; a streamed one is told apart by its size only.
    """
    digest = hashlib.sha256()
    for part in (req.service, req.method, req.path, str(req.size)):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(body)
    return digest.hexdigest()[:32]


class OperationIds:
    """Hands out this process's prefixes and checks the ids under them.

    Parameters
    ----------
    me
        The executor that the prefixes name.
    clock
        Only its monotonic time is used, and only this process compares it, so neither skewed nor
        jumping wall clocks matter.
    secret
        At least 16 random bytes drawn by this process. Nobody else can or need verify.
    window
        How long after the start of its epoch an id may begin.
    rotation
        Length of an epoch.
    """

    def __init__(
        self,
        me: Incarnation,
        clock: Clock,
        secret: bytes,
        *,
        window: timedelta = ID_VALIDITY_WINDOW,
        rotation: timedelta = ROTATION,
    ) -> None:
        if not (_SEAT.fullmatch(me.seat) and _INCARNATION.fullmatch(me.number)):
            raise ValueError(f"not usable in an operation id: {me}")
        if len(secret) < _MIN_SECRET_BYTES:
            raise ValueError("the secret is too short")
        if not timedelta(0) < rotation < window:
            raise ValueError("rotation must be positive and shorter than the window")
        self._me = me
        self._clock = clock
        self._secret = secret
        self._window = window
        self._rotation = rotation
        self._origin = clock.monotonic()
        # Every look-up needs the prefix, and its mac changes with the epoch only.
        self._prefix_epoch = -1
        self._prefix_text = ""

    def prefix(self) -> Prefix:
        """Return the prefix of the current epoch with the time for which its ids are accepted."""
        epoch = self._epoch()
        if epoch != self._prefix_epoch:
            stem = f"v1.{self._me.seat}.{self._me.number}.{epoch}"
            self._prefix_epoch, self._prefix_text = epoch, f"{stem}.{self._mac(stem)}"
        return Prefix(self._prefix_text, self._expires(epoch) - self._clock.monotonic())

    def check(self, operation: SystemId) -> Result[timedelta, Refusal | Unknown]:
        """Decide whether an id that names this seat may go to the ledger.

        Returns
        -------
        Result
            The monotonic instant from which the id may no longer begin. It is returned for an
            expired id too, since only the ledger knows whether that has run;
            :meth:`~cardamomloft.core.ledger.Ledger.begin` refuses it. Otherwise a refusal of a
            forged id, or :class:`Unknown` for one of another life of this seat.

        Raises
        ------
        ValueError
            The id names another seat: it has to be passed on.
        """
        if operation.seat != self._me.seat:
            raise ValueError("the id names another seat")
        if operation.incarnation != self._me.number:
            return Error(Unknown("the executor has been replaced; outcome unknown, not repeated"))
        stem, _mac, _unique = operation.text.rsplit(".", 2)
        if not hmac.compare_digest(self._mac(stem), operation.mac):
            return Error(_invalid("no entry has handed out this prefix"))
        if operation.epoch > self._epoch():
            return Error(_invalid("the prefix lies in the future"))
        return Ok(self._expires(operation.epoch))

    def _epoch(self) -> int:
        return (self._clock.monotonic() - self._origin) // self._rotation

    def _expires(self, epoch: int) -> timedelta:
        return self._origin + epoch * self._rotation + self._window

    def _mac(self, stem: str) -> str:
        digest = hmac.digest(self._secret, stem.encode("ascii"), "sha256")
        return base64.urlsafe_b64encode(digest[:_MAC_BYTES]).decode("ascii").rstrip("=")


def _parse_system(text: str) -> Result[SystemId | CallerSuppliedId, Refusal]:
    # Only the seat may hold dots, so splitting from the right is unambiguous.
    parts = text.removeprefix("v1.").rsplit(".", _SYSTEM_ID_DOTS)
    if len(parts) != _SYSTEM_ID_DOTS + 1:
        return Error(_invalid("expected v1.<seat>.<incarnation>.<epoch>.<mac>.<unique>"))
    patterns = (_SEAT, _INCARNATION, _EPOCH, _MAC, _UNIQUE)
    names = ("seat", "incarnation", "epoch", "mac", "unique part")
    for pattern, name, part in zip(patterns, names, parts, strict=True):
        if not pattern.fullmatch(part):
            return Error(_invalid(f"the {name} is malformed"))
    seat, incarnation, epoch, mac, _unique = parts
    return Ok(SystemId(seat, incarnation, int(epoch), mac, text))


def _parse_own(text: str) -> Result[SystemId | CallerSuppliedId, Refusal]:
    if not _UUID.fullmatch(text):
        return Error(_invalid("expected an id under a prefix from a look-up, or a UUIDv7"))
    value = uuid.UUID(text)
    if value.variant != uuid.RFC_4122 or value.version != 7:
        return Error(
            _invalid(
                "an id of your own must be a UUIDv7: the time in it bounds how long its claim"
                " is kept, and without it the claim would have to be kept for ever"
            )
        )
    try:
        stamped = datetime.fromtimestamp(0, UTC) + timedelta(milliseconds=value.int >> 80)
    except OverflowError:
        return Error(_invalid("the time in the UUIDv7 is out of range"))
    return Ok(CallerSuppliedId(str(value), stamped))


def _invalid(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_OPERATION, detail)
