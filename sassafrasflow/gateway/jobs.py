"""The state of a request in flight, and the summary of its end."""

import asyncio

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.rechecks import schedule as rechecks

__all__ = ["Ending", "Job"]


class Job(msgspec.Struct):
    """State of one request in flight."""

    req: responses.CallerRequest
    head: protocol.CallerHead
    route: routes.Route
    service: routes.Service
    organisation: routes.Organisation | None
    configuration_version: int
    started_at: float
    # When the caller's or the route's time limit is reached.
    deadline: float
    # Most urgent rank that a stream of the service can have.
    most_urgent_rank: int = 0
    # Place among the ranks of the service's streams, where streams are held.
    stream_rank: int | None = None
    # Tasks that check whether targets crashed while they ran this request.
    crash_attributions: list[asyncio.Task[None]] = msgspec.field(
        default_factory=list
    )
    # Tasks that check whether targets of lost runs still accept connections.
    liveness_checks: list[asyncio.Task[None]] = msgspec.field(
        default_factory=list
    )
    # Targets of lost runs, each with the time at which it got the request.
    lost_runs: list[tuple[targets.Target, float]] = msgspec.field(
        default_factory=list
    )
    # Whether a target has written on this request for a while.
    made_progress: bool = False
    # Permission to run in spite of a verdict, until the request is sent.
    recheck: rechecks.Recheck | None = None
    _fingerprint: poison.Fingerprint | None = None
    _shared_parts: prompt_parts.Parts | None = None

    @property
    def rank(self) -> int:
        """Return the rank, 0 to 9, of which 0 is the most urgent one."""
        if self.stream_rank is not None:
            return self.stream_rank
        return routes.rank_of(self.route, self.organisation)

    @property
    def fingerprint(self) -> poison.Fingerprint:
        """Return the hash that this request shares with its retries."""
        if self._fingerprint is None:
            organisation = self.organisation
            self._fingerprint = poison.fingerprint_of(
                None if organisation is None else organisation.id,
                self.req.url,
                self.req.body,
            )
        return self._fingerprint

    def release_body(self) -> None:
        """Drop the body of a request that has ended.

        The records of its lost runs are kept for some seconds.
        """
        # The digest includes the body.
        self._fingerprint = self.fingerprint
        self.req = msgspec.structs.replace(self.req, body=b"")

    @property
    def shared_parts(self) -> prompt_parts.Parts:
        """Return digests of the prompt parts that other requests may share."""
        if self._shared_parts is None:
            self._shared_parts = prompt_parts.digest_parts(
                self.head.shared_parts
            )
        return self._shared_parts

    @property
    def lost_targets(self) -> int:
        """Return how many lost runs had targets that are known to be lost."""
        return sum(
            target.is_lost_since(sent_at) for target, sent_at in self.lost_runs
        )

    def remaining_s(self, now: float) -> float:
        """Return seconds until the deadline."""
        return self.deadline - now


class Ending(msgspec.Struct, frozen=True):
    """Summary of how a request ended, for its log line."""

    outcome: str
    # Targets that the request was sent to, in order.
    targets: tuple[ids.TargetId, ...] = ()
    first_event_ms: int | None = None
    longest_pause_ms: int | None = None
