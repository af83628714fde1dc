"""Router that chooses a target for each attempt."""

from collections.abc import Collection
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.routing import versions
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import target as targets

__all__ = ["Choice", "Router"]


class Choice(msgspec.Struct, frozen=True):
    """Name the target and version of one attempt."""

    target: ids.TargetId
    version: ids.VersionId


class Router:
    """Choose the less loaded of two random targets in the nearest place."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        versions: versions.VersionChooser,
        region: ids.Region,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._versions = versions
        self._region = region
        self._rng = rng

    def choose(
        self,
        work: versions.Work,
        version: ids.VersionId | None,
        avoid: Collection[str],
    ) -> Choice | None:
        """Return a target, or ``None`` when none can take the request.

        ``version`` pins the version; ``avoid`` names targets that failed
        and are used only when no other is left.
        """
        if version is None:
            version = self._versions.choose(work)
        if version is None:
            return None
        able = [
            target
            for target in self._directory.ready()
            if version in target.versions(work.model)
        ]
        fresh = [target for target in able if target.id not in avoid]
        target = self._pick_target(fresh or able)
        return None if target is None else Choice(target.id, version)

    def _pick_target(
        self, able: list[targets.Target]
    ) -> targets.Target | None:
        near = [t for t in able if t.listed.region == self._region]
        pool = near or able
        if not pool:
            return None
        pair = self._rng.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda target: target.load())
