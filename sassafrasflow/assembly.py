"""Functions that build calls, limits and routing from the settings."""

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
    section = cfg.retries
    return routing.BudgetPolicy(
        section.ratio, section.burst, section.floor_per_s
    )


def prefix_policy(cfg: settings.Settings) -> routing.PrefixPolicy:
    """Return the policy of the prefix index."""
    return routing.PrefixPolicy(
        max_blocks=cfg.routing.index_blocks, gap_trust=cfg.routing.gap_trust
    )


def router_policy(cfg: settings.Settings) -> routing.RouterPolicy:
    """Return the policy of the router."""
    section = cfg.routing
    return routing.RouterPolicy(
        sampled=section.sampled,
        holders=section.holders,
        answer_bytes=section.answer_bytes,
        prefixes=section.prefixes,
        cost=routing.CostPolicy(
            knee=section.knee,
            batch_ms=section.batch_ms,
            turn_ms=section.turn_ms,
            block_ms=section.block_ms,
            region_ms=section.region_ms,
            suspicion_ms=section.suspicion_ms,
            price_ms_per_kib=section.price_ms_per_kib,
        ),
    )


def limiter_policies(
    cfg: settings.Settings,
) -> dict[organisations.WorkKind, organisations.LimiterPolicy]:
    """Return the policy of the limiters for each kind of work."""
    section = cfg.limits
    policy = organisations.LimiterPolicy(
        max_wait_ms=section.max_wait_ms,
        max_waiting=section.max_waiting,
        reserve_share=section.reserve_share,
        min_limit=section.min_limit,
    )
    return dict.fromkeys(organisations.WorkKind, policy)


def sweep_policy(cfg: settings.Settings) -> calls.SweepPolicy:
    """Return the policy of the claim sweeper."""
    section = cfg.calls
    return calls.SweepPolicy(
        kept_ms=section.kept_hours * MS_PER_HOUR,
        unresolved_kept_ms=section.unresolved_kept_hours * MS_PER_HOUR,
        interval_ms=section.sweep_interval_ms,
        page_rows=section.sweep_rows,
        max_writes_per_s=section.sweep_writes_per_s,
    )


def is_sweeper(
    instance: ids.InstanceId, members: membership.MemberView
) -> bool:
    """Return whether an instance is the one that deletes old claims.

    Instances may choose different sweepers while their views of the
    membership differ. The sweep is then done twice, which is harmless.
    """
    this_instance = membership.Peer(
        instance, "", ids.Region(""), ids.DataCentre("")
    )
    all_instances = [this_instance, *members.peers()]
    return membership.rendezvous(SWEEPER_KEY, all_instances, 1) == [
        this_instance
    ]


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
    section = cfg.calls
    writer = calls.RowWriter(
        table,
        calls.WriterPolicy(
            section.claims_per_write,
            section.write_interval_ms,
            section.write_burst,
        ),
        metrics,
    )
    dispatcher = calls.Dispatcher(
        directory,
        cfg.region,
        budget,
        calls.DispatchPolicy(
            timeout_ms=section.timeout_ms,
            attempt_timeout_ms=section.attempt_timeout_ms,
            max_attempts=section.max_attempts,
            backoff_base_ms=section.backoff_base_ms,
            backoff_max_ms=section.backoff_max_ms,
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
            dispatch_within_ms=section.dispatch_within_ms,
            record_wait_ms=section.record_wait_ms,
            replay_bytes=section.replay_bytes,
            timeout_ms=section.timeout_ms,
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
    """Return the exchange of demand for the capacity of ready targets."""
    section = cfg.limits

    def capacities() -> dict[organisations.LimiterKey, float]:
        slots: dict[organisations.LimiterKey, float] = {}
        for target in directory.ready_targets():
            key, amount = _capacity_of(target, section)
            slots[key] = slots.get(key, 0.0) + amount
        return slots

    def weights() -> dict[ids.OrganisationId, float]:
        if not keeper.is_ready:
            return {}
        organisation_by_id = keeper.current.organisations
        return {
            name: entry.weight for name, entry in organisation_by_id.items()
        }

    return organisations.DemandExchange(
        gate,
        shared,
        cfg.instance,
        capacities,
        lambda: directory.entry_instances,
        weights,
        organisations.DemandPolicy(
            interval_ms=section.demand_interval_ms,
            ttl_ms=section.demand_ttl_ms,
            floor_share=section.floor_share,
        ),
        clock,
    )


def _capacity_of(
    target: targets.Target, section: settings.LimitSettings
) -> tuple[organisations.LimiterKey, float]:
    if target.report is not None:
        generation_key = organisations.LimiterKey(
            organisations.WorkKind.GENERATION
        )
        return generation_key, target.report.capacity * section.overcommit
    service = target.listed.service or ""
    key = organisations.LimiterKey(organisations.WorkKind.CALL, service)
    return key, float(section.calls_per_worker)
