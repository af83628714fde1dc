"""Names of the prompt blocks that engines cache.

A name is a hash of the block and everything before it, so equal names mean
equal prefixes.
"""

import hashlib

from sassafrasflow import ids

__all__ = ["BLOCK_CHARS", "prompt_blocks"]

BLOCK_CHARS = 64
NAME_BYTES = 8


def prompt_blocks(
    model: ids.ModelName, version: ids.VersionId, prompt: str
) -> list[str]:
    """Return the names of a prompt's complete blocks, in order."""
    state = hashlib.blake2b(
        f"{model}/{version}".encode(), digest_size=NAME_BYTES
    )
    names = []
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        names.append(state.hexdigest())
    return names
