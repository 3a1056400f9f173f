"""The registry of commands; a new command is added to `COMMANDS` only."""

from importlib import import_module

COMMANDS = {
    "check": ("check", "CheckCommand"),
    "diff": ("diff", "DiffCommand"),
    "apply": ("apply", "ApplyCommand"),
    "settle": ("settle", "SettleCommand"),
    "show": ("show", "ShowCommand"),
    "history": ("history", "HistoryCommand"),
    "status": ("status", "StatusCommand"),
    "explain": ("explain", "ExplainCommand"),
    "quarantine list": ("quarantine_list", "QuarantineListCommand"),
    "quarantine lift": ("quarantine_lift", "QuarantineLiftCommand"),
    "accounts list": ("accounts_list", "AccountsListCommand"),
    "accounts digest": ("accounts_digest", "AccountsDigestCommand"),
    "report burn": ("report_burn", "ReportBurnCommand"),
}
"""Maps each command's name to its module in this package and its class. The
class has a `run` method, whose parameters are the command's arguments, as
strings, and which returns the exit code (None for 0)."""


def load_command(name):
    """Import a command and return the `run` method of a new instance."""
    module, class_name = COMMANDS[name]
    return getattr(import_module(f"{__name__}.{module}"), class_name)().run
