"""Explain placements from the state of a running instance, changing none."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import copy
import random

import msgspec

from sassafrasflow.admission import streams
from sassafrasflow.admission import waiting
from sassafrasflow.explanation import messages
from sassafrasflow.explanation import ranking
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import dispatcher as dispatchers
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import stopping
from sassafrasflow.gateway import targets

__all__ = ["PlacementExplainer"]


class PlacementExplainer:
    """Answer where requests would go now.

    An answer is computed in one step of the event loop, so there is one at a
    time. No owner of a target is queried: the figures are those that this
    instance has.
    """

    def __init__(
        self,
        access: accesses.TargetAccess,
        configuration: Callable[[], routes.Configuration | None],
        is_loaded: Callable[[], bool],
        stopping_for_s: Callable[[], float | None],
    ) -> None:
        self._access = access
        self._configuration = configuration
        self._is_loaded = is_loaded
        self._stopping_for_s = stopping_for_s
        self._stream_ranks = routes.StreamRanks()

    def answer(self, content: bytes) -> tuple[int, bytes]:
        """Return the status and the JSON of the answer to a question."""
        try:
            question = messages.decode_question(content)
        except ValueError as exc:
            return 400, msgspec.json.encode({"error": str(exc)})
        cfg = self._configuration()
        if cfg is None or not self._is_loaded():
            error = "the instance has not read its configuration yet"
            return 503, msgspec.json.encode({"error": error})
        return 200, msgspec.json.encode(self.explain(question, cfg))

    def explain(
        self, question: messages.Question, cfg: routes.Configuration
    ) -> messages.Explanation:
        """Return where a request would go with a configuration."""
        host = question.host.partition(":")[0].lower()
        path = question.path.partition("?")[0]
        known = messages.Explanation(messages.Verdict.REFUSE, "")
        route = routes.match_route(cfg, host, path)
        if route is None:
            reason = refusals.RefusalReason.NO_ROUTE
            return _refuse(known, refusals.Refusal(404, reason))
        known = msgspec.structs.replace(
            known, route=route.name, kind=route.kind.value
        )
        outcome, organisation = _identify(cfg, route, question)
        if outcome is routes.KeyOutcome.UNKNOWN:
            reason = refusals.RefusalReason.UNKNOWN_KEY
            return _refuse(known, refusals.Refusal(401, reason))
        if organisation is not None:
            known = msgspec.structs.replace(
                known, organisation=organisation.id
            )
        service = self._likely_service(cfg, route)
        if service is None:
            return _refuse(known, _no_target())
        known = msgspec.structs.replace(known, service=service.name)
        if self._is_stopping(route, service):
            reason = refusals.RefusalReason.STOPPING
            wait_s = dispatchers.RETRY_AFTER_STOPPING_S
            return _refuse(known, refusals.refuse_not_run(reason, wait_s))
        job = self._create_job(question, cfg, route, service, organisation)
        return self._explain_job(
            job, msgspec.structs.replace(known, rank=job.rank)
        )

    def _explain_job(
        self, job: jobs.Job, known: messages.Explanation
    ) -> messages.Explanation:
        access, now = self._access, self._access.clock()
        usable = self._usable(job.service)
        unavailable = collections.Counter(
            reason.value
            for target in usable
            if (reason := target.availability.unavailable_reason(now))
        )
        # The figures of peers are set on copies, so that the targets stay as
        # they are.
        candidates = [
            copy.copy(target)
            for target in usable
            if target.availability.unavailable_reason(now) is None
        ]
        is_stream = job.route.kind is routes.CallKind.STREAM
        if is_stream:
            access.placer.apply_figures(job, candidates)
            preference = access.placer.preference_of(job)
        else:
            preference = access.call_preference()
        ranked = ranking.rank_candidates(candidates, preference, now)
        known = msgspec.structs.replace(
            known,
            unavailable=dict(unavailable),
            candidates_total=len(ranked),
            candidates=tuple(
                ranking.report_candidate(target, reason, preference, now)
                for target, reason in ranked[: messages.MAX_CANDIDATES]
            ),
        )
        if not ranked:
            return _refuse(known, _refuse_unavailable(usable, now))
        choice = preference.choice_of(ranked[0][0], now)
        if choice.demand is None or job.stream_rank is None:
            return msgspec.structs.replace(
                known, verdict=messages.Verdict.SEND, cause="best_target"
            )
        times = access.gate.times(job.service.name)
        req = streams.stream_request(job, choice.demand, times, is_new=True)
        decision = waiting.decide(now, req, choice.room, choice.wait_s)
        known = msgspec.structs.replace(
            known, streams_waiting=len(access.gate)
        )
        return _describe(known, decision, now)

    def _is_stopping(
        self, route: routes.Route, service: routes.Service
    ) -> bool:
        """Return whether a request would be refused because of a stop."""
        stopping_s = self._stopping_for_s()
        if stopping_s is None:
            return False
        access, stream_s = self._access, 0.0
        if access.cfg.holds_streams:
            stream_s = access.gate.times(service.name).stream_s
        return not stopping.can_admit(
            route.kind, stopping_s, access.cfg.stop_grace_s, stream_s
        )

    def _usable(self, service: routes.Service) -> list[targets.Target]:
        access = self._access
        return access.rollouts.usable(
            service.name, access.directory.usable(service.name)
        )

    def _likely_service(
        self, cfg: routes.Configuration, route: routes.Route
    ) -> routes.Service | None:
        """Return the service with the largest share that has targets.

        Without any, return the one with the largest share.
        """
        shares = [share for share in route.shares if share.weight > 0]
        shares.sort(key=lambda share: share.weight, reverse=True)
        services = [
            cfg.services[share.service]
            for share in shares
            if share.service in cfg.services
        ]
        now = self._access.clock()
        for service in services:
            if any(
                target.availability.unavailable_reason(now) is None
                for target in self._usable(service)
            ):
                return service
        return services[0] if services else None

    def _create_job(
        self,
        question: messages.Question,
        cfg: routes.Configuration,
        route: routes.Route,
        service: routes.Service,
        organisation: routes.Organisation | None,
    ) -> jobs.Job:
        now, limit_s = self._access.clock(), question.time_limit_s
        head = protocol.CallerHead(
            host=question.host,
            attempt_id=None,
            caller_timeout_ms=None if limit_s is None else 1000 * limit_s,
            keys=(),
            resume_after=None,
            prompt_tokens=question.prompt_tokens,
            answer_tokens=question.answer_tokens,
            forwarded=(),
            length_hint=question.length_hint,
        )
        job = jobs.Job(
            req=responses.CallerRequest("POST", question.path, [], b"", now),
            head=head,
            route=route,
            service=service,
            organisation=organisation,
            configuration_version=cfg.version,
            started_at=now,
            deadline=now + dispatchers.time_limit_s(route, head),
        )
        if (
            route.kind is routes.CallKind.STREAM
            and self._access.cfg.holds_streams
        ):
            job.stream_rank = question.rank
            if question.rank is None:
                job.stream_rank = self._stream_ranks.place_of(
                    cfg, service.name, route, organisation
                )
        return job


def _identify(
    cfg: routes.Configuration,
    route: routes.Route,
    question: messages.Question,
) -> tuple[routes.KeyOutcome, routes.Organisation | None]:
    """Return the organisation of a question by its key or its name."""
    if question.organisation is None:
        keys = [] if question.key is None else [question.key]
        return routes.identify_caller(cfg, route, keys)
    for organisation in (cfg.organisations or {}).values():
        if organisation.id == question.organisation:
            return routes.KeyOutcome.KNOWN, organisation
    return routes.identify_caller(cfg, route, [])


def _no_target() -> refusals.Refusal:
    return refusals.refuse_not_run(
        refusals.RefusalReason.NO_TARGET, retries.RETRY_AFTER_LOSS_S
    )


def _refuse_unavailable(
    usable: Sequence[targets.Target], now: float
) -> refusals.Refusal:
    """Return the refusal if no target is available.

    The jitter is drawn from another generator than that of the instance.
    """
    wait_s = availability.retry_after_s(
        [target.availability for target in usable], now, random.Random()
    )
    if wait_s is None:
        return _no_target()
    reason = refusals.RefusalReason.TARGETS_FULL
    return refusals.refuse_not_run(reason, wait_s)


def _refuse(
    known: messages.Explanation, refusal: refusals.Refusal
) -> messages.Explanation:
    return msgspec.structs.replace(
        known,
        verdict=messages.Verdict.REFUSE,
        cause=refusal.reason.value,
        status=refusal.status,
        retry_after_s=refusal.retry_after_s,
    )


def _describe(
    known: messages.Explanation, decision: waiting.Decision, now: float
) -> messages.Explanation:
    """Return the explanation of what a stream that arrives now does."""
    if isinstance(decision, waiting.Refuse):
        return _refuse(
            known,
            refusals.refuse_not_run(
                streams.REASON_BY_CAUSE[decision.cause],
                decision.retry_after_s,
            ),
        )
    if isinstance(decision, waiting.Wait):
        return msgspec.structs.replace(
            known,
            verdict=messages.Verdict.WAIT,
            cause="better_than_at_a_target",
            wait_ms=max(0, round(1000 * (decision.until - now))),
        )
    return msgspec.structs.replace(
        known, verdict=messages.Verdict.SEND, cause=decision.cause.value
    )
