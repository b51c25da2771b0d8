"""The settings file, read again when it changes; an invalid or incomplete file is ignored."""

import pathlib
from collections.abc import Callable

from cardamomloft.gateway.settings import GatewaySettings, load_settings
from cardamomloft.runtime.logs import log
from expression import Result

RETRY_INTERVAL_S = 0.2
"""Pause between two attempts to read a settings file that is not valid yet, in seconds."""


class SettingsFile:
    """One settings file.

    Parameters
    ----------
    path
        Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._last_text: str | None = None

    def read(self) -> GatewaySettings | None:
        """Return the checked settings, or None after logging the mistakes."""
        try:
            self._last_text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            log("settings-unreadable", path=str(self._path), detail=str(exc))
            return None
        match load_settings(self._last_text):
            case Result(tag="error", error=mistakes):
                texts = [str(mistake) for mistake in mistakes]
                log("settings-wrong", path=str(self._path), mistakes=texts)
                return None
            case Result(ok=cfg):
                return cfg

    def wait(self, timeout_s: float, sleep: Callable[[float], None]) -> GatewaySettings | None:
        """Return the settings once the file is valid, or None after the timeout.

        A process may start while its file is being written. If it ended at once, the supervisor
        would count that as a failure, and its next start might be too early again.

        Parameters
        ----------
        timeout_s
            How long to wait, in seconds.
        sleep
            Blocks for a number of seconds, such as `time.sleep`: no event loop is running yet.
        """
        for _ in range(max(1, round(timeout_s / RETRY_INTERVAL_S))):
            cfg = self.read()
            if cfg is not None:
                return cfg
            sleep(RETRY_INTERVAL_S)
        return None

    def read_if_changed(self) -> GatewaySettings | None:
        """Return the settings if the file's content differs from that of the last read.

        Mistakes are logged, and an invalid file is not read again before it has changed.
        """
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError):
            # The file may be being replaced; the next check reads it.
            return None
        return None if text == self._last_text else self.read()
