"""Exchange of evidence and of blocks of candidates between instances."""

import enum
import math

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import routing
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import evidence as evidences

__all__ = ["Block", "ExchangePolicy", "EvidenceExchange"]

Topic = membership.Topic

MS_PER_S = 1_000
RETENTION_AFTER_DEADLINE_S = 600.0

_sample_decoder = msgspec.msgpack.Decoder(list[evidences.Sample])


class Part(enum.Enum):
    """The two parts in which evidence is published."""

    EVENTS = "e"
    ATTEMPTS = "a"


class ExchangePolicy(msgspec.Struct, frozen=True):
    """Limits of the rate and size of the evidence that is published."""

    events_interval_ms: int = 500
    attempts_interval_ms: int = 5_000
    max_bytes: int = 3_500


class Block(msgspec.Struct, frozen=True):
    """Decision that a candidate gets no new work, with its reason."""

    note: ids.NoteId
    model: ids.ModelName
    version: ids.VersionId
    reason: str
    instance: ids.InstanceId
    at: float


class EvidenceExchange(routing.VersionBlocks):
    """Merge the evidence of all instances and hold the blocks in force."""

    def __init__(
        self,
        instance: ids.InstanceId,
        collector: collectors.Collector,
        shared: membership.SharedState,
        clock: clocks.Clock,
        policy: ExchangePolicy | None = None,
    ) -> None:
        self._policy = policy or ExchangePolicy()
        self._events_due_at = 0.0
        self._attempts_due_at = 0.0
        self._instance = instance
        self._collector = collector
        self._shared = shared
        self._clock = clock
        self._blocks: dict[ids.ModelName, Block] = {}
        self._decoded_by_key: dict[str, tuple[int, evidences.Evidence]] = {}
        shared.subscribe(Topic.BLOCK, self._handle_block)

    def is_blocked(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        block = self._blocks.get(model)
        return block is not None and block.version == version

    def block_of(self, model: ids.ModelName) -> Block | None:
        """Return the block of a model's candidate, or ``None``."""
        return self._blocks.get(model)

    def apply_document(self, document: configuration.Document) -> None:
        """Apply the trials of a document and drop blocks of ended trials."""
        self._collector.apply_document(document)
        for model, block in list(self._blocks.items()):
            trial = document.trials.get(model)
            if trial is None or trial.note != block.note:
                del self._blocks[model]
        if not document.trials:
            self._decoded_by_key.clear()
        for entry in self._shared.entries(Topic.BLOCK):
            self._handle_block(entry)

    def publish(self) -> None:
        """Publish the evidence that has changed since it was last published.

        Events are published at the shorter interval, because they may end a
        release. Attempts and latencies, which only let a release continue,
        are published less often.
        """
        now = self._clock.monotonic()
        if now >= self._events_due_at:
            self._events_due_at = now + self._policy.events_interval_ms / 1000
            for model, state in self._collector.trials.items():
                self._publish_part(
                    model, state, Part.EVENTS, state.changed_event_segments
                )
        if now >= self._attempts_due_at:
            self._attempts_due_at = (
                now + self._policy.attempts_interval_ms / 1000
            )
            for model, state in self._collector.trials.items():
                self._publish_part(
                    model, state, Part.ATTEMPTS, state.changed_attempt_segments
                )

    def _publish_part(
        self,
        model: ids.ModelName,
        state: collectors.TrialState,
        part: "Part",
        segments: set[int],
    ) -> None:
        for segment in sorted(segments):
            segment_evidence = state.evidence.in_segment(segment)
            content = (
                segment_evidence.only_events()
                if part is Part.EVENTS
                else segment_evidence.only_attempts()
            )
            self._shared.publish(
                Topic.EVIDENCE,
                f"{state.trial.note}/{model}/{self._instance}/{segment}"
                f"/{part.value}",
                _encode_within(content, self._policy.max_bytes),
                version=int(self._clock.wall() * MS_PER_S),
                ttl_ms=self._ttl_ms(state.trial),
            )
        segments.clear()

    def evidence(self, model: ids.ModelName) -> evidences.Evidence:
        """Return the evidence of all instances on the trial of a model."""
        state = self._collector.trials.get(model)
        merged = evidences.Evidence()
        if state is None:
            return merged
        merged.merge(state.evidence)
        prefix = f"{state.trial.note}/{model}/"
        for entry in self._shared.entries(Topic.EVIDENCE):
            is_local = entry.origin == self._instance
            if entry.key.startswith(prefix) and not is_local:
                merged.merge(self._decoded_evidence(entry))
        return merged

    def _decoded_evidence(self, entry: membership.Entry) -> evidences.Evidence:
        cached = self._decoded_by_key.get(entry.key)
        if cached is None or cached[0] != entry.version:
            cached = (entry.version, _decode(entry))
            self._decoded_by_key[entry.key] = cached
        return cached[1]

    def block(self, model: ids.ModelName, reason: str) -> None:
        """Stop new work of a candidate here and publish the block."""
        state = self._collector.trials[model]
        block = Block(
            state.trial.note,
            model,
            state.trial.candidate,
            reason,
            self._instance,
            self._clock.wall(),
        )
        self._blocks[model] = block
        logger.warning(
            "releases: Blocked {} of {}: {}.", block.version, model, reason
        )
        self._shared.publish(
            Topic.BLOCK,
            f"{block.note}/{model}",
            msgspec.json.encode(block),
            version=1,
            ttl_ms=self._ttl_ms(state.trial),
        )

    def _handle_block(self, entry: membership.Entry) -> None:
        try:
            block = msgspec.json.decode(entry.value, type=Block)
        except msgspec.MsgspecError as exc:
            logger.warning(
                "releases: Invalid entry from {}: {}.", entry.origin, exc
            )
            return
        state = self._collector.trials.get(block.model)
        if state is not None and state.trial.note == block.note:
            self._blocks.setdefault(block.model, block)

    def _ttl_ms(self, trial: configuration.Trial) -> int:
        ttl_s = (
            trial.deadline - self._clock.wall() + RETENTION_AFTER_DEADLINE_S
        )
        return max(MS_PER_S, math.ceil(ttl_s * MS_PER_S))


def _encode_within(evidence: evidences.Evidence, max_bytes: int) -> bytes:
    """Encode evidence; merge the tallies of the smallest targets to fit."""
    content = msgspec.msgpack.encode(evidence.samples())
    while len(content) > max_bytes and evidence.aggregate_smallest_targets():
        content = msgspec.msgpack.encode(evidence.samples())
    return content


def _decode(entry: membership.Entry) -> evidences.Evidence:
    try:
        return evidences.Evidence(_sample_decoder.decode(entry.value))
    except msgspec.MsgspecError as exc:
        logger.warning(
            "releases: Invalid entry from {}: {}.", entry.origin, exc
        )
        return evidences.Evidence()
