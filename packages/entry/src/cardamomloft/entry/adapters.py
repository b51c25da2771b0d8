"""The adapters of what is not ours, as the settings name them."""

import typing as t
from datetime import timedelta

from cardamomloft.entry.settings import DEFAULTS, EntrySettings
from cardamomloft.store.keyvalue import HttpStore, Store
from cardamomloft.store.vms import HttpVmList, VmList
from cardamomloft.upstreams.client import UpstreamClient


class Outside(t.NamedTuple):
    """The adapters of what is not ours."""

    store: Store
    vms: VmList
    client: UpstreamClient


def connect(reactor: t.Any, cfg: EntrySettings) -> Outside:
    """Make the adapters that the settings name; nothing is sent yet."""
    timeout = timedelta(milliseconds=cfg.get("store_timeout_ms", DEFAULTS["store_timeout_ms"]))
    return Outside(
        HttpStore(reactor, _address(cfg["store"]), timeout=timeout),
        HttpVmList(reactor, _address(cfg["vms"]), timeout=timeout),
        UpstreamClient(reactor),
    )


def _address(url: str) -> str:
    return url.removeprefix("http://")
