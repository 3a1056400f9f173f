"""The most recent patches, kept for peers with an older version."""

import itertools
import json
from collections import deque

PATCHES_MAX = 256
BYTES_MAX = 2 * 1024 * 1024
ANSWER_BYTES = 512 * 1024
"""Size up to which patches are put into one answer."""


class History:
    """Consecutive patches up to the latest version, bounded in size."""

    def __init__(self):
        self.patches = deque()
        self.size = 0

    def add(self, patch):
        """Append the next patch and evict the oldest beyond the bounds."""
        size = len(json.dumps(patch.values()))
        self.patches.append((patch, size))
        self.size += size
        while len(self.patches) > PATCHES_MAX or self.size > BYTES_MAX:
            _, evicted_size = self.patches.popleft()
            self.size -= evicted_size

    def clear(self):
        """Remove all patches after a full version has replaced the latest."""
        self.patches.clear()
        self.size = 0

    def after(self, version):
        """Return the next patches after a version; None if they were evicted.

        The first one is returned whatever its size, further ones only up to
        `ANSWER_BYTES` in all. The peer requests the rest afterwards.
        """
        if not self.patches or self.patches[0][0].base > version:
            return None
        later = [entry for entry in self.patches if entry[0].version > version]
        sizes = itertools.accumulate(size for _, size in later)
        return [
            patch
            for index, ((patch, _), total) in enumerate(zip(later, sizes, strict=True))
            if index == 0 or total <= ANSWER_BYTES
        ]
