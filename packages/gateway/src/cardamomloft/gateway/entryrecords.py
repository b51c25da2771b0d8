"""How an entry's own record is written and read, and what counts as an address."""

import ipaddress
import re

import msgspec
from cardamomloft.core.registrations import EntryRecord

MAX_PORT = 65_535

_PORT = re.compile(r"[1-9][0-9]{0,4}\Z")


def encode_entry(record: EntryRecord) -> bytes:
    """Return the value under which an entry is recorded."""
    fields = record._asdict()
    if not record.peers:
        del fields["peers"]
    return msgspec.json.encode(fields)


def read_entry(value: bytes) -> EntryRecord:
    """Return the record in a value; fields that a newer entry adds are left aside.

    Raises
    ------
    msgspec.DecodeError, TypeError, ValueError
        If it is not a record with an address that callers can be sent to.
    """
    fields = msgspec.json.decode(value, type=dict[str, str])
    record = EntryRecord(**{name: fields[name] for name in EntryRecord._fields if name in fields})
    peers = record.peers and address_text(record.peers)
    return record._replace(address=address_text(record.address), peers=peers)


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
        raise ValueError("the port is none")
    return text
