"""`load`: offer a load."""

import json
from pathlib import Path


class LoadCommand:
    """Offers the load that a JSON file describes."""

    def run(self, path):
        """Offer a load; writes the results where the file says."""
        import uvloop

        from papayabay_bench.load.generator import Generator
        from papayabay_bench.load.specification import LoadSpec

        spec = LoadSpec.model_validate_json(Path(path).read_text())
        print(json.dumps({"ready": True}), flush=True)
        uvloop.run(Generator(spec).run())
