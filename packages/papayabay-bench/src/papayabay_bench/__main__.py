"""The bench's command line: `python -m papayabay_bench COMMAND …`."""

import functools
import os
import sys

import fire

from papayabay_bench.commands import COMMANDS, load_command


def main():
    """Run one command; the exit code is what it returns."""
    # libuv may use io_uring where the kernel has it; it reads this once,
    # when the first loop is made, so every command's process sets it here.
    os.environ["UV_USE_IO_URING"] = "0"
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [name] if name in COMMANDS else list(COMMANDS)
    codes = []
    commands = {one: keep_code(load_command(one), codes) for one in chosen}
    fire.Fire(commands, name="papayabay_bench")
    return codes[0] if codes and codes[0] else 0


def keep_code(run, codes):
    """Return the command with its exit code kept, not printed, by fire."""

    @functools.wraps(run)
    def command(*arguments, **options):
        codes.append(run(*arguments, **options))

    return command


if __name__ == "__main__":
    sys.exit(main())
