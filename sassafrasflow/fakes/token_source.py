"""Deterministic token source of the fake engine.

Greedy tokens depend on the version and on every token before them, so an
answer can be compared with the fault-free one. Sampled tokens also depend
on the attempt, and the text of each carries a checksum of its prefix.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import hashlib

from sassafrasflow import ids

__all__ = ["TokenSource", "greedy_answer", "verify_sampled"]

VOCABULARY_SIZE = 50_000
DIGEST_BYTES = 8
CHECK_CHARS = 6


class TokenSource:
    """Produce the tokens of one answer."""

    def __init__(
        self,
        model: ids.ModelName,
        version: ids.VersionId,
        prompt: str,
        *,
        generation: ids.GenerationId | None = None,
        seed: str | None = None,
    ) -> None:
        self._sampled = seed is not None
        self._seed = (seed or "").encode()
        origin = f"{model}/{version}/{prompt}"
        if self._sampled:
            origin = f"{generation}/{origin}"
        self._state = _digest(origin.encode())

    def skip_prefix(self, prefix: Sequence[int]) -> None:
        """Advance past tokens that were already produced."""
        for token in prefix:
            self._advance(token)

    def next(self) -> tuple[int, str]:
        """Return the next token and its text."""
        token = self._choose()
        text = f" {token:05d}"
        if self._sampled:
            text += f"-{self._state.hex()[:CHECK_CHARS]}"
        self._advance(token)
        return token, text

    def _choose(self) -> int:
        drawn = _digest(self._state + self._seed)
        return int.from_bytes(drawn, "little") % VOCABULARY_SIZE

    def _advance(self, token: int) -> None:
        self._state = _digest(self._state + token.to_bytes(4, "little"))


def greedy_answer(
    model: ids.ModelName,
    version: ids.VersionId,
    prompt: str,
    max_tokens: int,
) -> str:
    """Return the answer that a greedy engine gives without faults."""
    source = TokenSource(model, version, prompt)
    return "".join(source.next()[1] for _ in range(max_tokens))


def verify_sampled(
    text: str,
    generation: ids.GenerationId,
    model: ids.ModelName,
    version: ids.VersionId,
    prompt: str,
) -> int:
    """Return the number of tokens before the first checksum mismatch."""
    source = TokenSource(
        model, version, prompt, generation=generation, seed="any"
    )
    count = 0
    for token, check in _parse_sampled(text):
        if source._state.hex()[:CHECK_CHARS] != check:
            break
        source._advance(token)
        count += 1
    return count


def _parse_sampled(text: str) -> Iterator[tuple[int, str]]:
    for word in text.split():
        token, _, check = word.partition("-")
        yield int(token), check


def _digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
