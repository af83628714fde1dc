"""Choice of a target for each attempt of a generation."""

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
    """Target and version of one attempt."""

    target: ids.TargetId
    version: ids.VersionId


class RouterPolicy(msgspec.Struct, frozen=True):
    """Set how many targets are compared and how their costs are computed.

    ``sampled`` targets of each region and up to ``holders`` targets with
    cached blocks of the prompt are compared. ``answer_bytes`` is the assumed
    size of an answer.
    """

    sampled: int = 2
    holders: int = 4
    answer_bytes: int = 4_096
    prefixes: bool = True
    cost: costs.CostPolicy = costs.CostPolicy()


class _Prompt:
    """Hold the blocks of a prompt and the cached ones by target."""

    def __init__(
        self,
        work: versions.Work,
        version: ids.VersionId,
        index: prefixes.PrefixIndex | None,
        answer_bytes: int,
    ) -> None:
        self.transfer_bytes = len(work.prompt) + answer_bytes
        self.blocks: list[str] = []
        self.cached_blocks: dict[ids.TargetId, float] = {}
        if index is not None:
            self.blocks = engines.prompt_blocks(
                work.model, version, work.prompt
            )
            self.cached_blocks = index.cached_blocks(self.blocks)


class Router:
    """Choose the cheapest of a few sampled targets and cache holders.

    The number of compared targets does not grow with the deployment.
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
        # Cross-region traffic is justified only by the wait at a full target,
        # not by the risk that a nearly full one fills up.
        self._full_load_policy = msgspec.structs.replace(
            self._policy.cost, knee=1.0
        )
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
        """Return a target, or ``None`` when the request cannot be sent.

        ``version`` pins the version. The targets in ``avoid`` have failed
        and are used only when there is no other. A retry is charged to the
        retry budget; by default, a choice with targets to avoid is a retry.
        """
        pinned = version is not None
        if version is None:
            version = self._versions.choose(work)
        if version is None:
            return None
        prompt = _Prompt(work, version, self._index, self._policy.answer_bytes)
        pool_key = (work.model, version)
        target = self._choose_target(pool_key, prompt, avoid)
        if target is None and avoid:
            target = self._choose_target(pool_key, prompt, ())
        is_retry = bool(avoid) if retry is None else retry
        if target is None or not self._try_charge_budget(is_retry, pinned):
            return None
        if self._index is not None:
            self._index.record_expected(target, prompt.blocks)
        return Choice(target, version)

    def _try_charge_budget(self, is_retry: bool, pinned: bool) -> bool:
        if self._budget is None:
            return True
        if is_retry:
            return self._budget.try_spend(overdraw=pinned)
        self._budget.record_request()
        return True

    def _choose_target(
        self, pool_key: Hashable, prompt: _Prompt, avoid: Collection[str]
    ) -> ids.TargetId | None:
        regions = self._directory.regions(pool_key)

        def is_usable(target: ids.TargetId) -> bool:
            return target not in avoid and self._directory.is_ready(target)

        in_region = self._sample([self._region], regions, is_usable)
        holders = self._usable_holders(regions, prompt, is_usable)
        best = self._best([*in_region, *holders], prompt)
        cross_region_cost_ms = self._lowest_cross_region_cost_ms(prompt)
        if best is not None:
            placement = self._placement(best, prompt)
            if (
                costs.cost_ms(placement, self._full_load_policy)
                <= cross_region_cost_ms
            ):
                return best
        others = [name for name in regions if name != self._region]
        cross_region = self._sample(others, regions, is_usable)
        fallback = [] if best is None else [best]
        return self._best([*fallback, *cross_region], prompt)

    def _sample(
        self,
        names: Iterable[ids.Region],
        regions: dict[ids.Region, pools.Pool],
        is_usable: pools.TargetPredicate,
    ) -> list[ids.TargetId]:
        return [
            target
            for name in names
            if name in regions
            for target in regions[name].sample(
                self._policy.sampled, is_usable, self._rng
            )
        ]

    def _usable_holders(
        self,
        regions: dict[ids.Region, pools.Pool],
        prompt: _Prompt,
        is_usable: pools.TargetPredicate,
    ) -> list[ids.TargetId]:
        holders: list[ids.TargetId] = []
        for target in prompt.cached_blocks:
            if len(holders) == self._policy.holders:
                break
            is_served = any(target in pool for pool in regions.values())
            if is_served and is_usable(target):
                holders.append(target)
        return holders

    def _best(
        self, candidates: list[ids.TargetId], prompt: _Prompt
    ) -> ids.TargetId | None:
        if not candidates:
            return None
        return min(candidates, key=lambda each: self._cost_ms(each, prompt))

    def _cost_ms(self, target_id: ids.TargetId, prompt: _Prompt) -> float:
        placement = self._placement(target_id, prompt)
        return costs.cost_ms(placement, self._policy.cost)

    def _placement(
        self, target_id: ids.TargetId, prompt: _Prompt
    ) -> costs.Placement:
        target = self._directory.find(target_id)
        assert target is not None
        return costs.Placement(
            load=target.load(),
            blocks=len(prompt.blocks),
            cached_blocks=prompt.cached_blocks.get(target_id, 0.0),
            is_cross_region=target.listed.region != self._region,
            transfer_bytes=prompt.transfer_bytes,
            suspected=self._directory.is_suspected(target_id),
        )

    def _lowest_cross_region_cost_ms(self, prompt: _Prompt) -> float:
        idle = costs.Placement(0.0, 0, 0.0, True, prompt.transfer_bytes)
        return costs.cost_ms(idle, self._policy.cost)
