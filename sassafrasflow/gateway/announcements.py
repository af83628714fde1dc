"""Announcements that targets make in the heads of their answers."""

import asyncio
from collections.abc import Callable
import contextlib
import weakref

from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = ["Announcements"]


class Announcements:
    """Apply the targets' announcements and notify the local peers."""

    def __init__(
        self,
        directory: targets.Directory,
        max_pause_s: Callable[[], float],
        on_leaving: Callable[[ids.TargetId], None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self.exchange: exchanges.PeerExchange | None = None
        self._directory = directory
        self._max_pause_s = max_pause_s
        self._on_leaving = on_leaving
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Per target that requests wait for, an event that is set by its next
        # answer.
        self._answered: weakref.WeakKeyDictionary[
            targets.Target, asyncio.Event
        ] = weakref.WeakKeyDictionary()

    async def wait_to_send(self, target: targets.Target) -> None:
        """Wait until a request may be sent to a target, and record the send.

        Requests wait while too many earlier ones are unanswered.
        """
        availability = target.availability
        while (wait_s := availability.send_delay_s(self._clock())) > 0:
            self._metrics.count("target_flights_full_total")
            event = self._answered.setdefault(target, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await event.wait()
        availability.record_send(self._clock())

    def handle_head(
        self,
        target: targets.Target,
        head: protocol.AnswerHead,
        attempt_id: str | None,
    ) -> None:
        """Handle the announcements in the head of a target's answer."""
        if head.wrong_target:
            return
        if head.rejected is not None:
            self._log.write(
                "announcement_rejected",
                request=attempt_id,
                target=target.id,
                rejected=head.rejected,
            )
        if head.leaving:
            self._record_leaving(target, attempt_id)
        if head.pause_s is not None:
            self._record_pause(target, head.pause_s, attempt_id)
        target.availability.record_answer()
        event = self._answered.pop(target, None)
        if event is not None:
            event.set()

    def handle_leaving(self, notice: loads.LeavingNotice) -> None:
        """Handle a local peer's notice of a leaving target."""
        target = self._directory.record_leaving(
            notice.target, notice.started_ms
        )
        if target is not None and target.availability.record_leaving():
            self._metrics.count("targets_leaving_total", heard="peer")
            self._log.write(
                "target_leaving", target=target.id, sender=notice.sender
            )
            self._on_leaving(target.id)

    def _record_leaving(
        self, target: targets.Target, attempt_id: str | None
    ) -> None:
        if not target.availability.record_leaving():
            return
        listed = target.listed
        self._directory.record_leaving(target.id, listed.started_ms)
        self._metrics.count("targets_leaving_total", heard="here")
        self._log.write(
            "target_leaving",
            request=attempt_id,
            target=target.id,
            listed=listed.state.value,
            in_flight=target.in_flight,
        )
        self._on_leaving(target.id)
        if self.exchange is not None:
            self.exchange.publish_leaving(listed)

    def _record_pause(
        self, target: targets.Target, pause_s: float, attempt_id: str | None
    ) -> None:
        accepted_s = min(pause_s, self._max_pause_s())
        if target.availability.record_pause(accepted_s, self._clock()):
            self._metrics.count("target_pauses_total")
            self._log.write(
                "target_paused",
                request=attempt_id,
                target=target.id,
                pause_s=round(accepted_s, 3),
                asked_s=pause_s,
            )
