"""Runs the command line as ``python -m papayabay_cli``."""

import sys

from papayabay_cli.main import main

sys.exit(main())
