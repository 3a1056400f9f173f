"""The bench's commands; add one here and nowhere else."""

from importlib import import_module

COMMANDS = {
    "platform": ("platform", "PlatformCommand"),
    "target": ("target", "TargetCommand"),
    "load": ("load", "LoadCommand"),
    "run": ("run", "RunCommand"),
    "check": ("check", "CheckCommand"),
    "soak": ("soak", "SoakCommand"),
    "report": ("report", "ReportCommand"),
    "demo": ("demo", "DemoCommand"),
    "overhead": ("overhead", "OverheadCommand"),
    "capacity": ("capacity", "CapacityCommand"),
    "relay": ("relay", "RelayCommand"),
}
"""Command name: module in this package and its class. A class has a
`run` method whose parameters are the command's arguments and which returns
the exit code (None for 0). Only the module of the command given is
imported, so that target hosts stay small."""


def load_command(name):
    """Return the `run` method of a new command object."""
    module, class_name = COMMANDS[name]
    return getattr(import_module(f"{__name__}.{module}"), class_name)().run
