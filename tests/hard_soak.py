"""Soak under hard load: little room, uneven engines, untrusted callers."""

import asyncio
import collections

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins
from tests import crowds
from tests import soak

PROMPT_TOKENS = 8_200
ANSWER_TOKENS = 780
# Two streams fit into an engine, and eight into all of them.
MEMORY_TOKENS = 20_000
LARGE_ORGANISATION = "crew"
# The callers of the large organisation are eight times those of the other.
ORDINARY_CALLERS = 3
CALLERS = 9 * ORDINARY_CALLERS
# Time of one event at each engine, relative to the usual one.
PACES = (0.6, 1.0, 1.6, 1.0)
EVENT_S = 0.03
CROWD_CALLERS = 20
CROWD_S = 0.5
CROWD_ATTEMPT = "crowd"


class HardSoak(soak.Soak):
    """Let more streams compete than the engines have room for."""

    KINDS = ("book", "read", "plan", "rush")
    STREAMS = frozenset({"plan", "rush"})
    CALLERS = CALLERS

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.used_tokens: collections.Counter[str] = collections.Counter()

    def _configuration(self, version: int = 1) -> dict:
        config = documents.configuration(version)
        rush = {**config["Routes"][2], "Name": "rush", "Prefix": "/rush/"}
        config["Routes"].append({**rush, "Priority": 0})
        config["Routes"][2]["Priority"] = 2
        engine = config["Services"][0]["Engine"]
        engine["KvCapacityTokens"] = MEMORY_TOKENS
        # Without a priority of the organisation, the route's one is the rank.
        config["Tenants"] = [
            {"Name": "club", "ApiKeys": ["secret"]},
            {"Name": LARGE_ORGANISATION, "ApiKeys": ["other"]},
        ]
        return config

    def _node_settings(self, *args) -> dict:
        node = documents.node_settings(*args)
        return {**node, "Contracts": ["pressure"]}

    def _caller_headers(self, kind: str, caller: int) -> dict[str, str]:
        headers = {}
        if caller >= ORDINARY_CALLERS:
            headers["X_Key"] = "other"
        if kind in self.STREAMS:
            headers["X_Token_Counts"] = f"{PROMPT_TOKENS},{ANSWER_TOKENS}"
        return headers

    def _organisation(self, attempt: str) -> str:
        caller = attempt.split("-")[2]
        is_large = caller.isdigit() and int(caller) >= ORDINARY_CALLERS
        return LARGE_ORGANISATION if is_large else "club"

    async def _handle_request(self, conn, req) -> None:
        attempt = req.headers[standins.ATTEMPT]
        if attempt == CROWD_ATTEMPT:
            self.checker.check(False, "a target got a request of the crowd")
            return
        kind = attempt.split("-")[0]
        name = req.headers["x-expect-instance"]
        demand = PROMPT_TOKENS + ANSWER_TOKENS if kind in self.STREAMS else 0
        if demand and self.used_tokens[name] + demand > MEMORY_TOKENS:
            self.checker.outcomes["rejected by an engine"] += 1
            await conn.answer(
                503, X_Not_Executed="1", X_Request_Attempt_Id=attempt
            )
            return
        self.used_tokens[name] += demand
        try:
            await super()._handle_request(conn, req)
        finally:
            self.used_tokens[name] -= demand

    async def _run_stream(self, name, conn, req, announcement) -> None:
        pace = PACES[int(name[1 : name.index("-")])]
        script = standins.stream_script(
            soak.EVENTS, pause_s=EVENT_S * pace, **announcement
        )
        await script(conn, req)

    def _list_faults(self) -> list:
        return [*super()._list_faults(), self._send_crowd, self._send_crowd]

    async def _send_crowd(self) -> None:
        """Let callers send bodies that stop short, and leave."""
        port = self.ports[self._choose_instance()][0]
        pieces = self.rng.choice(
            [
                crowds.with_length(60_000, 59_999),
                crowds.with_length(90_000),
                crowds.chunked(50_000, 1),
                crowds.chunked(50_000, 16_384),
                [crowds.head()[:-2]],
                [],
            ]
        )
        async with crowds.Crowd(port) as crowd:
            await crowd.send(CROWD_CALLERS, pieces)
            await asyncio.sleep(CROWD_S)
