"""Router that chooses a target for each attempt."""

from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Iterable
import random

import msgspec

from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow.routing import cost as costs
from sassafrasflow.routing import prefixes
from sassafrasflow.routing import retries
from sassafrasflow.routing import versions
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import pool as pools

__all__ = ["Choice", "Router", "RouterPolicy"]


class Choice(msgspec.Struct, frozen=True):
    """Name the target and version of one attempt."""

    target: ids.TargetId
    version: ids.VersionId


class RouterPolicy(msgspec.Struct, frozen=True):
    """Set how many targets are compared and what each would cost."""

    sampled: int = 2
    holders: int = 4
    answer_bytes: int = 4_096
    prefixes: bool = True
    cost: costs.CostPolicy = costs.CostPolicy()


class _Prompt:
    """Hold the blocks of a prompt and who caches them."""

    def __init__(
        self,
        work: versions.Work,
        version: ids.VersionId,
        index: prefixes.PrefixIndex | None,
        answer_bytes: int,
    ) -> None:
        self.paid_bytes = len(work.prompt) + answer_bytes
        self.blocks: list[str] = []
        self.cached: dict[ids.TargetId, float] = {}
        if index is not None:
            self.blocks = engines.prompt_blocks(
                work.model, version, work.prompt
            )
            self.cached = index.cached_blocks(self.blocks)


class Router:
    """Choose the cheapest of a few sampled targets and cache holders.

    The number of targets compared does not grow with the deployment.
    """

    def __init__(
        self,
        directory: directories.TargetDirectory,
        versions: versions.VersionChooser,
        region: ids.Region,
        rng: random.Random,
        policy: RouterPolicy | None = None,
        index: prefixes.PrefixIndex | None = None,
        budget: retries.RetryBudget | None = None,
    ) -> None:
        self._directory = directory
        self._versions = versions
        self._region = region
        self._rng = rng
        self._policy = policy or RouterPolicy()
        # Only real waiting is worth paid bytes, not the risk of it.
        self._waiting = msgspec.structs.replace(self._policy.cost, knee=1.0)
        self._index = index if self._policy.prefixes else None
        self._budget = budget

    def choose(
        self,
        work: versions.Work,
        version: ids.VersionId | None,
        avoid: Collection[str],
        *,
        retry: bool | None = None,
    ) -> Choice | None:
        """Return a target, or ``None`` when none can take the request.

        ``version`` pins the version; ``avoid`` names targets that failed
        and are used only when no other is left. A retry needs the retry
        budget; a choice with targets to avoid is one unless told otherwise.
        """
        pinned = version is not None
        if version is None:
            version = self._versions.choose(work)
        if version is None:
            return None
        prompt = _Prompt(work, version, self._index, self._policy.answer_bytes)
        served = (work.model, version)
        target = self._cheapest(served, prompt, avoid)
        if target is None and avoid:
            target = self._cheapest(served, prompt, ())
        is_retry = bool(avoid) if retry is None else retry
        if target is None or not self._may_send(is_retry, pinned):
            return None
        if self._index is not None:
            self._index.record_expected(target, prompt.blocks)
        return Choice(target, version)

    def _may_send(self, is_retry: bool, pinned: bool) -> bool:
        if self._budget is None:
            return True
        if is_retry:
            return self._budget.try_spend(overdraw=pinned)
        self._budget.record_request()
        return True

    def _cheapest(
        self, served: Hashable, prompt: _Prompt, avoid: Collection[str]
    ) -> ids.TargetId | None:
        regions = self._directory.regions(served)

        def usable(target: ids.TargetId) -> bool:
            return target not in avoid and self._directory.is_ready(target)

        near = self._sample([self._region], regions, usable)
        holders = self._holders(regions, prompt, usable)
        best = self._best([*near, *holders], prompt)
        remote_cost = self._lowest_remote_cost(prompt)
        if best is not None:
            placement = self._placement(best, prompt)
            if costs.cost_ms(placement, self._waiting) <= remote_cost:
                return best
        others = [name for name in regions if name != self._region]
        far = self._sample(others, regions, usable)
        mine = [] if best is None else [best]
        return self._best([*mine, *far], prompt)

    def _sample(
        self,
        names: Iterable[ids.Region],
        regions: dict[ids.Region, pools.Pool],
        usable: pools.Usable,
    ) -> list[ids.TargetId]:
        return [
            target
            for name in names
            if name in regions
            for target in regions[name].sample(
                self._policy.sampled, usable, self._rng
            )
        ]

    def _holders(
        self,
        regions: dict[ids.Region, pools.Pool],
        prompt: _Prompt,
        usable: pools.Usable,
    ) -> list[ids.TargetId]:
        found: list[ids.TargetId] = []
        for target in prompt.cached:
            if len(found) == self._policy.holders:
                break
            served = any(target in pool for pool in regions.values())
            if served and usable(target):
                found.append(target)
        return found

    def _best(
        self, candidates: list[ids.TargetId], prompt: _Prompt
    ) -> ids.TargetId | None:
        if not candidates:
            return None
        return min(candidates, key=lambda name: self._cost(name, prompt))

    def _cost(self, name: ids.TargetId, prompt: _Prompt) -> float:
        placement = self._placement(name, prompt)
        return costs.cost_ms(placement, self._policy.cost)

    def _placement(
        self, name: ids.TargetId, prompt: _Prompt
    ) -> costs.Placement:
        target = self._directory.find(name)
        assert target is not None
        return costs.Placement(
            load=target.load(),
            blocks=len(prompt.blocks),
            cached_blocks=prompt.cached.get(name, 0.0),
            remote=target.listed.region != self._region,
            paid_bytes=prompt.paid_bytes,
            suspected=self._directory.is_suspected(name),
        )

    def _lowest_remote_cost(self, prompt: _Prompt) -> float:
        idle = costs.Placement(0.0, 0, 0.0, True, prompt.paid_bytes)
        return costs.cost_ms(idle, self._policy.cost)
