"""Caller that comes back with its key after every broken connection."""

import asyncio
from collections.abc import Callable
import time
from typing import Any
import uuid

import httpx
import msgspec

from sassafrasflow.fakes import processes

__all__ = ["Arrival", "Caller"]

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
MAX_RETURNS = 60
RETURN_PAUSE_S = 0.05
WHOLE_ANSWER_TIMEOUT_S = 3.0


class Arrival(msgspec.Struct, frozen=True):
    """Hold one streamed event and when it came."""

    at: float
    event_id: str
    text: str


class Caller:
    """Ask for one completion until it is whole or finally refused.

    ``urls`` are the entry instances, tried in turn. ``silence_s`` is how
    long the caller waits before it gives a connection up. With ``restarts``
    it asks anew under another key and drops what it had.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: list[str],
        body: dict[str, Any],
        *,
        key: str | None = None,
        silence_s: float = 1.0,
        restarts: bool = False,
        final: Callable[[dict[str, Any]], bool] = lambda problem: False,
    ) -> None:
        self.key = key or uuid.uuid4().hex
        self.urls = urls
        self.arrivals: list[Arrival] = []
        self.answer: dict[str, Any] | None = None
        self.ended = False
        self.problems: list[dict[str, Any]] = []
        self.refused = False
        self.generations: set[str] = set()
        self.progress: list[float] = []
        self._highest = 0
        self._http = http
        self.body = body
        self._silence_s = silence_s
        self._restarts = restarts
        self._final = final

    @property
    def text(self) -> str:
        """Return the text received so far."""
        if self.answer is not None:
            return self.answer["choices"][0]["text"]
        return "".join(item.text for item in self.arrivals)

    @property
    def tokens(self) -> int:
        """Return the number of tokens received so far."""
        return len(self.text.split())

    async def run(self) -> None:
        """Ask, and ask again elsewhere, until there is an end."""
        for turn in range(MAX_RETURNS):
            url = f"{self.urls[turn % len(self.urls)]}/v1/completions"
            try:
                if self.body.get("stream"):
                    await self._stream(url)
                else:
                    await self._whole(url)
            except (httpx.HTTPError, TimeoutError):
                pass
            if self.ended or self.refused:
                return
            if self._restarts:
                self._drop_answer()
            await asyncio.sleep(RETURN_PAUSE_S)

    def longest_silence_s(self, since: float) -> float:
        """Return the longest wait for output that ended after a time."""
        longest = 0.0
        last_at = since
        for at in self.progress:
            if at > since:
                longest = max(longest, at - max(last_at, since))
            last_at = at
        return longest

    def _drop_answer(self) -> None:
        self.key = uuid.uuid4().hex
        self.arrivals.clear()
        self.generations.clear()

    def _headers(self) -> dict[str, str]:
        headers = {**AUTH, "idempotency-key": self.key}
        if self.arrivals:
            headers["last-event-id"] = self.arrivals[-1].event_id
        return headers

    async def _whole(self, url: str) -> None:
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
            self._note_problem(resp.json())

    async def _stream(self, url: str) -> None:
        # The read timeout also bounds the wait for the response's head.
        async with self._http.stream(
            "POST",
            url,
            json=self.body,
            headers=self._headers(),
            timeout=self._silence_s,
        ) as resp:
            if resp.status_code != 200:
                self._note_problem(msgspec.json.decode(await resp.aread()))
                return
            lines = resp.aiter_lines()
            event_id = ""
            while True:
                async with asyncio.timeout(self._silence_s):
                    line = await anext(lines, None)
                if line is None:
                    return
                if line.startswith("id: "):
                    event_id = line.removeprefix("id: ")
                elif line.startswith("data: "):
                    self._read(event_id, line.removeprefix("data: "))

    def _read(self, event_id: str, data: str) -> None:
        if data == "[DONE]":
            self.ended = True
            return
        content = msgspec.json.decode(data)
        if "reason" in content:
            self._note_problem(content)
            return
        self.generations.add(content["id"])
        text = content["choices"][0]["text"]
        now = time.monotonic()
        self.arrivals.append(Arrival(now, event_id, text))
        # Only output beyond what was shown before counts as progress.
        if self.tokens > self._highest:
            self._highest = self.tokens
            self.progress.append(now)

    def _note_problem(self, problem: dict[str, Any]) -> None:
        self.problems.append(problem)
        self.refused = self._final(problem)
