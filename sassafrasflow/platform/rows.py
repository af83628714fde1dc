"""Decode the platform's rows into the gateway's types."""

import functools
import ipaddress
from typing import Literal
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.baseline import baseline as baselines
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import versions
from sassafrasflow.platform import eras
from sassafrasflow.platform import fleet_rows
from sassafrasflow.platform import store as stores

__all__ = ["PlatformRegistry", "decode_configuration", "decode_target"]

T = TypeVar("T")

OPERATOR_TABLE = "op"
TARGET_TABLE = "servers"
# Written by instances: the state of each rollout.
ROLLOUT_TABLE = "sassafrasflow-rollouts"
MAX_PORT = 65535
# Bounds the arithmetic on times; 30 years in seconds.
MAX_ORDER_S = 1e9
# Rows that operators read.
STATUS_TABLE = "status"
CONFIGURATION_KEY = "config"
ROLLOUT_PREFIX = "rollout/"

_CALL_KIND_BY_NAME = {
    "idempotent": routes.CallKind.IDEMPOTENT,
    "non_idempotent": routes.CallKind.AT_MOST_ONCE,
    "streaming": routes.CallKind.STREAM,
}
_STATUS_BY_STAGE = {
    rollouts.Stage.TRYING: "active",
    rollouts.Stage.MOVING: "active",
    rollouts.Stage.COMPLETED: "completed",
    rollouts.Stage.ROLLED_BACK: "rolled_back",
}
_LISTED_STATE_BY_NAME = {
    "ready": targets.ListedState.READY,
    "draining": targets.ListedState.LEAVING,
}


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: decoding.Number


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: decoding.Number
    target_latency_ms: decoding.Number = 0.0
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: decoding.Int = 1
    # 0 is the most urgent.
    priority: decoding.Int = 5
    auth_exempt: bool = False
    resumable: bool = False
    # Longest pause between two events that still counts as on time, called
    # a gap on the wire.
    target_gap_ms: decoding.Number | None = None


class _Engine(msgspec.Struct, rename="pascal"):
    slots: decoding.Int
    kv_capacity_tokens: decoding.Int
    # Whether the engines hold copies of each other's runs.
    backups: bool = False


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: decoding.Int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: decoding.Int = 16384
    max_body_bytes: decoding.Int = 4194304
    header_timeout_ms: decoding.Number = 3000
    idle_timeout_ms: decoding.Number = 15000


class _Tenant(msgspec.Struct, rename="pascal"):
    name: decoding.Text
    api_keys: tuple[str, ...] = ()
    priority: decoding.Int | None = None


class _Configuration(msgspec.Struct, rename="pascal"):
    version: decoding.Int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | None = None


class _Target(msgspec.Struct, rename="pascal"):
    service: decoding.Name
    address: str
    zone: decoding.Name
    # Version of the target's software, not of this row.
    version: decoding.Name
    slots: decoding.Count
    state: Literal["ready", "draining"]
    cold_remaining_ms: decoding.Number
    sequence: decoding.Int
    born: decoding.Int = msgspec.field(name="born", default=0)


class _Order(msgspec.Struct, rename="pascal"):
    service: decoding.Name
    # The version that the service's traffic moves to.
    to: decoding.Name
    # Time after which the new version must be in force.
    duration_s: decoding.Number


class _RolloutStatus(msgspec.Struct, rename="pascal"):
    service: str
    to: str
    state: str


class _Rollout(msgspec.Struct):
    version: decoding.Name
    order_revision: decoding.Int
    began_ms: decoding.Int
    deadline_ms: decoding.Int
    stage: str
    reason: decoding.Name
    requests: decoding.Count
    exposed: decoding.Count
    cells: tuple[trials.Cell, ...]
    # Versions of the order's row; rows of older software lack them.
    orders: tuple[versions.StoreVersion, ...] = ()
    replaced: tuple[tuple[ids.VersionId, versions.StoreVersion], ...] = ()
    baseline: baselines.Baseline | None = None


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_target_decoder = msgspec.json.Decoder(_Target)
_order_decoder = msgspec.json.Decoder(_Order)
_rollout_decoder = msgspec.json.Decoder(_Rollout)


