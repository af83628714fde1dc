"""Messages between instances about rechecks of verdicts."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import versions

__all__ = ["RecheckNotice"]


class RecheckNotice(
    msgspec.Struct, frozen=True, array_like=True, tag="recheck"
):
    """Notice to all instances that one of them has claimed a recheck."""

    sender: ids.InstanceId
    fingerprint: poison.Fingerprint
    number: decoding.Count
    claimed_ms_ago: decoding.Int
    # Version of the row that the claim has written.
    version: versions.StoreVersion
