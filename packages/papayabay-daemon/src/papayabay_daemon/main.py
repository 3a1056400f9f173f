"""The program `papayabayd`: reads settings, runs the daemon until SIGTERM."""

import argparse
import os
import sys

from papayabay_core.exceptions import SettingsError
from papayabay_core.settings import load_settings
from papayabay_daemon._internal.settings_file import SettingsFile

EXIT_SETTINGS = 2


def parse_arguments(arguments):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        prog="papayabayd", description="The papayabay daemon beside one target."
    )
    parser.add_argument("--settings", required=True, help="TOML settings file")
    return parser.parse_args(arguments)


def main(arguments=None):
    """Run the daemon; return the process's exit code."""
    options = parse_arguments(arguments)
    try:
        file = open_settings(options.settings, load_settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    try:
        return run(file)
    except SettingsError as error:
        print(f"{options.settings}: {error}", file=sys.stderr)
        return EXIT_SETTINGS


def open_settings(path, load):
    """Return a `SettingsFile` with its first settings.

    Raises
    ------
    SettingsError
    """
    return SettingsFile(path, load, load(path))


def run(file, make_environment=None):
    """Run the daemon on an event loop that uses no io_uring.

    Parameters
    ----------
    file : SettingsFile
    make_environment : callable or None
        Takes the settings and returns the `Environment`; called within the
        running loop.

    Raises `SettingsError` for a port that can't be opened.

    libuv would use io_uring on kernels that offer it; it has to be told
    before the loop library is loaded.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    from papayabay_daemon._internal.logs import configure_logging
    from papayabay_daemon.daemon import Daemon

    settings = file.settings
    writer = configure_logging(settings.logs)

    async def run_daemon():
        environment = make_environment(settings) if make_environment else None
        return await Daemon(settings, environment, writer, file).run()

    return uvloop.run(run_daemon())


if __name__ == "__main__":
    sys.exit(main())
