"""The active configuration: routes, services, organisations and limits."""

import bisect
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding

__all__ = [
    "CallKind",
    "CallerLimits",
    "Configuration",
    "EngineProfile",
    "KeyOutcome",
    "Organisation",
    "Route",
    "Service",
    "ServiceShare",
    "StreamRanks",
    "choose_service",
    "identify_caller",
    "match_route",
    "rank_of",
]

# The least urgent rank; 0 is the most urgent one.
MAX_RANK = 9


class CallKind(enum.Enum):
    """Kind of request: how often it may run, and how it is answered."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """Weighted share of a route's requests that goes to a service."""

    service: ids.ServiceName
    weight: decoding.Number


class Route(msgspec.Struct, frozen=True):
    """How requests for a host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout_s: decoding.Number
    latency_goal_s: decoding.Number
    max_targets: decoding.Int = 1
    rank: decoding.Int = 5
    needs_key: bool = True
    resumable: bool = False
    max_pause_s: decoding.Number | None = None

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True):
    """Properties of the model engines behind a service."""

    slots: decoding.Int
    memory_tokens: decoding.Int
    keeps_copies: bool = False


class Service(msgspec.Struct, frozen=True):
    """Pool of targets."""

    name: ids.ServiceName
    max_connections: decoding.Int
    engine: EngineProfile | None = None


class Organisation(msgspec.Struct, frozen=True):
    """Owner of a key; its rank overrides the route's."""

    id: ids.OrganisationId
    rank: decoding.Int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the receive time of callers' requests."""

    head_bytes: decoding.Int = 16384
    body_bytes: decoding.Int = 4 * 1024 * 1024
    head_timeout_s: decoding.Number = 3.0
    idle_timeout_s: decoding.Number = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration."""

    version: decoding.Int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ids.ServiceName, Service]
    # Organisation by key. None if no organisations are configured; keys are
    # not checked then.
    organisations: Mapping[str, Organisation] | None
    limits: CallerLimits


class KeyOutcome(enum.Enum):
    """Result of checking a request's key."""

    KNOWN = "known"
    NOT_NEEDED = "not_needed"
    UNKNOWN = "unknown"


def rank_of(route: Route, organisation: Organisation | None) -> int:
    """Return the rank of the organisation or else the route, 0 to 9."""
    rank = route.rank
    if organisation is not None and organisation.rank is not None:
        rank = organisation.rank
    return min(MAX_RANK, max(0, rank))


class StreamRanks:
    """Order of the streams of each service, from the most urgent ones.

    The organisation's rank overrides the route's. Among streams that are equal
    by it, those of the more urgent route come first, as an organisation may
    have urgent and patient streams.
    """

    def __init__(self) -> None:
        self._cfg: Configuration | None = None
        self._order_by_service: dict[ids.ServiceName, list[_RankPair]] = {}

    def place_of(
        self,
        cfg: Configuration,
        service: ids.ServiceName,
        route: Route,
        organisation: Organisation | None,
    ) -> int:
        """Return the place of a stream's ranks in the order of its service.

        The most urgent streams have place 0, and no place is above 9.
        """
        order = self._order(cfg, service)
        pair = _rank_pair(route, organisation)
        return min(MAX_RANK, bisect.bisect_left(order, pair))

    def most_urgent(self, cfg: Configuration, service: ids.ServiceName) -> int:
        """Return the most urgent rank of a service's streams."""
        order = self._order(cfg, service)
        return order[0][0] if order else 0

    def _order(
        self, cfg: Configuration, service: ids.ServiceName
    ) -> list["_RankPair"]:
        if cfg is not self._cfg:
            self._cfg = cfg
            self._order_by_service = {}
        if service not in self._order_by_service:
            self._order_by_service[service] = sorted(
                set(_stream_ranks(cfg, service))
            )
        return self._order_by_service[service]


# Rank of the organisation or else the route, and rank of the route.
_RankPair = tuple[int, int]


def _rank_pair(route: Route, organisation: Organisation | None) -> _RankPair:
    return rank_of(route, organisation), rank_of(route, None)


def _stream_ranks(
    cfg: Configuration, service: ids.ServiceName
) -> Iterator[_RankPair]:
    organisations = set((cfg.organisations or {}).values())
    for route in itertools.chain.from_iterable(cfg.routes.values()):
        if route.kind is not CallKind.STREAM or not any(
            share.service == service and share.weight > 0
            for share in route.shares
        ):
            continue
        if cfg.organisations is None or not route.needs_key:
            yield _rank_pair(route, None)
        for organisation in organisations:
            yield _rank_pair(route, organisation)


def match_route(cfg: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches the path."""
    best = None
    for route in cfg.routes.get(host, ()):
        if path.startswith(route.prefix) and (
            best is None or len(route.prefix) > len(best.prefix)
        ):
            best = route
    return best


def identify_caller(
    cfg: Configuration, route: Route, keys: Sequence[str]
) -> tuple[KeyOutcome, Organisation | None]:
    """Return the key check's result and the organisation, if identified.

    A key is looked up only if the request has exactly one.
    """
    organisation = None
    if cfg.organisations is not None and len(keys) == 1:
        organisation = cfg.organisations.get(keys[0])
    if organisation is not None:
        return KeyOutcome.KNOWN, organisation
    if cfg.organisations is None or not route.needs_key:
        return KeyOutcome.NOT_NEEDED, None
    return KeyOutcome.UNKNOWN, None


def choose_service(
    route: Route,
    rng: random.Random,
    avoid: Collection[ids.ServiceName] = (),
) -> ids.ServiceName | None:
    """Draw a service by weight, avoiding some if another is available."""
    shares = [share for share in route.shares if share.weight > 0]
    preferred = [share for share in shares if share.service not in avoid]
    shares = preferred or shares
    if not shares:
        return None
    if len(shares) == 1:
        return shares[0].service
    return rng.choices(shares, [share.weight for share in shares])[0].service
