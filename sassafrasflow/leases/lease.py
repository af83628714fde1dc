"""Lease: which instance may give orders, decided without I/O.

Feed :class:`Lease` what the table says and ask what to do next. Time is
monotonic and local: an observer lets a lease lapse once its heartbeat has
stood still for the whole term on the observer's own clock, so no two
clocks are ever compared.
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
    """Set the term of a lease and how early it is renewed."""

    term_ms: int = 3_000
    renew_after_ms: int = 1_000
    safety_margin_ms: int = 500
    longest_order_ms: int = 1_500


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold the stored lease; an empty holder has released it.

    The fencing token rises with each holder and never falls.
    """

    holder: ids.InstanceId
    fencing: FencingToken
    token: str


class LeaseView(msgspec.Struct, frozen=True):
    """Hold one reading of both rows; version 0 means an absent row."""

    record: LeaseRecord | None
    row_version: int
    heartbeat_version: int


class LeaseAction(enum.Enum):
    """Name what the keeper of a lease does next."""

    WAIT = "wait"
    RENEW = "renew"
    ACQUIRE = "acquire"


class Lease:
    """Follow one lease as one instance sees it."""

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
        """Return the last reading."""
        return self._view

    def next_fencing_token(self) -> FencingToken:
        """Return the fencing token of the next holder."""
        record = self._view.record if self._view else None
        return 1 if record is None else record.fencing + 1

    def apply_reading(self, now: float, view: LeaseView) -> None:
        """Apply a reading of the table."""
        if view != self._view:
            self._unchanged_since = now
        self._view = view
        record = view.record
        # Another process may run under the same name, so the token decides.
        if record is None or record.fencing != self._fencing_token:
            self._valid_until = None

    def apply_acquisition(
        self, sent_at: float, view: LeaseView, *, after_release: bool
    ) -> None:
        """Start to hold the lease from the time the write was sent.

        Unless the last holder released the lease, orders wait until one
        that it sent just before its lease lapsed has ended.
        """
        assert view.record is not None
        self._view = view
        self._fencing_token = view.record.fencing
        self._unchanged_since = sent_at
        self._extend(sent_at)
        wait_ms = 0 if after_release else self._policy.longest_order_ms
        self._orders_allowed_at = sent_at + wait_ms / 1000

    def apply_renewal(self, sent_at: float, view: LeaseView) -> None:
        """Extend the lease from the time the write was sent."""
        self._view = view
        self._unchanged_since = sent_at
        self._extend(sent_at)

    def apply_release(self) -> None:
        """Stop holding the lease."""
        self._valid_until = None

    def is_held(self, now: float) -> bool:
        """Tell whether this instance holds the lease at this moment."""
        return self._valid_until is not None and now < self._valid_until

    def fencing_token(self, now: float) -> FencingToken:
        """Return the token for an order that is sent now.

        Raises
        ------
        LeaseLost : the lease is not held, or orders have to wait
        """
        if not self.is_held(now) or now < self._orders_allowed_at:
            raise exceptions.LeaseLost("the lease is not held")
        assert self._fencing_token is not None
        return self._fencing_token

    def next_action(self, now: float) -> LeaseAction:
        """Return what to do now."""
        if self._view is None:
            return LeaseAction.WAIT
        if self.is_held(now):
            due = self._renewed_at + self._policy.renew_after_ms / 1000
            return LeaseAction.RENEW if now >= due else LeaseAction.WAIT
        return LeaseAction.ACQUIRE if self._is_free(now) else LeaseAction.WAIT

    def is_released(self) -> bool:
        """Tell whether the last holder gave the lease back."""
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
