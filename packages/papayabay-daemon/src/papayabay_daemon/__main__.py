"""Entry point of `python -m papayabay_daemon`."""

import sys

from papayabay_daemon.main import main

sys.exit(main())
