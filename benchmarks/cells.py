"""Deployment of one benchmark cell with faults and recovery."""

import asyncio
import enum
import signal
from typing import Any

from sassafrasflow.fakes import processes
from sassafrasflow.fakes import proxy

__all__ = ["Cell", "ENGINES", "ENTRIES", "FaultKind", "ProxiedEngine"]

ENGINES = 5
ENTRIES = 3


class FaultKind(enum.Enum):
    """List the faults."""

    ENGINE_KILLED = "engine_killed"
    ENGINE_CUT = "engine_cut"
    ENGINE_TRUNCATED = "engine_truncated"
    ENGINE_FROZEN = "engine_frozen"
    ENGINE_HALF_OPEN = "engine_half_open"
    ENGINE_STALLED = "engine_stalled"
    ENTRY_KILLED = "entry_killed"
    ENTRY_PAUSED = "entry_paused"
    ENTRY_STOPPED = "entry_stopped"
    TWO_ENGINES_KILLED = "two_engines_killed"
    ENGINE_AND_ENTRY_KILLED = "engine_and_entry_killed"


class ProxiedEngine:
    """Run an engine behind a fault proxy and restart it after a kill."""

    def __init__(
        self, deployment: processes.Deployment, name: str, **behaviour: Any
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.lost_tokens = 0
        self._deployment = deployment

    async def start(self) -> None:
        """Start the engine and list its proxy's address."""
        await self._spawn()
        self.proxy = proxy.FaultProxy("127.0.0.1", self.process.port)
        await self.proxy.start()
        await self._deployment.list_engine(self.name, self.proxy.address)

    async def _spawn(self) -> None:
        self.process = await self._deployment.unlisted_engine(
            self.name, **self.behaviour
        )

    async def log(self) -> dict[str, Any]:
        """Return the started attempts and the number of produced tokens."""
        url = f"{self.process.url}/fake/log"
        resp = await self._deployment.http.get(url)
        return resp.json()

    async def configure(self, **values: Any) -> None:
        """Change how the engine behaves."""
        self.behaviour.update(values)
        await self._deployment.configure_fake(
            self.process, "behaviour", **values
        )

    async def kill(self) -> None:
        """Kill the engine, after counting the tokens that it produced."""
        self.lost_tokens += (await self.log())["tokens_made"]
        self.process.kill()
        self.proxy.refuses_connections = True
        self.proxy.reset_connections()

    async def recover(self) -> None:
        """Restart a killed engine and end every other fault."""
        if self.proxy.refuses_connections:
            await self._spawn()
            self.proxy.relay_to("127.0.0.1", self.process.port)
        self.proxy.heal()
        if self.behaviour.get("stalled"):
            await self.configure(stalled=False)

    async def tokens_made(self) -> int:
        """Return the number of tokens of all runs of this engine."""
        return self.lost_tokens + (await self.log())["tokens_made"]

    async def close(self) -> None:
        """Stop relaying; the deployment ends the process."""
        await self.proxy.close()


class Cell:
    """Run engines behind proxies and entry instances in a data centre."""

    def __init__(
        self,
        deployment: processes.Deployment,
        behaviour: dict[str, Any],
        **sections: Any,
    ) -> None:
        self.deployment = deployment
        self.engines = [
            ProxiedEngine(deployment, f"engine-{number}", **behaviour)
            for number in range(ENGINES)
        ]
        self.entries: list[processes.Process] = []
        self._sections = sections
        self._stopped_entries: set[int] = set()

    async def start(self) -> None:
        """Start every process."""
        await asyncio.gather(*(engine.start() for engine in self.engines))
        self.entries = await self.deployment.entries(ENTRIES, **self._sections)

    async def close(self) -> None:
        """Stop the proxies."""
        for engine in self.engines:
            await engine.close()

    def urls(self, first: int) -> list[str]:
        """Return the URLs of all entries, beginning with a given one."""
        rotated = self.entries[first:] + self.entries[:first]
        return [entry.url for entry in rotated]

    async def find_new_attempt(
        self, seen_attempts: set[tuple[str, int]]
    ) -> tuple[ProxiedEngine, dict[str, Any]] | None:
        """Return an attempt that is not in the set, with its engine."""
        for engine in self.engines:
            if engine.proxy.refuses_connections:
                continue
            for start in (await engine.log())["starts"]:
                name = (start["generation"], start["attempt"])
                if name not in seen_attempts:
                    return engine, start
        return None

    async def inject(
        self, kind: FaultKind, engine: ProxiedEngine, entry: int
    ) -> None:
        """Inject a fault at the engine or entry instance of a caller."""
        link = engine.proxy
        if kind is FaultKind.ENGINE_CUT:
            link.reset_connections()
        elif kind is FaultKind.ENGINE_TRUNCATED:
            link.truncate(proxy.Direction.TO_CLIENT, 50)
        elif kind is FaultKind.ENGINE_FROZEN:
            link.freeze()
        elif kind is FaultKind.ENGINE_HALF_OPEN:
            link.freeze(proxy.Direction.TO_CLIENT)
        elif kind is FaultKind.ENGINE_STALLED:
            await engine.configure(stalled=True)
        elif kind is FaultKind.ENTRY_PAUSED:
            self.entries[entry].pause()
        elif kind is FaultKind.ENTRY_STOPPED:
            self._stopped_entries.add(entry)
            self.entries[entry].send_signal(signal.SIGTERM)
        else:
            await self._kill(kind, engine, entry)

    async def _kill(
        self, kind: FaultKind, engine: ProxiedEngine, entry: int
    ) -> None:
        if kind is not FaultKind.ENTRY_KILLED:
            await engine.kill()
        if kind is FaultKind.TWO_ENGINES_KILLED:
            others = [item for item in self.engines if item is not engine]
            await others[0].kill()
        if kind in (FaultKind.ENTRY_KILLED, FaultKind.ENGINE_AND_ENTRY_KILLED):
            self._stopped_entries.add(entry)
            self.entries[entry].kill()

    async def recover(self) -> None:
        """End all faults and restart what was killed or stopped."""
        await asyncio.gather(*(engine.recover() for engine in self.engines))
        for entry in self.entries:
            entry.resume()
        for number in sorted(self._stopped_entries):
            await self.entries[number].wait()
            self.entries[number] = await self.deployment.restart_entry(
                f"entry-{number}"
            )
        self._stopped_entries.clear()
        for entry in self.entries:
            await self.deployment.wait_for_peers(entry, ENTRIES - 1)
