"""Generation: one request, its attempts, and how it ended.

The aggregate does no I/O: feed it events and ask what to do next.
"""

import enum

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.engines import messages
from sassafrasflow.generations import journal

__all__ = [
    "Attempt",
    "Generation",
    "GenerationRequest",
    "GenerationState",
]


class GenerationState(enum.Enum):
    """Tell whether a generation still runs and how it ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"


class GenerationRequest(msgspec.Struct, frozen=True):
    """Hold what a caller asked for."""

    organisation: ids.OrganisationId
    key: ids.RequestKey
    model: ids.ModelName
    prompt: str
    sampling: messages.Sampling
    fingerprint: str
    priority: int = 0
    route: str = ""


class Attempt(msgspec.Struct, frozen=True):
    """Name one run of a generation on one target."""

    number: ids.AttemptNumber
    target: ids.TargetId
    first_index: int


class Generation:
    """Decide which events count and when the answer is complete."""

    def __init__(
        self, generation_id: ids.GenerationId, req: GenerationRequest
    ) -> None:
        self.id = generation_id
        self.req = req
        self.journal = journal.Journal(generation_id)
        self.version: ids.VersionId | None = None
        self.attempts: list[Attempt] = []
        self.state = GenerationState.RUNNING
        self.finish_reason: messages.FinishReason | None = None
        self.refusal: exceptions.Refusal | None = None

    def begin_attempt(
        self, target: ids.TargetId, version: ids.VersionId
    ) -> messages.EngineRequest:
        """Start a new attempt and return what to send to its target.

        Raises
        ------
        JournalError : tokens of another version were already accepted
        """
        if len(self.journal) and version != self.version:
            raise exceptions.JournalError("version changed mid-answer")
        self.version = version
        number = self.journal.begin_attempt()
        self.attempts.append(Attempt(number, target, len(self.journal)))
        return messages.EngineRequest(
            generation=self.id,
            attempt=number,
            model=self.req.model,
            version=version,
            prompt=self.req.prompt,
            sampling=self.req.sampling,
            prefix=tuple(self.journal.tokens),
            priority=self.req.priority,
        )

    def accept(self, event: messages.EngineEvent) -> journal.Accepted:
        """Apply an engine event if it belongs to the current attempt.

        Raises
        ------
        JournalError : the event leaves a gap
        """
        if self.state is not GenerationState.RUNNING:
            return journal.Accepted.OLD_ATTEMPT
        if isinstance(event, messages.TokenBatch):
            return self.journal.append(event)
        return self._finish(event)

    def _finish(self, event: messages.Finished) -> journal.Accepted:
        if event.attempt != self.journal.attempt:
            return journal.Accepted.OLD_ATTEMPT
        if event.index != len(self.journal):
            raise exceptions.JournalError(
                f"end at {event.index}, journal has {len(self.journal)}"
            )
        self.finish_reason = event.reason
        self.state = GenerationState.COMPLETE
        return journal.Accepted.APPENDED

    def refuse(self, refusal: exceptions.Refusal) -> None:
        """End the generation with a refusal unless it has ended."""
        if self.state is GenerationState.RUNNING:
            self.refusal = refusal
            self.state = GenerationState.REFUSED
