"""Entry point of `papayabayd`: loads the settings and runs the daemon."""

import gc
import os
import sys

from papayabay_core.exceptions import SettingsError
from papayabay_core.settings import load_settings
from papayabay_daemon._internal.settings_file import SettingsFile

EXIT_SETTINGS = 2
"""Exit code for invalid settings."""


def parse_arguments(arguments):
    """Return the parsed command line."""
    # Platform adapters have a command line of their own, or none.
    import argparse

    parser = argparse.ArgumentParser(
        prog="papayabayd", description="The papayabay daemon beside one target."
    )
    parser.add_argument("--settings", required=True, help="TOML settings file")
    return parser.parse_args(arguments)


def main(arguments=None):
    """Run the daemon from the command line; return the exit code."""
    options = parse_arguments(arguments)
    try:
        settings_file = open_settings(options.settings, load_settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    try:
        return run(settings_file)
    except SettingsError as error:
        print(f"{options.settings}: {error}", file=sys.stderr)
        return EXIT_SETTINGS


def open_settings(path, load):
    """Load the settings and return them in a `SettingsFile`.

    Parameters
    ----------
    path : str
    load : callable
        Takes the path and returns the settings.

    Raises
    ------
    SettingsError
    """
    return SettingsFile(path, load, load(path))


def run(settings_file, make_environment=None):
    """Run the daemon until SIGTERM, on an event loop without io_uring.

    libuv would use io_uring on kernels that support it. The environment
    variable that disables it must be set before uvloop is imported.

    Parameters
    ----------
    settings_file : SettingsFile
    make_environment : callable or None
        Takes the settings and returns the `Environment`; called within the
        running loop. None for the default environment.

    Returns
    -------
    int
        The process's exit code.

    Raises
    ------
    SettingsError
        For a port that can't be opened.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    # Nearly all objects of the start stay; looking for garbage among them took
    # a tenth of it. `freeze_startup_objects` turns the collector on.
    gc.disable()
    import uvloop

    from papayabay_daemon._internal.logs import configure_logging
    from papayabay_daemon.daemon import Daemon

    settings = settings_file.settings
    writer = configure_logging(settings.logs)

    async def run_daemon():
        environment = make_environment(settings) if make_environment else None
        return await Daemon(settings, environment, writer, settings_file).run()

    return uvloop.run(run_daemon())


if __name__ == "__main__":
    sys.exit(main())
