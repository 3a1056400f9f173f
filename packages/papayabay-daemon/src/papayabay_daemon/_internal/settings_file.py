"""Reloads the settings file while the daemon runs."""

import asyncio
import os

import logbook

from papayabay_core.exceptions import SettingsError

CHECK_SECONDS = 2.0
"""Interval of checks for a change that comes without a SIGHUP."""
log = logbook.Logger("papayabay.settings")


class SettingsFile:
    """The file that the settings were loaded from, reloaded when it changes.

    Parameters
    ----------
    path : str
    load : callable
        Takes the path and returns the settings; raises `SettingsError`.
    settings : DaemonSettings
        As loaded when the daemon started.

    Attributes
    ----------
    listeners : list of callable
        Called with the settings after each successful reload.
    """

    def __init__(self, path, load, settings):
        self.path = path
        self.load = load
        self.settings = settings
        self.listeners = []
        self.stamp = self.read_stamp()

    def read_stamp(self):
        """Return a value that changes when the file is rewritten or replaced.

        None without a file.
        """
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    async def run(self):
        """Reload the file whenever it has changed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self.read_stamp() != self.stamp:
                self.reload("the file changed")

    def reload(self, reason):
        """Load the file again; keep the previous settings if it is invalid.

        An incompletely written or invalid file must not end a running daemon.

        Parameters
        ----------
        reason : str
            What caused the reload, for the log.
        """
        self.stamp = self.read_stamp()
        try:
            settings = self.load(self.path)
        except SettingsError as error:
            log.error(
                "settings not reloaded ({}): {}; keeping the previous settings",
                reason,
                error,
            )
            return
        changed = changed_keys(self.settings.model_dump(), settings.model_dump())
        self.settings = settings
        log.notice("settings reloaded ({}); changed: {}", reason, changed or "nothing")
        for listener in self.listeners:
            listener(settings)


def changed_keys(old, new):
    """Return the dotted names of the settings whose values differ."""
    return [
        f"{table}.{key}"
        for table, values in new.items()
        for key, value in (values or {}).items()
        if value != (old[table] or {}).get(key)
    ]
