"""State of one generation: its request, its attempts and its end.

:class:`Generation` does no I/O: the caller feeds it events and acts on its
state.
"""

from collections.abc import Sequence
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
    "restore",
]


class GenerationState(enum.Enum):
    """State of a generation: running, or how it ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"


class GenerationRequest(msgspec.Struct, frozen=True):
    """Request of a caller to generate text."""

    organisation: ids.OrganisationId
    key: ids.RequestKey
    model: ids.ModelName
    prompt: str
    sampling: messages.Sampling
    fingerprint: str
    priority: int = 0
    route: str = ""


class Attempt(msgspec.Struct, frozen=True):
    """One run of a generation on one target."""

    number: ids.AttemptNumber
    target: ids.TargetId
    first_index: int


class Generation:
    """Accept engine events and track how much of the answer is released.

    Released tokens may be delivered to the caller.
    """

    def __init__(
        self,
        generation_id: ids.GenerationId,
        req: GenerationRequest,
        epoch: ids.Epoch = journal.FIRST_EPOCH,
    ) -> None:
        self.id = generation_id
        self.req = req
        self.journal = journal.Journal(generation_id, epoch)
        self.version: ids.VersionId | None = None
        self.attempts: list[Attempt] = []
        self.state = GenerationState.RUNNING
        self.finish_reason: messages.FinishReason | None = None
        self.refusal: exceptions.Refusal | None = None
        self.end_released = False

    @property
    def released(self) -> int:
        """Return the number of tokens that may be delivered."""
        return self.journal.released

    @property
    def epoch(self) -> ids.Epoch:
        """Return the epoch of the instance that owns the generation."""
        return self.journal.epoch

    def begin_attempt(
        self, target: ids.TargetId, version: ids.VersionId
    ) -> messages.EngineRequest:
        """Start a new attempt and return the request to send to its target.

        Raises
        ------
        JournalError : tokens of another model version were already accepted
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

    def adopt_attempt(
        self, number: ids.AttemptNumber, target: ids.TargetId
    ) -> None:
        """Continue an attempt that an earlier owner started."""
        self.journal.attempt = number
        self.attempts.append(Attempt(number, target, len(self.journal)))

    def accept(
        self, event: messages.EngineEvent, epoch: ids.Epoch
    ) -> journal.AcceptResult:
        """Apply an engine event unless its attempt or its owner is outdated.

        ``epoch`` is the epoch of the owner that received the event.

        Raises
        ------
        JournalError : a token between the journal and the event is missing
        """
        if epoch != self.epoch:
            return journal.AcceptResult.OLD_OWNER
        if self.state is not GenerationState.RUNNING:
            return journal.AcceptResult.OLD_ATTEMPT
        if isinstance(event, messages.TokenBatch):
            return self.journal.append(event, epoch)
        return self._finish(event)

    def _finish(self, event: messages.Finished) -> journal.AcceptResult:
        if event.attempt != self.journal.attempt:
            return journal.AcceptResult.OLD_ATTEMPT
        if event.index != len(self.journal):
            raise exceptions.JournalError(
                f"end at {event.index}, journal has {len(self.journal)}"
            )
        self.finish_reason = event.reason
        self.state = GenerationState.COMPLETE
        return journal.AcceptResult.APPENDED

    def complete(self, reason: messages.FinishReason) -> None:
        """Mark the generation as one that an earlier owner completed."""
        self.finish_reason = reason
        self.state = GenerationState.COMPLETE
        self.release(len(self.journal), ended=True)

    def release(self, index: int, *, ended: bool) -> None:
        """Allow delivery of the tokens before an index.

        With ``ended``, the end of a complete generation may be delivered too.
        """
        self.journal.release(index)
        if ended and self.state is GenerationState.COMPLETE:
            self.end_released = True

    def refuse(self, refusal: exceptions.Refusal) -> None:
        """End the generation with a refusal unless it has already ended."""
        if self.state is GenerationState.RUNNING:
            self.refusal = refusal
            self.state = GenerationState.REFUSED

    def supersede(self, epoch: ids.Epoch) -> bool:
        """Refuse the generation in favour of an owner with a higher epoch.

        Return whether the generation was stopped. An answer whose end has
        been released is not stopped.
        """
        if epoch <= self.epoch or self.end_released:
            return False
        self.state = GenerationState.REFUSED
        self.refusal = self.resume_elsewhere_refusal()
        return True

    def resume_elsewhere_refusal(self) -> exceptions.Refusal:
        """Return the refusal that sends the caller to another instance."""
        return exceptions.Refusal(
            exceptions.RefusalReason.RESUME_ELSEWHERE,
            self.ran(),
            "The answer goes on at another instance; repeat the request "
            "with its Idempotency-Key and Last-Event-ID.",
            retry_after_s=1,
        )

    def ran(self) -> exceptions.Ran:
        """Return whether the request has run, as a refusal has to state."""
        if len(self.journal):
            return exceptions.Ran.PARTLY
        if self.attempts:
            return exceptions.Ran.UNKNOWN
        return exceptions.Ran.NO


def restore(
    req: GenerationRequest,
    generation_id: ids.GenerationId,
    epoch: ids.Epoch,
    version: ids.VersionId | None,
    tokens: Sequence[int],
    texts: Sequence[str],
) -> Generation:
    """Return a generation that continues after an earlier owner's tokens."""
    generation = Generation(generation_id, req, epoch)
    generation.version = version
    generation.journal.extend(tokens, texts)
    return generation
