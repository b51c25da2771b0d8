"""The settings file while the process runs: read again when it changes, never half of it."""

import pathlib
from collections.abc import Callable

from cardamomloft.gateway.settings import GatewaySettings, load_settings
from cardamomloft.runtime.logs import log
from expression import Result

WAIT_STEP_S = 0.2
"""Pause between two looks at a settings file that is not right yet, in seconds."""


class SettingsFile:
    """One settings file.

    Parameters
    ----------
    path
        Where it is.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._seen: str | None = None

    def read(self) -> GatewaySettings | None:
        """Return the checked settings, or None after logging what is wrong with them."""
        try:
            self._seen = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            log("settings-unreadable", path=str(self._path), detail=str(exc))
            return None
        match load_settings(self._seen):
            case Result(tag="error", error=mistakes):
                texts = [str(mistake) for mistake in mistakes]
                log("settings-wrong", path=str(self._path), mistakes=texts)
                return None
            case Result(ok=cfg):
                return cfg

    def wait(self, patience_s: float, sleep: Callable[[float], None]) -> GatewaySettings | None:
        """Return the settings once the file is right, or None when patience has run out.

        A process may start while its file is being written; ending at once would count as a
        failure of its own, and the next start might come too early again.

        Parameters
        ----------
        patience_s
            How long to wait, in seconds.
        sleep
            Waits some seconds; `time.sleep`, as no loop is running yet.
        """
        for _ in range(max(1, round(patience_s / WAIT_STEP_S))):
            cfg = self.read()
            if cfg is not None:
                return cfg
            sleep(WAIT_STEP_S)
        return None

    def read_if_changed(self) -> GatewaySettings | None:
        """Return the settings if the file has other contents than when it was read last.

        A file that is half written is logged and left; it is read again when it has changed.
        """
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError):
            # Being replaced just now; the settings in force stay, and the next look finds it.
            return None
        return None if text == self._seen else self.read()
