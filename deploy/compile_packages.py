"""Compiles all packages below a folder, without docstrings.

The compiled files bear the usual names, so that the interpreter takes them
without an option of its own; with that option it would have to compile the
standard library anew at each start. It buys 1.2 MB of anonymous memory in each
process, of 34.8, measured after importing the whole daemon.
"""

import compileall
import sys
from pathlib import Path

WITHOUT_DOCSTRINGS = 2
MARK = f".opt-{WITHOUT_DOCSTRINGS}.pyc"

folder = Path(sys.argv[1])
compileall.compile_dir(folder, optimize=WITHOUT_DOCSTRINGS, quiet=2, workers=0)
for compiled in folder.rglob(f"*{MARK}"):
    compiled.replace(compiled.with_name(compiled.name.removesuffix(MARK) + ".pyc"))
