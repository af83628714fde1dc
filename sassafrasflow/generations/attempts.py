"""Outcomes of attempts, for observers that rate targets and versions."""

from collections.abc import Callable
import time

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import routing
from sassafrasflow.generations import generation

__all__ = ["AttemptObserver", "AttemptOutcome", "AttemptTimer"]


class AttemptOutcome(msgspec.Struct, frozen=True):
    """Result and timing of one attempt.

    ``failure`` is ``None`` for an attempt that completed the answer;
    ``first_token_s`` is ``None`` when no token arrived.
    """

    model: ids.ModelName
    version: ids.VersionId
    target: ids.TargetId
    organisation: ids.OrganisationId
    fingerprint: str
    tokens: int
    max_tokens: int
    first_token_s: float | None
    inter_token_s: float | None
    failure: exceptions.RetryReason | None
    route: str = ""
    duration_s: float = 0.0


AttemptObserver = Callable[[AttemptOutcome], None]


class AttemptTimer:
    """Measure the token latencies of one attempt."""

    def __init__(
        self,
        req: generation.GenerationRequest,
        choice: routing.Choice,
        first_index: int,
    ) -> None:
        self._req = req
        self._choice = choice
        self._first_index = first_index
        self._index = first_index
        self._started_at = time.monotonic()
        self._first_token_at: float | None = None
        self._last_token_at = self._started_at

    def record_progress(self, now: float, index: int) -> None:
        """Record that the answer has ``index`` tokens at time ``now``."""
        if index == self._index:
            return
        if self._first_token_at is None:
            self._first_token_at = now
        self._last_token_at = now
        self._index = index

    def complete(self) -> AttemptOutcome:
        """Return the outcome of an attempt that completed the answer."""
        return self._outcome(None)

    def fail(self, reason: exceptions.RetryReason) -> AttemptOutcome:
        """Return the outcome of a failed attempt."""
        return self._outcome(reason)

    def _outcome(
        self, failure: exceptions.RetryReason | None
    ) -> AttemptOutcome:
        tokens = self._index - self._first_index
        first_s = None
        inter_s = None
        if self._first_token_at is not None:
            first_s = self._first_token_at - self._started_at
        if self._first_token_at is not None and tokens > 1:
            inter_s = (self._last_token_at - self._first_token_at) / (
                tokens - 1
            )
        return AttemptOutcome(
            model=self._req.model,
            version=self._choice.version,
            target=self._choice.target,
            organisation=self._req.organisation,
            fingerprint=self._req.fingerprint,
            tokens=tokens,
            max_tokens=self._req.sampling.max_tokens,
            first_token_s=first_s,
            inter_token_s=inter_s,
            failure=failure,
            route=self._req.route,
            duration_s=time.monotonic() - self._started_at,
        )
