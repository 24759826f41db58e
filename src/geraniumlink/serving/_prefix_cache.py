"""Which prefixes of prompts a replica has probably read before."""

from __future__ import annotations

import collections

from geraniumlink.serving import _types

# Prefix blocks remembered for each replica, the most recently used.
MAX_PREFIX_BLOCKS = 4096


class PrefixCache:
    """The prefix blocks that this instance sent to a replica."""

    def __init__(self) -> None:
        # By model and key, the least recently used first.
        self._blocks: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def uncached_tokens(self, request: _types.Request) -> int:
        """Return how many prompt tokens are probably not in its cache.

        Only prefix blocks that this instance sent there count as cached.
        """
        left = request.prompt_tokens
        for block in request.prefix_blocks:
            if (request.model, block.key) not in self._blocks:
                break
            left -= block.tokens
        return max(0, left)

    def remember(self, request: _types.Request) -> None:
        """Record that the request's prefix blocks are in its cache."""
        for block in request.prefix_blocks:
            key = (request.model, block.key)
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > MAX_PREFIX_BLOCKS:
            self._blocks.popitem(last=False)
