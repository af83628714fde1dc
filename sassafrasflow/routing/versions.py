"""Choice of the version that a new generation runs on."""

from abc import ABC
from abc import abstractmethod
import random

import msgspec

from sassafrasflow import configuration
from sassafrasflow import ids

__all__ = ["ShareChooser", "VersionChooser", "Work"]


class Work(msgspec.Struct, frozen=True):
    """Describe what has to be routed."""

    organisation: ids.OrganisationId
    model: ids.ModelName
    prompt: str


class VersionChooser(ABC):
    """Choose a version for new work."""

    @abstractmethod
    def choose(self, work: Work) -> ids.VersionId | None:
        """Return a version, or ``None`` when the model has none."""


class ShareChooser(VersionChooser):
    """Choose by the shares of the configuration in force."""

    def __init__(
        self, keeper: configuration.ConfigurationKeeper, rng: random.Random
    ) -> None:
        self._keeper = keeper
        self._rng = rng

    def choose(self, work: Work) -> ids.VersionId | None:
        shares = self._keeper.current.shares(work.model)
        if not shares:
            return None
        versions = sorted(shares)
        weights = [shares[version] for version in versions]
        return self._rng.choices(versions, weights)[0]
