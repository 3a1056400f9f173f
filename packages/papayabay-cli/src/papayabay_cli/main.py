"""The program `papayabay`: parses the arguments and runs a command."""

import functools
import os
import sys
from itertools import takewhile, zip_longest

import fire
from fire import decorators, parser

from papayabay_cli import exits
from papayabay_cli.commands import COMMANDS, load_command
from papayabay_cli.errors import UsageError, exit_code_of
from papayabay_core.exceptions import PapayabayError

PROGRAM = "papayabay"
SWITCHES = {"--json": "--json=True", "-j": "--json=True"}
"""Boolean flags, each with the form that is passed to fire."""
SWITCH_NAMES = ("json",)
END_OF_FLAGS = "--"
WITHOUT_VALUE = ("--help", *SWITCHES)


def main(arguments=None):
    """Run one command.

    Parameters
    ----------
    arguments : list of str or None
        Without the program's name; None takes those of the process.

    Returns
    -------
    int
        Exit code; see `exits`.
    """
    # Fire shows help in a pager, which would hang a script.
    os.environ["PAGER"] = "cat"
    # Fire lists functions' public attributes as commands, and would list the
    # attribute in which it stores its parsing options.
    decorators.FIRE_METADATA = "__fire_metadata__"
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        return run_call(parse(arguments))
    except PapayabayError as error:
        print(error, file=sys.stderr)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return exits.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output has exited, as `head` does. Python flushes
        # standard output at exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exits.OK


def parse(arguments):
    """Return the command with its arguments, without running it.

    Fire reports unknown flags only after it has called the command, so a
    misspelt flag would be reported after the patch is stored. Fire therefore
    calls a function that only records the call.

    Returns
    -------
    callable or None
        None when there is no command to run.

    Raises
    ------
    UsageError
        When a flag has no value.
    SystemExit
        From fire, with 2 for wrong usage and 0 after help.
    """
    check_flag_values(arguments)
    calls = []
    chosen = [
        name for name in COMMANDS if name == " ".join(arguments[: len(name.split())])
    ]
    tree = {}
    for name in chosen or COMMANDS:
        add_command(tree, name.split(), record_call(load_command(name), calls))
    # Fire would take the argument after a bare switch as the switch's value.
    fire.Fire(tree, [SWITCHES.get(arg, arg) for arg in arguments], name=PROGRAM)
    return calls[0] if calls else None


def check_flag_values(arguments):
    """Raise `UsageError` for a flag that lacks its value.

    Fire would give it the value True, and `--html` would write a file named
    True.
    """
    own = list(takewhile(lambda arg: arg != END_OF_FLAGS, arguments))
    for arg, following in zip_longest(own, own[1:], fillvalue=END_OF_FLAGS):
        bare = arg.startswith("--") and "=" not in arg and arg not in WITHOUT_VALUE
        if bare and following.startswith("--"):
            raise UsageError(f"{arg}: unknown flag, or its value is missing")


def add_command(tree, words, command):
    """Add a command to nested dicts, with one level per word of its name."""
    for word in words[:-1]:
        tree = tree.setdefault(word, {})
    tree[words[-1]] = command


def record_call(run, calls):
    """Return a wrapper that records a call of the command in `calls`."""

    @functools.wraps(run)
    def command(*positional, **named):
        calls.append(functools.partial(run, *positional, **named))

    # By default fire parses values as Python literals: a patch identifier of
    # digits would become an integer, and "1e9" a float.
    plain = decorators.SetParseFn(str)(command)
    return decorators.SetParseFn(parser.DefaultParseValue, *SWITCH_NAMES)(plain)


def run_call(call):
    """Run a command and return its exit code.

    Only log records from WARNING on are shown, on standard error.
    """
    if call is None:
        return exits.OK
    import logbook

    quiet = logbook.NullHandler()
    warnings = logbook.StderrHandler(level="WARNING")
    with quiet.applicationbound(), warnings.applicationbound():
        code = call()
        sys.stdout.flush()
    return code or exits.OK


if __name__ == "__main__":
    sys.exit(main())
