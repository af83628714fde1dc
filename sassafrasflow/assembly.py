"""Assembly: build the parts of calls, limits and routing from settings."""

import random

from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow import routing
from sassafrasflow import settings
from sassafrasflow import storage
from sassafrasflow import targets

__all__ = [
    "budget_policy",
    "build_call_handler",
    "build_demand_exchange",
    "is_sweeper",
    "limiter_policies",
    "prefix_policy",
    "router_policy",
    "sweep_policy",
]

MS_PER_HOUR = 3_600_000
SWEEPER_KEY = "claim-sweeper"


def budget_policy(cfg: settings.Settings) -> routing.BudgetPolicy:
    """Return the policy of the retry budget."""
    part = cfg.retries
    return routing.BudgetPolicy(part.ratio, part.burst, part.floor_per_s)


def prefix_policy(cfg: settings.Settings) -> routing.PrefixPolicy:
    """Return the bounds of the prefix index."""
    return routing.PrefixPolicy(
        max_blocks=cfg.routing.index_blocks, gap_trust=cfg.routing.gap_trust
    )


def router_policy(cfg: settings.Settings) -> routing.RouterPolicy:
    """Return the policy of the router."""
    part = cfg.routing
    return routing.RouterPolicy(
        sampled=part.sampled,
        holders=part.holders,
        answer_bytes=part.answer_bytes,
        prefixes=part.prefixes,
        cost=routing.CostPolicy(
            knee=part.knee,
            batch_ms=part.batch_ms,
            turn_ms=part.turn_ms,
            block_ms=part.block_ms,
            region_ms=part.region_ms,
            suspicion_ms=part.suspicion_ms,
            price_ms_per_kib=part.price_ms_per_kib,
        ),
    )


def limiter_policies(
    cfg: settings.Settings,
) -> dict[organisations.WorkKind, organisations.LimiterPolicy]:
    """Return the policy of each kind of work."""
    part = cfg.limits
    policy = organisations.LimiterPolicy(
        max_wait_ms=part.max_wait_ms,
        max_waiting=part.max_waiting,
        reserve_share=part.reserve_share,
        min_limit=part.min_limit,
    )
    return dict.fromkeys(organisations.WorkKind, policy)


def sweep_policy(cfg: settings.Settings) -> calls.SweepPolicy:
    """Return how long claims are kept."""
    part = cfg.calls
    return calls.SweepPolicy(
        kept_ms=part.kept_hours * MS_PER_HOUR,
        unresolved_kept_ms=part.unresolved_kept_hours * MS_PER_HOUR,
        interval_ms=part.sweep_interval_ms,
        page_rows=part.sweep_rows,
        max_writes_per_s=part.sweep_writes_per_s,
    )


def is_sweeper(
    instance: ids.InstanceId, members: membership.MemberView
) -> bool:
    """Tell whether an instance is the one that deletes old claims.

    Two instances that disagree do the same work twice, no harm else.
    """
    own = membership.Peer(instance, "", ids.Region(""), ids.DataCentre(""))
    everyone = [own, *members.peers()]
    return membership.rendezvous(SWEEPER_KEY, everyone, 1) == [own]


def build_call_handler(
    cfg: settings.Settings,
    table: storage.TableService,
    directory: targets.TargetDirectory,
    budget: routing.RetryBudget,
    gate: organisations.Gate,
    clock: clocks.Clock,
    rng: random.Random,
    metrics: observability.Metrics,
) -> calls.CallHandler:
    """Return the handler for calls to plain services."""
    part = cfg.calls
    writer = calls.RowWriter(
        table,
        calls.WriterPolicy(
            part.claims_per_write, part.write_interval_ms, part.write_burst
        ),
        metrics,
    )
    dispatcher = calls.Dispatcher(
        directory,
        cfg.region,
        budget,
        calls.DispatchPolicy(
            timeout_ms=part.timeout_ms,
            attempt_timeout_ms=part.attempt_timeout_ms,
            max_attempts=part.max_attempts,
            backoff_base_ms=part.backoff_base_ms,
            backoff_max_ms=part.backoff_max_ms,
        ),
        clock,
        rng,
        metrics,
    )
    return calls.CallHandler(
        calls.ClaimStore(table, writer),
        dispatcher,
        gate,
        calls.CallPolicy(
            dispatch_within_ms=part.dispatch_within_ms,
            record_wait_ms=part.record_wait_ms,
            replay_bytes=part.replay_bytes,
            timeout_ms=part.timeout_ms,
        ),
        clock,
        cfg.instance,
    )


def build_demand_exchange(
    cfg: settings.Settings,
    gate: organisations.Gate,
    shared: membership.SharedState,
    directory: targets.TargetDirectory,
    keeper: configuration.ConfigurationKeeper,
    clock: clocks.Clock,
) -> organisations.DemandExchange:
    """Return the exchange of demand over the capacity of ready targets."""
    part = cfg.limits

    def capacities() -> dict[organisations.LimiterKey, float]:
        slots: dict[organisations.LimiterKey, float] = {}
        for target in directory.ready_targets():
            name, amount = _capacity_of(target, part)
            slots[name] = slots.get(name, 0.0) + amount
        return slots

    def weights() -> dict[ids.OrganisationId, float]:
        if not keeper.is_ready:
            return {}
        known = keeper.current.organisations
        return {name: entry.weight for name, entry in known.items()}

    return organisations.DemandExchange(
        gate,
        shared,
        cfg.instance,
        capacities,
        lambda: directory.entry_instances,
        weights,
        organisations.DemandPolicy(
            interval_ms=part.demand_interval_ms,
            ttl_ms=part.demand_ttl_ms,
            floor_share=part.floor_share,
        ),
        clock,
    )


def _capacity_of(
    target: targets.Target, part: settings.LimitSettings
) -> tuple[organisations.LimiterKey, float]:
    if target.report is not None:
        generations = organisations.LimiterKey(
            organisations.WorkKind.GENERATION
        )
        return generations, target.report.capacity * part.overcommit
    service = target.listed.service or ""
    name = organisations.LimiterKey(organisations.WorkKind.CALL, service)
    return name, float(part.calls_per_worker)
