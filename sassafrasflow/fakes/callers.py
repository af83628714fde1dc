"""Caller that retries with its key until its answer is complete."""

import asyncio
from collections.abc import Callable
import time
from typing import Any
import uuid

import httpx
import msgspec

from sassafrasflow.fakes import processes

__all__ = ["Caller", "ReceivedEvent"]

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
MAX_REQUESTS = 60
RECONNECT_PAUSE_S = 0.05
WHOLE_ANSWER_TIMEOUT_S = 3.0


class ReceivedEvent(msgspec.Struct, frozen=True):
    """Hold one streamed event and its time of arrival."""

    at: float
    event_id: str
    text: str


class Caller:
    """Request one completion until it is complete or finally refused.

    ``urls`` are the entry instances, tried in turn. ``read_timeout_s`` is how
    long the caller waits for data before it abandons a connection. With
    ``restarts`` each retry uses a new key and discards the events received
    so far.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: list[str],
        body: dict[str, Any],
        *,
        key: str | None = None,
        read_timeout_s: float = 1.0,
        restarts: bool = False,
        is_final: Callable[[dict[str, Any]], bool] = lambda problem: False,
    ) -> None:
        self.key = key or uuid.uuid4().hex
        self.urls = urls
        self.received_events: list[ReceivedEvent] = []
        self.answer: dict[str, Any] | None = None
        self.ended = False
        self.problems: list[dict[str, Any]] = []
        self.refused = False
        self.generations: set[str] = set()
        self.progress_at: list[float] = []
        self._max_tokens_seen = 0
        self._http = http
        self.body = body
        self._read_timeout_s = read_timeout_s
        self._restarts = restarts
        self._is_final = is_final

    @property
    def text(self) -> str:
        """Return the text received so far."""
        if self.answer is not None:
            return self.answer["choices"][0]["text"]
        return "".join(item.text for item in self.received_events)

    @property
    def tokens(self) -> int:
        """Return the number of tokens received so far."""
        return len(self.text.split())

    async def run(self) -> None:
        """Send requests to one instance after another until the end."""
        for number in range(MAX_REQUESTS):
            url = f"{self.urls[number % len(self.urls)]}/v1/completions"
            try:
                if self.body.get("stream"):
                    await self._request_stream(url)
                else:
                    await self._request_whole(url)
            except (httpx.HTTPError, TimeoutError):
                pass
            if self.ended or self.refused:
                return
            if self._restarts:
                self._drop_answer()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def longest_gap_s(self, since: float) -> float:
        """Return the longest wait for new tokens that ended after a time."""
        longest = 0.0
        last_at = since
        for at in self.progress_at:
            if at > since:
                longest = max(longest, at - max(last_at, since))
            last_at = at
        return longest

    def _drop_answer(self) -> None:
        self.key = uuid.uuid4().hex
        self.received_events.clear()
        self.generations.clear()

    def _headers(self) -> dict[str, str]:
        headers = {**AUTH, "idempotency-key": self.key}
        if self.received_events:
            headers["last-event-id"] = self.received_events[-1].event_id
        return headers

    async def _request_whole(self, url: str) -> None:
        resp = await self._http.post(
            url,
            json=self.body,
            headers=self._headers(),
            timeout=WHOLE_ANSWER_TIMEOUT_S,
        )
        if resp.status_code == 200:
            self.answer = resp.json()
            self.ended = True
            self.generations.add(resp.json()["id"])
        else:
            self._record_problem(resp.json())

    async def _request_stream(self, url: str) -> None:
        # The read timeout also bounds the wait for the response's head.
        async with self._http.stream(
            "POST",
            url,
            json=self.body,
            headers=self._headers(),
            timeout=self._read_timeout_s,
        ) as resp:
            if resp.status_code != 200:
                self._record_problem(msgspec.json.decode(await resp.aread()))
                return
            lines = resp.aiter_lines()
            event_id = ""
            while True:
                async with asyncio.timeout(self._read_timeout_s):
                    line = await anext(lines, None)
                if line is None:
                    return
                if line.startswith("id: "):
                    event_id = line.removeprefix("id: ")
                elif line.startswith("data: "):
                    self._handle_event(event_id, line.removeprefix("data: "))

    def _handle_event(self, event_id: str, data: str) -> None:
        if data == "[DONE]":
            self.ended = True
            return
        content = msgspec.json.decode(data)
        if "reason" in content:
            self._record_problem(content)
            return
        self.generations.add(content["id"])
        text = content["choices"][0]["text"]
        now = time.monotonic()
        self.received_events.append(ReceivedEvent(now, event_id, text))
        # Tokens that an earlier connection delivered are no progress.
        if self.tokens > self._max_tokens_seen:
            self._max_tokens_seen = self.tokens
            self.progress_at.append(now)

    def _record_problem(self, problem: dict[str, Any]) -> None:
        self.problems.append(problem)
        self.refused = self._is_final(problem)
