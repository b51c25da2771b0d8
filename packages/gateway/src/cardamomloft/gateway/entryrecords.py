"""Encoding of an entry's record in the store, and validation of addresses."""

import ipaddress
import re

import msgspec
from cardamomloft.core.registrations import EntryRecord

MAX_PORT = 65_535

_PORT = re.compile(r"[1-9][0-9]{0,4}\Z")


def encode_entry(record: EntryRecord) -> bytes:
    """Return the JSON under which an entry is recorded."""
    return msgspec.json.encode({name: text for name, text in record._asdict().items() if text})


def read_entry(value: bytes) -> EntryRecord:
    """Decode an entry's record; unknown fields, as newer entries may write, are ignored.

    Raises
    ------
    msgspec.DecodeError, TypeError, ValueError
        If the value is not a record with valid IPv4 addresses.
    """
    fields = msgspec.json.decode(value, type=dict[str, str])
    record = EntryRecord(**{name: fields[name] for name in EntryRecord._fields if name in fields})
    return record._replace(
        address=address_text(record.address),
        peers=record.peers and address_text(record.peers),
        proxy=record.proxy and address_text(record.proxy),
    )


def address_text(text: str) -> str:
    """Return `text` if it is an IPv4 address with a port, ``ip:port``.

    Raises
    ------
    ValueError
        If it is not.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.match(port) or int(port) > MAX_PORT:
        raise ValueError(f"the port must be 1 to {MAX_PORT}, not {port!r}")
    return text
