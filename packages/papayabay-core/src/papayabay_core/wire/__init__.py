"""Schema of the frames that daemons exchange on their links."""

from pathlib import Path

import capnp

PROTOCOL_VERSION = 2

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("schema.capnp")))
