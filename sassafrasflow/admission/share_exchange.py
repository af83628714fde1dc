"""Exchange what organisations use, so that shares count over the fleet.

Each organisation has an owner in each data centre. Instances report to the
owners in their own data centre, the owners of an organisation tell each other
the sums of their data centres, and tell the local instances the totals. All of
it is sent only while streams wait somewhere.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import math
import random

from sassafrasflow import ids
from sassafrasflow.admission import share_messages as messages
from sassafrasflow.admission import share_table as tables
from sassafrasflow.admission import shares
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry

__all__ = ["MIN_LONG_WAIT_S", "ShareExchange"]

# Mean time between two rounds of messages, and its relative jitter. A round
# of an instance that uses 24 organisations takes about 2.5 KB of the 4,096
# bytes a second that an instance may send.
ROUND_INTERVAL_S = 2.0
ROUND_JITTER = 0.25
# Messages stop this long after the last stream that is known to have waited.
# Two rounds pass between a wait and the time when all owners know of it.
ACTIVE_S = 2 * ROUND_INTERVAL_S
# A stream that waited for less than this doesn't start the messages. Also in a
# calm fleet, streams wait for their second sample, which takes 0.1 s.
MIN_LONG_WAIT_S = 0.5
TICK_INTERVAL_S = 0.5
# A timer that fires this late shows that the process was suspended. The
# figures that the rounds bring are older than that without a suspension.
LATE_TICK_S = 1.0
# Local instances that an owner tells its totals in a round, in turn, so that
# its messages don't grow with the data centre. In the time after which figures
# expire it reaches 96 of them.
MAX_TOLD_PEERS = 16
# Content of a message; the rest of a datagram is for its head.
MAX_CONTENT_BYTES = 1000
# Bytes of an amount besides its names.
AMOUNT_BYTES = 24
# Bounds of what other instances may report: pairs of a service and an
# organisation, and units of 64 tokens, which no fleet reaches.
MAX_KEYS = 2000
MAX_UNITS = 2**32
# How long the exceeding organisations of a service are not computed again.
DECISION_TTL_S = 0.25
# Log lines on organisations that begin or cease to exceed, for each round.
MAX_CHANGE_LINES = 8

# Weight of the newest stream in the mean size of the streams.
AVERAGE_WEIGHT = 1 / 32

NO_ORGANISATION = ids.OrganisationId("")


class ShareExchange:
    """Share the usage of organisations, and tell which exceed their share."""

    def __init__(
        self,
        instance: ids.InstanceId,
        is_enabled: Callable[[], bool],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        self.exchange: exchanges.PeerExchange | None = None
        self._is_enabled = is_enabled
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._table = tables.ShareTable(instance)
        # When a stream waited last, as far as this instance knows.
        self._waited_at = -math.inf
        # When the keys that were reported had a usage.
        self._reported: dict[tables.Key, float] = {}
        # Mean tokens of a stream, 0 before the first one.
        self._stream_tokens = 0.0
        self._next_round_at = clock()
        # Place of the local peer that gets the next total first.
        self._next_told = 0
        self._ticked_at: float | None = None
        self._resumed_at = -math.inf
        self._decisions: dict[
            ids.ServiceName,
            tuple[float, dict[ids.OrganisationId, shares.Share]],
        ] = {}
        # Organisations that exceeded their share in the last round.
        self._exceeding: set[tables.Key] = set()

    def add_used(
        self,
        service: ids.ServiceName,
        organisation: ids.OrganisationId | None,
        tokens: int,
    ) -> None:
        """Add to the tokens of streams that were sent, or take off."""
        self._record_stream(tokens)
        self._table.add_own(
            (service, organisation or NO_ORGANISATION), tokens, 0
        )

    def add_waiting(
        self,
        service: ids.ServiceName,
        organisation: ids.OrganisationId | None,
        tokens: int,
    ) -> None:
        """Add to the tokens of streams that wait, or take off."""
        self._record_stream(tokens)
        self._table.add_own(
            (service, organisation or NO_ORGANISATION), 0, tokens
        )

    def _record_stream(self, tokens: int) -> None:
        if tokens > 0:
            weight = AVERAGE_WEIGHT if self._stream_tokens else 1.0
            self._stream_tokens += weight * (tokens - self._stream_tokens)

    def record_long_wait(self) -> None:
        """Record that a stream of this instance waits for room."""
        self._waited_at = self._clock()

    def standing_of(
        self,
        service: ids.ServiceName,
        organisation: ids.OrganisationId | None,
    ) -> shares.Standing:
        """Return an organisation's place beside those over their share."""
        exceeding = self._decide(service) if self._is_enabled() else {}
        if not exceeding:
            return shares.Standing.EVEN
        if (organisation or NO_ORGANISATION) in exceeding:
            return shares.Standing.OVER
        return shares.Standing.UNDER

    def exceeding_count(self) -> int:
        """Return how many organisations exceeded their share lately."""
        return len(self._exceeding)

    async def run(self) -> None:
        """Send messages while streams wait, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick(self._clock())

    def tick(self, now: float) -> None:
        """Detect suspensions, and send the messages of a round if it is due.

        Nothing is sent while no stream waits.
        """
        self._forget_if_suspended(now)
        self._ticked_at = now
        if now < self._next_round_at:
            return
        jitter = 1 + ROUND_JITTER * (2 * self._rng.random() - 1)
        self._next_round_at = now + jitter * ROUND_INTERVAL_S
        self._table.expire(now)
        self._record_changes(now)
        exchange = self.exchange
        is_active = now - self._waited_at <= ACTIVE_S
        if exchange is None or not self._is_enabled() or not is_active:
            return
        if not exchange.has_budget():
            self._metrics.count("shares_put_off_total")
            return
        self._send_reports(exchange, now)
        self._send_sums(exchange, now)
        self._send_totals(exchange, now)

    def handle(self, message: messages.ShareMessage) -> None:
        """Handle a message of another instance."""
        now, exchange = self._clock(), self.exchange
        self._forget_if_suspended(now)
        if exchange is None or not self._is_enabled():
            return
        sender = exchange.peers.entry_of(message.sender)
        if sender is None:
            self._reject("unknown_sender")
            return
        problem = self._problem_of(message, sender, now)
        if problem is not None:
            self._reject(problem)
            return
        waited_at = now - message.waited_ms / 1000
        self._waited_at = max(self._waited_at, waited_at)
        for amount in message.amounts:
            key = amount.service, amount.organisation
            usage = shares.Usage(
                amount.used_units * loads.TOKENS_PER_UNIT,
                amount.waiting_units * loads.TOKENS_PER_UNIT,
            )
            if isinstance(message, messages.ShareReport):
                self._table.record_report(sender.id, key, usage, now)
            elif isinstance(message, messages.ShareSums):
                self._table.record_sum(sender.data_centre, key, usage, now)
            else:
                self._table.record_total(key, usage, now)

    def _reject(self, reason: str) -> None:
        self._metrics.count("share_reports_rejected_total", reason=reason)

    def _problem_of(
        self,
        message: messages.ShareMessage,
        sender: registries.InstanceEntry,
        now: float,
    ) -> str | None:
        """Return why a message is ignored, or ``None`` if it is used."""
        if now - self._resumed_at < TICK_INTERVAL_S:
            # It may have arrived before or during the suspension.
            return "suspended"
        own_data_centre = self._own_entry().data_centre
        is_local = sender.data_centre == own_data_centre
        if is_local is isinstance(message, messages.ShareSums):
            return "wrong_data_centre"
        if any(
            max(amount.used_units, amount.waiting_units) > MAX_UNITS
            for amount in message.amounts
        ):
            return "range"
        new = {
            key
            for amount in message.amounts
            if (key := (amount.service, amount.organisation))
            not in self._table
        }
        if len(self._table) + len(new) > MAX_KEYS:
            return "too_many"
        return None

    def _own_entry(self) -> registries.InstanceEntry:
        assert self.exchange is not None
        return self.exchange.peers.own_entry

    def _forget_if_suspended(self, now: float) -> None:
        """Drop the figures from before a suspension of this process."""
        if self._ticked_at is None:
            return
        passed_s = now - self._ticked_at
        if 0 <= passed_s <= TICK_INTERVAL_S + LATE_TICK_S:
            return
        self._ticked_at = self._resumed_at = now
        self._table.forget_others()
        self._decisions.clear()

    def _decide(
        self, service: ids.ServiceName
    ) -> dict[ids.OrganisationId, shares.Share]:
        """Return the organisations that exceed their share of a service."""
        now = self._clock()
        self._forget_if_suspended(now)
        known = self._decisions.get(service)
        if known is not None and now - known[0] < DECISION_TTL_S:
            return known[1]
        exceeding = self._find_exceeding(service, now)
        self._decisions[service] = now, exceeding
        return exceeding

    def _find_exceeding(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.OrganisationId, shares.Share]:
        """Return the organisations over their share of the fleet.

        Own knowledge decides on those whose owner has told no total lately.
        It is not mixed with totals, as an organisation would seem large beside
        others of which only the own streams are known.
        """
        usages = self._table.usages(service, now)
        own = shares.find_exceeding(
            self._table.own_usages(service), self._stream_tokens
        )
        exceeding = shares.find_exceeding(usages, self._stream_tokens)
        for organisation, share in own.items():
            if organisation not in usages:
                exceeding[organisation] = share
        return exceeding

    def _record_changes(self, now: float) -> None:
        """Log which organisations begin or cease to exceed their share."""
        exceeding = {
            (service, organisation): share
            for service in {key[0] for key in self._table.own()}
            for organisation, share in self._find_exceeding(
                service, now
            ).items()
        }
        changed = sorted(self._exceeding ^ exceeding.keys())
        self._exceeding = set(exceeding)
        for key in changed[:MAX_CHANGE_LINES]:
            share = exceeding.get(key)
            self._log.write(
                "share_changed",
                service=key[0],
                organisation=key[1],
                exceeded=share is not None,
                used_tokens=None if share is None else share.usage.used_tokens,
                waiting_tokens=(
                    None if share is None else share.usage.waiting_tokens
                ),
                share_tokens=(
                    None if share is None else round(share.share_tokens)
                ),
            )

    def _send_reports(
        self, exchange: exchanges.PeerExchange, now: float
    ) -> None:
        """Report what this instance's streams use to the local owners.

        What has ended is reported with zero for some rounds.
        """
        own = self._table.own()
        self._reported.update(dict.fromkeys(own, now))
        self._reported = {
            key: at
            for key, at in self._reported.items()
            if now - at <= tables.FIGURES_TTL_S
        }
        usages = {key: own.get(key, shares.NO_USAGE) for key in self._reported}
        owners = self._eligible(exchange, now)[self._own_entry().data_centre]
        for owner, owned in _by_owner(owners, usages).items():
            if owner.id == self._own_entry().id:
                continue
            for amounts in _split(owned):
                message = messages.ShareReport(
                    self._own_entry().id, self._waited_ms(now), amounts
                )
                exchange.send([owner], message)

    def _send_sums(self, exchange: exchanges.PeerExchange, now: float) -> None:
        """Tell the owners in other data centres the sums of this one."""
        sums = {
            key: self._table.local_sum(key, now)
            for key in self._table.reported_keys()
        }
        eligible = self._eligible(exchange, now)
        owned = self._owned(eligible, sums)
        for data_centre, owners in eligible.items():
            if data_centre == self._own_entry().data_centre:
                continue
            for owner, usages in _by_owner(owners, owned).items():
                for amounts in _split(usages):
                    message = messages.ShareSums(
                        self._own_entry().id, self._waited_ms(now), amounts
                    )
                    exchange.send([owner], message)

    def _send_totals(
        self, exchange: exchanges.PeerExchange, now: float
    ) -> None:
        """Tell the local instances the totals of the owned organisations.

        They learn by this that streams wait elsewhere, and report their use.
        """
        totals = {
            key: self._table.total(key, now)
            for key in self._table.summed_keys()
        }
        owned = self._owned(self._eligible(exchange, now), totals)
        for key, usage in owned.items():
            self._table.record_total(key, usage, now)
        local_peers = sorted(
            exchange.peers.local_peers(now), key=lambda peer: peer.id
        )
        start = self._next_told if self._next_told < len(local_peers) else 0
        told = (local_peers[start:] + local_peers[:start])[:MAX_TOLD_PEERS]
        self._next_told = start + len(told)
        if self._next_told >= len(local_peers):
            self._next_told -= len(local_peers)
        for amounts in _split(owned):
            message = messages.ShareTotals(
                self._own_entry().id, self._waited_ms(now), amounts
            )
            exchange.send(told, message)

    def _eligible(
        self, exchange: exchanges.PeerExchange, now: float
    ) -> dict[ids.DataCentre, list[registries.InstanceEntry]]:
        """Return the instances that may own organisations."""
        own = exchange.peers.own_entry
        eligible = {own.data_centre: [own]}
        live = exchange.peers.live(now)
        for data_centre in {peer.data_centre for peer in live}:
            trusted = {
                entry.id
                for entry in exchange.peers.eligible_owners(data_centre, now)
            }
            eligible.setdefault(data_centre, []).extend(
                peer
                for peer in live
                if peer.data_centre == data_centre and peer.id in trusted
            )
        return eligible

    def _owned(
        self,
        eligible: Mapping[ids.DataCentre, list[registries.InstanceEntry]],
        usages: Mapping[tables.Key, shares.Usage],
    ) -> dict[tables.Key, shares.Usage]:
        """Return the part of usages that this instance owns."""
        own = self._own_entry()
        by_owner = _by_owner(eligible[own.data_centre], usages)
        return by_owner.get(own, {})

    def _waited_ms(self, now: float) -> int:
        passed_ms = round(1000 * max(0.0, now - self._waited_at))
        return min(decoding.MAX_COUNT, passed_ms)


def _by_owner(
    owners: Collection[registries.InstanceEntry],
    usages: Mapping[tables.Key, shares.Usage],
) -> dict[registries.InstanceEntry, dict[tables.Key, shares.Usage]]:
    """Return usages by the owner of their organisation."""
    owner_by_organisation: dict[
        ids.OrganisationId, registries.InstanceEntry | None
    ] = {}
    by_owner: dict[
        registries.InstanceEntry, dict[tables.Key, shares.Usage]
    ] = {}
    for key, usage in usages.items():
        organisation = key[1]
        if organisation not in owner_by_organisation:
            owner_by_organisation[organisation] = loads.choose_owner(
                f"share/{organisation}", owners
            )
        owner = owner_by_organisation[organisation]
        if owner is not None:
            by_owner.setdefault(owner, {})[key] = usage
    return by_owner


def _split(
    usages: Mapping[tables.Key, shares.Usage],
) -> Iterator[tuple[messages.ShareAmount, ...]]:
    """Return the amounts of messages, each small enough for a datagram."""
    amounts: list[messages.ShareAmount] = []
    size = 0
    for (service, organisation), usage in usages.items():
        needed = AMOUNT_BYTES + len(f"{service}{organisation}".encode())
        if amounts and size + needed > MAX_CONTENT_BYTES:
            yield tuple(amounts)
            amounts, size = [], 0
        size += needed
        amounts.append(
            messages.ShareAmount(
                service,
                organisation,
                min(MAX_UNITS, loads.to_units(usage.used_tokens)),
                min(MAX_UNITS, loads.to_units(usage.waiting_tokens)),
            )
        )
    if amounts:
        yield tuple(amounts)
