"""Choice of the model version that a new generation runs on."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
import random

import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import ids
from sassafrasflow.targets import directory as directories

__all__ = ["ShareChooser", "VersionBlocks", "VersionChooser", "Work"]


class Work(msgspec.Struct, frozen=True):
    """Describe a generation that is to be routed."""

    organisation: ids.OrganisationId
    model: ids.ModelName
    prompt: str


class VersionChooser(ABC):
    """Choose a model version for new work."""

    @abstractmethod
    def choose(self, work: Work) -> ids.VersionId | None:
        """Return a version, or ``None`` when the model has none."""


class VersionBlocks(ABC):
    """Report which versions get no new work from this instance for now."""

    @abstractmethod
    def is_blocked(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        """Return whether a version is blocked."""


class ShareChooser(VersionChooser):
    """Choose by the shares of the configuration in force.

    Candidates past their deadline and blocked versions get no work. A
    version that no ready target serves is left out, unless none serves any.
    """

    def __init__(
        self,
        keeper: configuration.ConfigurationKeeper,
        directory: directories.TargetDirectory,
        rng: random.Random,
        clock: clocks.Clock,
        blocks: VersionBlocks | None = None,
    ) -> None:
        self._keeper = keeper
        self._directory = directory
        self._rng = rng
        self._clock = clock
        self.blocks = blocks

    def choose(self, work: Work) -> ids.VersionId | None:
        shares = self._allowed_shares(work.model)
        usable = {
            version: share
            for version, share in shares.items()
            if self._has_ready_target(work.model, version)
        }
        return pick_by_share(usable or shares, self._rng)

    def _has_ready_target(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> bool:
        pools = self._directory.regions((model, version))
        return any(
            self._directory.is_ready(target)
            for pool in pools.values()
            for target in pool
        )

    def _allowed_shares(
        self, model: ids.ModelName
    ) -> dict[ids.VersionId, float]:
        document = self._keeper.current
        shares = document.shares_at(model, self._clock.wall())
        if self.blocks is None:
            return shares
        allowed = {
            version: share
            for version, share in shares.items()
            if not self.blocks.is_blocked(model, version)
        }
        trial = document.trials.get(model)
        if not allowed and trial is not None and trial.baseline is not None:
            return {trial.baseline: 1.0}
        return allowed


def pick_by_share(
    shares: Mapping[ids.VersionId, float], rng: random.Random
) -> ids.VersionId | None:
    """Return a random version, weighted by the shares."""
    if not shares:
        return None
    versions = sorted(shares)
    weights = [shares[version] for version in versions]
    return rng.choices(versions, weights)[0]
