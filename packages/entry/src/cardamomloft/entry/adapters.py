"""Adapters of the external systems that the settings name."""

import typing as t
from datetime import timedelta

from cardamomloft.entry.settings import DEFAULTS, EntrySettings
from cardamomloft.store.keyvalue import HttpStore, Store
from cardamomloft.store.vms import HttpVmList, VmList
from cardamomloft.upstreams.client import UpstreamClient


class Adapters(t.NamedTuple):
    """Adapters of the store, the VM list and the upstreams."""

    store: Store
    vms: VmList
    client: UpstreamClient


def make_adapters(reactor: t.Any, cfg: EntrySettings) -> Adapters:
    """Create the adapters that the settings name, without sending anything."""
    timeout = timedelta(milliseconds=cfg.get("store_timeout_ms", DEFAULTS["store_timeout_ms"]))
    return Adapters(
        HttpStore(reactor, _address(cfg["store"]), timeout=timeout),
        HttpVmList(reactor, _address(cfg["vms"]), timeout=timeout),
        UpstreamClient(reactor),
    )


def _address(url: str) -> str:
    return url.removeprefix("http://")
