"""Messages between instances on the tokens of organisations."""

from typing import Annotated

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding

__all__ = [
    "ShareAmount",
    "ShareMessage",
    "ShareReport",
    "ShareSums",
    "ShareTotals",
]

Organisation = Annotated[
    ids.OrganisationId, msgspec.Meta(pattern=decoding.NAME_PATTERN)
]
Service = Annotated[
    ids.ServiceName, msgspec.Meta(pattern=decoding.NAME_PATTERN)
]


class ShareAmount(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of an organisation's streams of one service, in units."""

    service: Service
    organisation: Organisation
    used_units: decoding.Count = 0
    waiting_units: decoding.Count = 0


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """Report of one instance to the local owner of some organisations."""

    sender: ids.InstanceId
    # Milliseconds since the sender knew of a stream that waited.
    waited_ms: decoding.Count
    amounts: tuple[ShareAmount, ...]


class ShareSums(
    msgspec.Struct, frozen=True, array_like=True, tag="share_sums"
):
    """Sums of a data centre, from its owner to those of the others."""

    sender: ids.InstanceId
    waited_ms: decoding.Count
    amounts: tuple[ShareAmount, ...]


class ShareTotals(
    msgspec.Struct, frozen=True, array_like=True, tag="share_totals"
):
    """Totals of the fleet, from an owner to instances of its data centre."""

    sender: ids.InstanceId
    waited_ms: decoding.Count
    amounts: tuple[ShareAmount, ...]


ShareMessage = ShareReport | ShareSums | ShareTotals
