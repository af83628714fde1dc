"""Choice of the target of a generation's next attempt."""

import asyncio
from collections.abc import Sequence
import random

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow.generations import attempts
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import poison
from sassafrasflow.generations import replication
from sassafrasflow.generations import retries
from sassafrasflow.generations import streams
from sassafrasflow.targets import directory as directories

__all__ = [
    "Placement",
    "PlacementPolicy",
    "RunnerDependencies",
    "poison_refusal",
]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Limits of the wait for a target.

    ``resume_wait_ms`` applies once the generation has tokens, and
    ``no_target_wait_ms`` before.
    """

    no_target_wait_ms: int = 1_500
    resume_wait_ms: int = 5_000
    no_target_poll_ms: int = 50


class RunnerDependencies(msgspec.Struct, frozen=True):
    """Dependencies that all runners of an instance share."""

    directory: directories.TargetDirectory
    router: routing.Router
    metrics: observability.Metrics
    replicator: replication.Replicator
    quarantine: poison.Quarantine
    timeouts: streams.StreamTimeouts
    clock: clocks.Clock
    rng: random.Random
    observers: Sequence[attempts.AttemptObserver] = ()


class Placement:
    """Choose targets for one generation."""

    def __init__(
        self,
        generation: generations.Generation,
        deps: RunnerDependencies,
        policy: PlacementPolicy,
        budget: retries.AttemptBudget,
    ) -> None:
        self._generation = generation
        self._deps = deps
        self._policy = policy
        self._budget = budget
        req = generation.req
        self._work = routing.Work(req.organisation, req.model, req.prompt)

    async def choose(self) -> routing.Choice:
        """Wait until a target can run the next attempt and return it.

        Raises
        ------
        Refusal : no target was available in time, or the request is
            quarantined
        """
        waited_ms = 0
        while True:
            self._check_poison()
            choice = self._choose_now()
            if choice is not None:
                return choice
            if waited_ms >= self._wait_ms():
                raise self._no_target_refusal()
            await asyncio.sleep(self._policy.no_target_poll_ms / 1000)
            waited_ms += self._policy.no_target_poll_ms

    def _wait_ms(self) -> int:
        if len(self._generation.journal):
            return self._policy.resume_wait_ms
        return self._policy.no_target_wait_ms

    def _choose_now(self) -> routing.Choice | None:
        quarantine = self._deps.quarantine
        fingerprint = self._generation.req.fingerprint
        now = asyncio.get_running_loop().time()
        excluded = set(self._budget.recently_failed(now))
        if quarantine.status(fingerprint) is poison.QuarantineStatus.SUSPECT:
            reserved = quarantine.reserved_targets()
            choice = self._route(excluded | reserved | self._busy_targets())
            if choice is None:
                return None
            may_run = quarantine.reserve(fingerprint, choice.target)
            return choice if may_run else None
        choice = self._route(excluded)
        if (
            choice is not None
            and choice.target in quarantine.reserved_targets()
        ):
            return self._route(excluded | quarantine.reserved_targets())
        return choice

    def _route(self, excluded: set[ids.TargetId]) -> routing.Choice | None:
        version = (
            self._generation.version if len(self._generation.journal) else None
        )
        return self._deps.router.choose(
            self._work,
            version,
            excluded,
            retry=bool(self._generation.attempts),
        )

    def _busy_targets(self) -> set[ids.TargetId]:
        return {
            target.id for target in self._deps.directory if target.running_here
        }

    def _check_poison(self) -> None:
        refusal = poison_refusal(
            self._deps.quarantine,
            self._generation.req,
            self._generation.ran(),
        )
        if refusal is not None:
            raise refusal

    def _no_target_refusal(self) -> exceptions.Refusal:
        version = self._generation.version
        version_is_available = any(
            version in target.versions(self._generation.req.model)
            for target in self._deps.directory
        )
        if not len(self._generation.journal) or version_is_available:
            return self.refusal("No target can take the request.")
        return exceptions.Refusal(
            exceptions.RefusalReason.VERSION_GONE,
            exceptions.Ran.PARTLY,
            f"No target holds version {version} any more, which wrote the "
            "answer so far; a new Idempotency-Key starts a new answer.",
            retry_after_s=2,
        )

    def refusal(self, detail: str) -> exceptions.Refusal:
        """Return the refusal of a generation that can't continue."""
        reason = (
            exceptions.RefusalReason.RETRIES_EXHAUSTED
            if self._generation.attempts
            else exceptions.RefusalReason.NO_TARGET
        )
        return exceptions.Refusal(
            reason, self._generation.ran(), detail, retry_after_s=2
        )


def poison_refusal(
    quarantine: poison.Quarantine,
    req: generations.GenerationRequest,
    ran: exceptions.Ran,
) -> exceptions.Refusal | None:
    """Return the refusal of a quarantined request, or ``None``."""
    fingerprint = req.fingerprint
    if quarantine.status(fingerprint) is not poison.QuarantineStatus.REFUSED:
        return None
    return exceptions.Refusal(
        exceptions.RefusalReason.POISON,
        ran,
        "Targets died while they ran this request; it is not run again.",
        status=422,
        retry_after_s=quarantine.retry_after_s(fingerprint),
    )
