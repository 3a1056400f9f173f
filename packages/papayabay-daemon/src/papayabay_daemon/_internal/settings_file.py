"""Follows the settings file while the daemon runs."""

import asyncio
import os

import logbook

from papayabay_core.exceptions import SettingsError

CHECK_SECONDS = 2.0
"""How often the file is looked at; it may change without any signal."""
log = logbook.Logger("papayabay.settings")


class SettingsFile:
    """The file that the settings came from.

    Parameters
    ----------
    path : str
    load : callable
        Takes the path and returns the settings; raises `SettingsError`.
    settings : DaemonSettings
        As loaded at the start.

    Attributes
    ----------
    listeners : list of callable
        Called with the settings after each change.
    """

    def __init__(self, path, load, settings):
        self.path = path
        self.load = load
        self.settings = settings
        self.listeners = []
        self.stamp = self.look()

    def look(self):
        """Return what differs once the file was written anew."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size, found.st_ino)

    async def run(self):
        """Reload whenever the file looks different, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self.look() != self.stamp:
                self.reload("the file changed")

    def reload(self, reason):
        """Take over the file's settings; keep to the old ones if it is bad.

        A file that is being written, or that holds a mistake, must not end a
        daemon that serves.
        """
        self.stamp = self.look()
        try:
            settings = self.load(self.path)
        except SettingsError as error:
            log.error("settings not reloaded ({}): {}", reason, error)
            return
        changed = changed_keys(self.settings.model_dump(), settings.model_dump())
        self.settings = settings
        log.notice("settings reloaded ({}); changed: {}", reason, changed or "nothing")
        for listener in self.listeners:
            listener(settings)


def changed_keys(old, new):
    """Return the dotted names of the keys whose values differ, in order."""
    return [
        f"{table}.{key}"
        for table, values in new.items()
        for key, value in (values or {}).items()
        if value != (old[table] or {}).get(key)
    ]
