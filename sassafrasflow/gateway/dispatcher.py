"""Admit callers' requests and run a session of their kind for each."""

import asyncio
from collections.abc import Callable
import contextlib

from sassafrasflow import ids
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import callers
from sassafrasflow.gateway import calls
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import stopping
from sassafrasflow.gateway import streams
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import policy

__all__ = ["RETRY_AFTER_STOPPING_S", "Dispatcher", "time_limit_s"]

# An instance reads its first configuration within a second of its start.
RETRY_AFTER_NOT_READY_S = 0.5
# How long requests wait for an instance that is still starting. Callers
# give up on a request that is unread after 1 s, and a healthy store answers a
# new instance within 0.1 s.
MAX_START_WAIT_S = 0.8
# A stopping instance gets no new connections, so the caller's next attempt
# reaches another instance.
RETRY_AFTER_STOPPING_S = 0.05


class Dispatcher:
    """Route requests and log their outcomes."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        configuration: Callable[[], routes.Configuration | None],
        ready: asyncio.Event,
        stopping_for_s: Callable[[], float | None],
    ) -> None:
        self._access = access
        self._configuration = configuration
        self._ready = ready
        self._stopping_for_s = stopping_for_s
        self._stream_ranks = routes.StreamRanks()
        self.in_flight = 0

    async def handle(
        self, req: responses.CallerRequest, responder: responses.Responder
    ) -> None:
        """Answer one request."""
        self.in_flight += 1
        outcome = "caller_gone"
        session: calls.CallSession | streams.StreamSession | None = None
        job = None
        attempt_id = None
        try:
            head = self._read_head(req)
            attempt_id = head.attempt_id
            await self._wait_until_ready()
            job = self._admit(req, head)
            if job.route.kind is routes.CallKind.STREAM and not req.is_head:
                session = streams.StreamSession(self._access, job, responder)
            else:
                session = calls.CallSession(self._access, job, responder)
            outcome = await session.run()
        except refusals.RefusedBeforeSend as exc:
            refusal = exc.refusal
            outcome = f"refused_{refusal.status}_{refusal.reason.value}"
            accesses.send_refusal(
                responder, self._access.wire, attempt_id, refusal
            )
        except asyncio.CancelledError as exc:
            if exc.args != (callers.EXIT,):
                raise
            reason = refusals.RefusalReason.STOPPING
            kind = "cut" if responder.started else "refused_504"
            outcome = f"{kind}_{reason.value}"
            accesses.send_refusal(
                responder,
                self._access.wire,
                attempt_id,
                refusals.Refusal(504, reason),
            )
        except Exception as exc:
            outcome = "failed_internal"
            self._access.log.write(
                "internal_error", request=attempt_id, error=repr(exc)
            )
            # A target may have run the request, so nothing is promised.
            accesses.send_refusal(
                responder,
                self._access.wire,
                attempt_id,
                refusals.Refusal(500, refusals.RefusalReason.INTERNAL),
            )
        finally:
            self.in_flight -= 1
            ending = jobs.Ending(outcome)
            if session is not None:
                ending = session.ending(outcome)
            self._log_request(req, attempt_id, job, ending)
            if job is not None:
                self._access.quarantine.rechecks.end(job)
                job.release_body()

    def _read_head(self, req: responses.CallerRequest) -> protocol.CallerHead:
        try:
            return self._access.wire.read_caller(req.headers)
        except ValueError:
            raise refusals.RefusedBeforeSend(
                refusals.Refusal(400, refusals.RefusalReason.MALFORMED)
            ) from None

    async def _wait_until_ready(self) -> None:
        """Delay a request that arrives while the instance is starting.

        After all instances were killed, callers return at once and have
        only one attempt left, and the store's first answers arrive within
        milliseconds.
        """
        if not self._ready.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_START_WAIT_S):
                    await self._ready.wait()

    def _admit(
        self, req: responses.CallerRequest, head: protocol.CallerHead
    ) -> jobs.Job:
        cfg = self._configuration()
        if cfg is None or not self._ready.is_set():
            raise refusals.RefusedBeforeSend(
                refusals.refuse_not_run(
                    refusals.RefusalReason.NOT_READY, RETRY_AFTER_NOT_READY_S
                )
            )
        route = routes.match_route(cfg, head.host, req.path)
        if route is None:
            raise refusals.RefusedBeforeSend(
                refusals.Refusal(404, refusals.RefusalReason.NO_ROUTE)
            )
        outcome, organisation = routes.identify_caller(cfg, route, head.keys)
        if outcome is routes.KeyOutcome.UNKNOWN:
            raise refusals.RefusedBeforeSend(
                refusals.Refusal(401, refusals.RefusalReason.UNKNOWN_KEY)
            )
        if head.attempt_id is None:
            raise refusals.RefusedBeforeSend(
                refusals.Refusal(400, refusals.RefusalReason.MALFORMED)
            )
        name = routes.choose_service(
            route, self._access.rng, self._services_without_targets(route)
        )
        self._check_stop(route, name)
        if not _has_room_to_send(req):
            raise refusals.RefusedBeforeSend(
                refusals.refuse_not_run(
                    refusals.RefusalReason.MEMORY, policy.RETRY_AFTER_S
                )
            )
        service = cfg.services.get(name) if name is not None else None
        if service is None:
            raise refusals.RefusedBeforeSend(
                refusals.refuse_not_run(refusals.RefusalReason.NO_TARGET, 1.0)
            )
        job = jobs.Job(
            req=req,
            head=head,
            route=route,
            service=service,
            organisation=organisation,
            configuration_version=cfg.version,
            started_at=req.received_at,
            deadline=req.received_at + time_limit_s(route, head),
            most_urgent_rank=self._stream_ranks.most_urgent(cfg, service.name),
        )
        if (
            route.kind is routes.CallKind.STREAM
            and self._access.cfg.holds_streams
        ):
            job.most_urgent_rank = 0
            job.stream_rank = self._stream_ranks.place_of(
                cfg, service.name, route, organisation
            )
        rechecks = self._access.quarantine.rechecks
        if self._access.is_poison(job) and not rechecks.admit(job):
            self._access.log.write(
                "crashing_request_refused",
                request=head.attempt_id,
                fingerprint=job.fingerprint,
            )
            raise refusals.RefusedBeforeSend(
                retries.refuse_poison(rechecks.retry_after_s(job))
            )
        self._access.budget(service.name).record_request(self._access.clock())
        self._access.rollouts.record_request(service.name)
        return job

    def _check_stop(
        self, route: routes.Route, service: ids.ServiceName | None
    ) -> None:
        """Refuse a request that this instance can't answer before its exit.

        Raises
        ------
        RefusedBeforeSend : the request would be cut at the exit
        """
        stopping_s = self._stopping_for_s()
        if stopping_s is None:
            return
        access = self._access
        grace_s, stream_s = access.cfg.stop_grace_s, 0.0
        if service is not None and access.cfg.holds_streams:
            stream_s = access.gate.times(service).stream_s
        if stopping.can_admit(route.kind, stopping_s, grace_s, stream_s):
            return
        if stopping.can_admit(route.kind, stopping_s, grace_s):
            access.metrics.count("streams_too_long_at_stop_total")
            access.log.write(
                "stream_too_long_at_stop",
                service=service,
                expected_ms=round(1000 * stream_s),
                remaining_ms=round(1000 * (grace_s - stopping_s)),
            )
        raise refusals.RefusedBeforeSend(
            refusals.refuse_not_run(
                refusals.RefusalReason.STOPPING, RETRY_AFTER_STOPPING_S
            )
        )

    def _services_without_targets(
        self, route: routes.Route
    ) -> set[ids.ServiceName]:
        """Return the services of a split route without available targets."""
        if len(route.shares) < 2:
            return set()
        return {
            share.service
            for share in route.shares
            if not self._access.candidates(share.service)
        }

    def _log_request(
        self,
        req: responses.CallerRequest,
        attempt_id: str | None,
        job: jobs.Job | None,
        ending: jobs.Ending,
    ) -> None:
        access = self._access
        outcome = ending.outcome
        took_s = access.clock() - req.received_at
        kind = "none" if job is None else job.route.kind.value
        access.metrics.count("requests_total", kind=kind, outcome=outcome)
        access.metrics.time(took_s, kind=kind, outcome=outcome.split("_")[0])
        access.log.write(
            "request",
            routine=outcome == "answered_200",
            request=attempt_id,
            kind=kind,
            route=None if job is None else job.route.name,
            organisation=(
                None
                if job is None or job.organisation is None
                else job.organisation.id
            ),
            configuration=(None if job is None else job.configuration_version),
            outcome=outcome,
            took_ms=round(took_s * 1000),
            targets=ending.targets,
            first_event_ms=ending.first_event_ms,
            longest_pause_ms=ending.longest_pause_ms,
        )


def _has_room_to_send(req: responses.CallerRequest) -> bool:
    """Charge the copy of a body that waits to be sent to a target."""
    holding = req.holding
    if holding is None:
        return True
    size = holding.size(accounts.Use.RUNNING) + len(req.body)
    return holding.claim(accounts.Use.RUNNING, size)


def time_limit_s(route: routes.Route, head: protocol.CallerHead) -> float:
    """Return the shorter of the caller's and the route's time limits."""
    if head.caller_timeout_ms is None:
        return route.timeout_s
    return min(route.timeout_s, head.caller_timeout_ms / 1000)
