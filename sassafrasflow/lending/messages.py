"""Messages by which instances lend each other retries."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import registry as registries

__all__ = ["LoanGrant", "LoanMessage", "LoanRequest", "LoanReturn"]


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag="borrow"):
    """Request for retries of a service."""

    sender: registries.InstanceEntry
    # Random, so that no grant of an earlier incarnation fits.
    number: decoding.Count
    service: ids.ServiceName
    amount: decoding.Count


class LoanGrant(msgspec.Struct, frozen=True, array_like=True, tag="lend"):
    """Answer to a request; an amount of 0 says that none can be lent."""

    sender: ids.InstanceId
    number: decoding.Count
    service: ids.ServiceName
    amount: decoding.Count


class LoanReturn(msgspec.Struct, frozen=True, array_like=True, tag="repay"):
    """Return of what the borrower did not spend, and no longer can."""

    sender: ids.InstanceId
    number: decoding.Count
    service: ids.ServiceName
    amount: decoding.Count


LoanMessage = LoanRequest | LoanGrant | LoanReturn
