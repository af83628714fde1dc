"""Status of one instance for operators and their scripts."""

from typing import Any

import litestar
import msgspec

import sassafrasflow
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import targets
from sassafrasflow.api import auth

__all__ = [
    "InstanceIdentity",
    "InstanceStatus",
    "PeerStatus",
    "StatusRoutes",
]


class InstanceIdentity(msgspec.Struct, frozen=True):
    """Identify an instance and its location."""

    instance: ids.InstanceId
    region: ids.Region
    data_centre: ids.DataCentre


class TargetStatus(msgspec.Struct, frozen=True):
    """Describe one target as this instance sees it."""

    id: ids.TargetId
    kind: str
    region: ids.Region
    state: str
    running_here: int
    load: float
    serves: list[str]


class PeerStatus(msgspec.Struct, frozen=True):
    """Identify a peer that is considered alive."""

    instance: ids.InstanceId
    region: ids.Region
    data_centre: ids.DataCentre


class InstanceStatus(msgspec.Struct, frozen=True):
    """Describe the state of one instance; ages are in seconds."""

    instance: ids.InstanceId
    region: ids.Region
    data_centre: ids.DataCentre
    version: str
    ready: bool
    stopping: bool
    revision: ids.Revision | None
    revision_age_s: float | None
    running_generations: int
    peers: list[PeerStatus]
    targets: list[TargetStatus]


class StatusRoutes:
    """Serve the status of an instance to operators."""

    def __init__(
        self,
        identity: InstanceIdentity,
        keeper: configuration.ConfigurationKeeper,
        directory: targets.TargetDirectory,
        registry: generations.GenerationRegistry,
        members: membership.MemberView,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._keeper = keeper
        self._directory = directory
        self._registry = registry
        self._members = members
        self._clock = clock

    def show(
        self, req: litestar.Request[Any, Any, Any], *, stopping: bool
    ) -> litestar.Response[bytes]:
        """Return the status as a JSON response.

        Raises
        ------
        Refusal : the key is missing or does not belong to an operator
        """
        auth.authenticate_operator(req, self._keeper.current)
        return litestar.Response(
            msgspec.json.encode(self.status(stopping=stopping)),
            media_type="application/json",
        )

    def status(self, *, stopping: bool) -> InstanceStatus:
        """Return the current status."""
        ready = self._keeper.is_ready
        age_s = self._keeper.age_s()
        return InstanceStatus(
            instance=self._identity.instance,
            region=self._identity.region,
            data_centre=self._identity.data_centre,
            version=sassafrasflow.__version__,
            ready=ready and not stopping,
            stopping=stopping,
            revision=self._keeper.current.revision if ready else None,
            revision_age_s=None if age_s is None else round(age_s, 3),
            running_generations=self._registry.running,
            peers=[
                PeerStatus(peer.instance, peer.region, peer.data_centre)
                for peer in self._members.peers()
            ],
            targets=[self._target(item) for item in self._directory],
        )

    def _target(self, target: targets.Target) -> TargetStatus:
        return TargetStatus(
            id=target.id,
            kind=target.listed.kind.value,
            region=target.listed.region,
            state=target.state(self._clock.monotonic()).value,
            running_here=target.running_here,
            load=round(target.load(), 3),
            serves=_served_names(target),
        )


def _served_names(target: targets.Target) -> list[str]:
    if target.listed.service is not None:
        return [target.listed.service]
    if target.report is None:
        return []
    return [
        f"{loaded.model}@{loaded.version}"
        for loaded in target.report.loaded
        if loaded.ready
    ]
