"""Deployment of fakes and one instance in the current process.

The demo and tests that need no separate processes use it.
"""

from typing import Any

import httpx
import msgspec

from sassafrasflow import api
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow import instance
from sassafrasflow import settings
from sassafrasflow import storage
from sassafrasflow.fakes import engine as fake_engine
from sassafrasflow.fakes import platform as fake_platform
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import service as fake_service

__all__ = ["InProcessDeployment", "MODEL", "VERSION"]

MODEL = ids.ModelName(processes.MODEL)
VERSION = ids.VersionId(processes.VERSION)
SERVICE = ids.ServiceName("booking")
REGION = ids.Region("east")
DATA_CENTRE = ids.DataCentre("east-1")


class InProcessDeployment:
    """Run a platform, engines, one plain service and one instance."""

    def __init__(
        self,
        behaviour: fake_engine.Behaviour | None = None,
        *,
        engine_count: int = 2,
        **sections: Any,
    ) -> None:
        self.platform = fake_platform.FakePlatform()
        self.engines = [
            fake_engine.FakeEngine(
                [engines.LoadedVersion(MODEL, VERSION)],
                behaviour,
                crashes_process=False,
            )
            for _ in range(engine_count)
        ]
        self._settings = sections
        self._servers: list[api.HttpServer] = []
        self._entry: instance.Instance | None = None

    async def __aenter__(self) -> "InProcessDeployment":
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    @property
    def entry(self) -> instance.Instance:
        """Return the instance."""
        assert self._entry is not None
        return self._entry

    @property
    def url(self) -> str:
        """Return the base URL of the instance."""
        return f"http://127.0.0.1:{self.entry.port}"

    async def start(self) -> None:
        """Start the fakes and then the instance."""
        url = f"http://127.0.0.1:{await self._serve(self.platform.app())}"
        for number, fake in enumerate(self.engines):
            port = await self._serve(fake.app())
            self._list_target(
                f"engine-{number}", storage.TargetKind.ENGINE, port
            )
        port = await self._serve(fake_service.FakeService(SERVICE).app())
        self._list_target(
            "booking-0", storage.TargetKind.SERVICE, port, SERVICE
        )
        raw = {
            "instance": "entry-0",
            "region": REGION,
            "data_centre": DATA_CENTRE,
            "platform": {"url": url},
            "initial_configuration": processes.initial_configuration(),
            **self._settings,
        }
        raw["api"] = {"port": 0, **self._settings.get("api", {})}
        raw["peers"] = {"port": 0, **self._settings.get("peers", {})}
        cfg = settings.parse_settings(msgspec.json.encode(raw))
        self._entry = instance.Instance(cfg)
        await self._entry.start()

    async def close(self) -> None:
        """Stop the instance, the engines and all servers."""
        if self._entry is not None:
            await self._entry.close()
        for fake in self.engines:
            fake.close()
        for server in self._servers:
            await server.close()

    async def kill_engine(self, number: int) -> None:
        """Abort every connection of an engine, as a crash would."""
        self.engines[number].close()
        await self._servers[1 + number].abort()

    async def stop_platform(self) -> None:
        """Abort every connection to the platform and refuse new ones."""
        await self._servers[0].abort()

    def busy_engine(self) -> int:
        """Return the index of the engine that produced most tokens."""
        produced = [fake.tokens_made for fake in self.engines]
        return produced.index(max(produced))

    def client(self, key: str = processes.CALLER_KEY) -> httpx.AsyncClient:
        """Return an HTTP client of the instance."""
        return httpx.AsyncClient(
            base_url=self.url,
            headers={"authorization": f"Bearer {key}"},
            timeout=30.0,
            trust_env=False,
        )

    async def _serve(self, app: Any) -> int:
        server = api.HttpServer(app, "127.0.0.1", 0)
        await server.start()
        self._servers.append(server)
        return server.port

    def _list_target(
        self,
        name: str,
        kind: storage.TargetKind,
        port: int,
        service: ids.ServiceName | None = None,
    ) -> None:
        self.platform.instances[name] = storage.ListedInstance(
            id=name,
            kind=kind,
            address=f"127.0.0.1:{port}",
            region=REGION,
            data_centre=DATA_CENTRE,
            service=service,
        )
