"""What an instance knows of the usage of organisations; soft state."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import shares
from sassafrasflow.gateway import loads

__all__ = ["Key", "ShareTable"]

# Service and organisation.
Key = tuple[ids.ServiceName, ids.OrganisationId]

# Figures expire after this long, like the reports of loads.
FIGURES_TTL_S = loads.REPORT_TTL_S


class _Figure(msgspec.Struct, frozen=True):
    usage: shares.Usage
    received_at: float


class ShareTable:
    """Figures of this instance, of local peers, data centres and the fleet.

    An owner adds up the reports of the local instances and the sums of other
    data centres. All instances keep the totals that owners send them.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own_id = own
        self._own: dict[Key, shares.Usage] = {}
        self._reports: dict[Key, dict[ids.InstanceId, _Figure]] = {}
        self._sums: dict[Key, dict[ids.DataCentre, _Figure]] = {}
        self._totals: dict[Key, _Figure] = {}

    def __len__(self) -> int:
        return len({*self._reports, *self._sums, *self._totals})

    def __contains__(self, key: Key) -> bool:
        return any(
            key in known for known in (self._reports, self._sums, self._totals)
        )

    def add_own(self, key: Key, used_tokens: int, waiting_tokens: int) -> None:
        """Add to what the streams of this instance use and wait for."""
        usage = self._own.get(key, shares.NO_USAGE).plus(
            shares.Usage(used_tokens, waiting_tokens)
        )
        if usage == shares.NO_USAGE:
            self._own.pop(key, None)
        else:
            self._own[key] = usage

    def own(self) -> dict[Key, shares.Usage]:
        """Return what the streams of this instance use and wait for."""
        return dict(self._own)

    def record_report(
        self,
        sender: ids.InstanceId,
        key: Key,
        usage: shares.Usage,
        now: float,
    ) -> None:
        """Record the usage at a local instance."""
        self._reports.setdefault(key, {})[sender] = _Figure(usage, now)

    def record_sum(
        self,
        data_centre: ids.DataCentre,
        key: Key,
        usage: shares.Usage,
        now: float,
    ) -> None:
        """Record the usage in another data centre."""
        self._sums.setdefault(key, {})[data_centre] = _Figure(usage, now)

    def record_total(self, key: Key, usage: shares.Usage, now: float) -> None:
        """Record the usage in the fleet, as an owner sums it up."""
        self._totals[key] = _Figure(usage, now)

    def local_sum(self, key: Key, now: float) -> shares.Usage:
        """Return the usage in this data centre, as far as it is reported."""
        figures = {
            sender: figure
            for sender, figure in self._reports.get(key, {}).items()
            if sender != self._own_id
        }
        own = self._own.get(key, shares.NO_USAGE)
        return _sum([own, *_fresh(figures.values(), now)])

    def total(self, key: Key, now: float) -> shares.Usage:
        """Return the usage in the fleet, as far as it is known here."""
        elsewhere = _fresh(self._sums.get(key, {}).values(), now)
        return _sum([self.local_sum(key, now), *elsewhere])

    def reported_keys(self) -> set[Key]:
        """Return the keys that this instance has reports or usage of."""
        return {*self._own, *self._reports}

    def summed_keys(self) -> set[Key]:
        """Return the keys that this instance could tell the total of."""
        return {*self._own, *self._reports, *self._sums}

    def own_usages(
        self, service: ids.ServiceName
    ) -> dict[ids.OrganisationId, shares.Usage]:
        """Return the usage of a service at this instance."""
        return {
            key[1]: usage
            for key, usage in self._own.items()
            if key[0] == service
        }

    def usages(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.OrganisationId, shares.Usage]:
        """Return the usage of a service in the fleet, as owners told it."""
        return {
            key[1]: figure.usage
            for key, figure in self._totals.items()
            if key[0] == service and _is_fresh(figure, now)
        }

    def expire(self, now: float) -> None:
        """Remove figures that were not repeated."""
        by_sender: dict[Key, dict[ids.InstanceId, _Figure]] = self._reports
        by_centre: dict[Key, dict[ids.DataCentre, _Figure]] = self._sums
        self._reports = {
            key: fresh
            for key, figures in by_sender.items()
            if (
                fresh := {
                    sender: figure
                    for sender, figure in figures.items()
                    if _is_fresh(figure, now)
                }
            )
        }
        self._sums = {
            key: fresh_sums
            for key, sums in by_centre.items()
            if (
                fresh_sums := {
                    centre: figure
                    for centre, figure in sums.items()
                    if _is_fresh(figure, now)
                }
            )
        }
        self._totals = {
            key: figure
            for key, figure in self._totals.items()
            if _is_fresh(figure, now)
        }

    def forget_others(self) -> None:
        """Remove all figures but those of this instance's own streams."""
        self._reports.clear()
        self._sums.clear()
        self._totals.clear()


def _is_fresh(figure: _Figure, now: float) -> bool:
    return 0 <= now - figure.received_at <= FIGURES_TTL_S


def _fresh(
    figures: Iterable[_Figure | None], now: float
) -> Iterator[shares.Usage]:
    for figure in figures:
        if figure is not None and _is_fresh(figure, now):
            yield figure.usage


def _sum(usages: Iterable[shares.Usage]) -> shares.Usage:
    total = shares.NO_USAGE
    for usage in usages:
        total = total.plus(usage)
    return total