def decode_configuration(content: bytes) -> routes.Configuration:
    """Decode the configuration that operators wrote.

    Raises
    ------
    ValueError : the content is not a valid configuration
    """
    wire = _configuration_decoder.decode(content)
    routes_by_host: dict[str, list[routes.Route]] = {}
    for item in wire.routes:
        routes_by_host.setdefault(item.host.lower(), []).append(
            _build_route(item)
        )
    organisations = None
    if wire.tenants is not None:
        organisations = {
            key: routes.Organisation(
                ids.OrganisationId(tenant.name), tenant.priority
            )
            for tenant in wire.tenants
            for key in tenant.api_keys
        }
    return routes.Configuration(
        version=wire.version,
        routes={
            host: tuple(host_routes)
            for host, host_routes in routes_by_host.items()
        },
        services={
            ids.ServiceName(item.name): _build_service(item)
            for item in wire.services
        },
        organisations=organisations,
        limits=routes.CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / 1000,
            wire.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_target(key: str, content: bytes) -> targets.ListedTarget:
    """Decode the entry that a target wrote about itself.

    Raises
    ------
    ValueError : the content was not written by a target
    """
    wire = _target_decoder.decode(content)
    host, port = _parse_address(wire.address)
    return targets.ListedTarget(
        id=ids.TargetId(msgspec.convert(key, decoding.Name)),
        service=ids.ServiceName(wire.service),
        host=host,
        port=port,
        data_centre=ids.DataCentre(wire.zone),
        slots=wire.slots,
        state=_LISTED_STATE_BY_NAME[wire.state],
        version=ids.VersionId(wire.version),
        started_ms=wire.born,
        warming_ms=wire.cold_remaining_ms,
    )


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("port out of range")
    return str(ipaddress.IPv4Address(host)), int(port)


class PlatformRegistry(fleet_rows.FleetRows):
    """Read and write the rows of operators, targets and instances."""

    async def read_targets(self) -> registry.TargetUpdate:
        return self._target_update(await self._store.read_rows(TARGET_TABLE))

    async def await_targets(
        self, after: versions.StoreVersion, wait_s: float
    ) -> registry.TargetUpdate:
        page = await self._store.await_changes(TARGET_TABLE, after, wait_s)
        return self._target_update(page)

    async def read_settings(self) -> registry.SettingsUpdate:
        return self._settings_update(
            await self._store.read_rows(OPERATOR_TABLE)
        )

    async def await_settings(
        self, after: versions.StoreVersion, wait_s: float
    ) -> registry.SettingsUpdate:
        page = await self._store.await_changes(OPERATOR_TABLE, after, wait_s)
        return self._settings_update(page)

    async def read_rollouts(self) -> registry.RolloutUpdate:
        page = await self._store.read_rows(ROLLOUT_TABLE)
        records = (
            self._decode(
                row, functools.partial(_decode_rollout, row, page.era)
            )
            for row in page.rows
        )
        return registry.RolloutUpdate(
            tuple(record for record in records if record is not None),
            page.era,
        )

    async def write_rollout(
        self, record: rollouts.Record
    ) -> versions.StoreVersion:
        state = _Rollout(
            record.version,
            record.order_revision,
            record.began_ms,
            record.deadline_ms,
            record.stage.value,
            record.reason,
            record.requests,
            record.exposed,
            record.cells,
            record.orders,
            record.replaced,
            record.baseline,
        )
        status = _RolloutStatus(
            record.service, record.version, _STATUS_BY_STAGE[record.stage]
        )
        return await self._store.write(
            [
                stores.Write(
                    ROLLOUT_TABLE,
                    record.service,
                    msgspec.json.encode(state),
                    record.revision,
                ),
                stores.Write(
                    STATUS_TABLE,
                    ROLLOUT_PREFIX + record.service,
                    msgspec.json.encode(status),
                ),
                *eras.fence(record.era),
            ]
        )

    def _target_update(self, page: stores.Page) -> registry.TargetUpdate:
        changes = tuple(
            targets.TargetChange(
                ids.TargetId(row.key),
                row.revision,
                self._decode(row, functools.partial(decode_target, row.key)),
            )
            for row in page.rows
        )
        return registry.TargetUpdate(
            changes, page.revision, page.store_ms, page.era
        )

    def _settings_update(self, page: stores.Page) -> registry.SettingsUpdate:
        configuration = None
        orders = []
        for row in page.rows:
            if row.key == CONFIGURATION_KEY:
                decoded = self._decode(row, decode_configuration)
                configuration = decoded or configuration
            elif row.key.startswith(ROLLOUT_PREFIX):
                order = self._decode(
                    row, functools.partial(_decode_order, row, page.era)
                )
                if order is not None:
                    orders.append(order)
        return registry.SettingsUpdate(
            configuration,
            page.revision,
            max((row.revision for row in page.rows), default=0),
            len(page.rows),
            tuple(orders),
            page.era,
        )


def _decode_order(
    row: stores.StoreRow, era: ids.StoreEra, content: bytes
) -> rollouts.Order:
    wire = _order_decoder.decode(content)
    if abs(wire.duration_s) > MAX_ORDER_S:
        raise ValueError("duration out of range")
    return rollouts.Order(
        ids.ServiceName(wire.service),
        ids.VersionId(wire.to),
        wire.duration_s,
        row.revision,
        era,
    )


def _decode_rollout(
    row: stores.StoreRow, era: ids.StoreEra, content: bytes
) -> rollouts.Record:
    wire = _rollout_decoder.decode(content)
    return rollouts.Record(
        ids.ServiceName(row.key),
        ids.VersionId(wire.version),
        wire.order_revision,
        wire.began_ms,
        wire.deadline_ms,
        rollouts.Stage(wire.stage),
        wire.reason,
        row.revision,
        wire.requests,
        wire.exposed,
        wire.cells,
        era,
        wire.orders,
        wire.replaced,
        wire.baseline,
    )


def _build_route(wire: _Route) -> routes.Route:
    if wire.kind not in _CALL_KIND_BY_NAME:
        raise ValueError(f"unknown kind {wire.kind!r}")
    shares = wire.traffic_split
    if not shares and wire.service is not None:
        shares = (_Share(wire.service, 1.0),)
    max_pause_ms = wire.target_gap_ms
    return routes.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_CALL_KIND_BY_NAME[wire.kind],
        shares=tuple(
            routes.ServiceShare(ids.ServiceName(item.service), item.weight)
            for item in shares
        ),
        timeout_s=wire.timeout_ms / 1000,
        latency_goal_s=wire.target_latency_ms / 1000,
        max_targets=max(1, wire.max_attempts),
        rank=wire.priority,
        needs_key=not wire.auth_exempt,
        resumable=wire.resumable,
        max_pause_s=None if max_pause_ms is None else max_pause_ms / 1000,
    )


def _build_service(wire: _Service) -> routes.Service:
    engine = None
    if wire.engine is not None:
        engine = routes.EngineProfile(
            wire.engine.slots,
            wire.engine.kv_capacity_tokens,
            wire.engine.backups,
        )
    return routes.Service(
        ids.ServiceName(wire.name), wire.max_connections, engine
    )
