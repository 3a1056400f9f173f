"""Compiles all packages below a folder to bytecode without docstrings.

The compiled files get the names of unoptimized ones, so that the interpreter
loads them without the option -OO; with it, the standard library would be
compiled again at each start. Without docstrings, a process that has imported
the whole daemon uses 1.2 MB less of 34.8 MB of anonymous memory.
"""

import compileall
import sys
from pathlib import Path

WITHOUT_DOCSTRINGS = 2
OPTIMIZED_SUFFIX = f".opt-{WITHOUT_DOCSTRINGS}.pyc"

folder = Path(sys.argv[1])
compileall.compile_dir(folder, optimize=WITHOUT_DOCSTRINGS, quiet=2, workers=0)
for compiled in folder.rglob(f"*{OPTIMIZED_SUFFIX}"):
    compiled.replace(
        compiled.with_name(compiled.name.removesuffix(OPTIMIZED_SUFFIX) + ".pyc")
    )
