"""State machine of a lease, without I/O.

The caller applies readings of the table to :class:`Lease`, which returns the
next action. Time is monotonic and local. To an observer, a lease lapses once
its heartbeat has not changed for the whole term on the observer's own clock,
so the clocks of two instances are never compared.
"""

import enum

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids

__all__ = [
    "FencingToken",
    "Lease",
    "LeaseAction",
    "LeasePolicy",
    "LeaseRecord",
    "LeaseView",
]

FencingToken = int


class LeasePolicy(msgspec.Struct, frozen=True):
    """Durations of a lease: its term, the time to renewal, a safety margin.

    ``longest_order_ms`` is the maximum duration of an order that a holder
    sends.
    """

    term_ms: int = 3_000
    renew_after_ms: int = 1_000
    safety_margin_ms: int = 500
    longest_order_ms: int = 1_500


class LeaseRecord(msgspec.Struct, frozen=True):
    """Stored lease; the holder is empty after a release.

    The fencing token increases with each holder and never decreases.
    """

    holder: ids.InstanceId
    fencing: FencingToken
    token: str


class LeaseView(msgspec.Struct, frozen=True):
    """One reading of both rows; a missing row has version 0."""

    record: LeaseRecord | None
    row_version: int
    heartbeat_version: int


class LeaseAction(enum.Enum):
    """Next action of the keeper of a lease."""

    WAIT = "wait"
    RENEW = "renew"
    ACQUIRE = "acquire"


class Lease:
    """Track one lease from the view of one instance."""

    def __init__(self, instance: ids.InstanceId, policy: LeasePolicy) -> None:
        self._instance = instance
        self._policy = policy
        self._view: LeaseView | None = None
        self._unchanged_since = 0.0
        self._valid_until: float | None = None
        self._fencing_token: FencingToken | None = None
        self._renewed_at = 0.0
        self._orders_allowed_at = 0.0

    @property
    def view(self) -> LeaseView | None:
        """Return the last reading of the table."""
        return self._view

    def next_fencing_token(self) -> FencingToken:
        """Return the fencing token for the next holder."""
        record = self._view.record if self._view else None
        return 1 if record is None else record.fencing + 1

    def apply_reading(self, now: float, view: LeaseView) -> None:
        """Apply a reading of the table."""
        if view != self._view:
            self._unchanged_since = now
        self._view = view
        record = view.record
        # Another process may run under the same instance name, so the fencing
        # token decides whether the lease is still held.
        if record is None or record.fencing != self._fencing_token:
            self._valid_until = None

    def apply_acquisition(
        self, sent_at: float, view: LeaseView, *, after_release: bool
    ) -> None:
        """Record the lease as held from the time at which the write was sent.

        Unless the last holder released the lease, orders are not allowed
        until an order that it sent just before the lapse has ended.
        """
        assert view.record is not None
        self._view = view
        self._fencing_token = view.record.fencing
        self._unchanged_since = sent_at
        self._extend(sent_at)
        wait_ms = 0 if after_release else self._policy.longest_order_ms
        self._orders_allowed_at = sent_at + wait_ms / 1000

    def apply_renewal(self, sent_at: float, view: LeaseView) -> None:
        """Extend the lease from the time at which the write was sent."""
        self._view = view
        self._unchanged_since = sent_at
        self._extend(sent_at)

    def apply_release(self) -> None:
        """Stop holding the lease."""
        self._valid_until = None

    def is_held(self, now: float) -> bool:
        """Return whether this instance holds the lease now."""
        return self._valid_until is not None and now < self._valid_until

    def fencing_token(self, now: float) -> FencingToken:
        """Return the fencing token for an order that is sent now.

        Raises
        ------
        LeaseLost : the lease is not held, or orders are not allowed yet
        """
        if not self.is_held(now) or now < self._orders_allowed_at:
            raise exceptions.LeaseLost("the lease is not held")
        assert self._fencing_token is not None
        return self._fencing_token

    def next_action(self, now: float) -> LeaseAction:
        """Return the action that is due now."""
        if self._view is None:
            return LeaseAction.WAIT
        if self.is_held(now):
            due = self._renewed_at + self._policy.renew_after_ms / 1000
            return LeaseAction.RENEW if now >= due else LeaseAction.WAIT
        return LeaseAction.ACQUIRE if self._is_free(now) else LeaseAction.WAIT

    def is_released(self) -> bool:
        """Return whether there was no holder or the last one released it."""
        record = self._view.record if self._view else None
        return record is None or not record.holder

    def _is_free(self, now: float) -> bool:
        if self.is_released():
            return True
        lapses_at = self._unchanged_since + self._policy.term_ms / 1000
        return now >= lapses_at

    def _extend(self, sent_at: float) -> None:
        usable_ms = self._policy.term_ms - self._policy.safety_margin_ms
        self._renewed_at = sent_at
        self._valid_until = sent_at + usable_ms / 1000
