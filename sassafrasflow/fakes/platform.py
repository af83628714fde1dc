"""Fake platform with table, objects, weight store and instance list."""

import asyncio
import time
from typing import Any

import litestar
import msgspec

from sassafrasflow import storage
from sassafrasflow.fakes import responses

__all__ = ["FakePlatform", "Faults"]

Request = litestar.Request[Any, Any, Any]
Response = litestar.Response[Any]


class Faults(msgspec.Struct, kw_only=True):
    """Set how the platform fails; ``POST /fake/faults`` changes it."""

    down: bool = False
    delay_ms: float = 0.0
    lose_write_answers: int = 0
    weight_grants_per_s: float = 1000.0
    list_frozen: bool = False


class FakePlatform:
    """Serve the platform's interfaces from memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.rows: dict[str, storage.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, storage.ListedInstance] = {}
        self.reads = 0
        self.writes = 0
        self._next_grant_at = 0.0

    def app(self) -> litestar.Litestar:
        """Return the HTTP application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/table/get", status_code=200)(self._get),
                litestar.post("/table/scan", status_code=200)(self._scan),
                litestar.post("/table/transact", status_code=200)(
                    self._transact
                ),
                litestar.get("/objects/{name:path}")(self._load_object),
                litestar.put("/objects/{name:path}")(self._store_object),
                litestar.delete("/objects/{name:path}", status_code=200)(
                    self._delete_object
                ),
                litestar.post("/weights/reserve", status_code=200)(
                    self._reserve_weights
                ),
                litestar.get("/instances")(self._list_instances),
                litestar.put("/fake/instances", status_code=200)(
                    self._add_instance
                ),
                litestar.delete("/fake/instances/{name:str}", status_code=200)(
                    self._remove_instance
                ),
                litestar.post("/fake/faults", status_code=200)(
                    self._change_faults
                ),
                litestar.get("/fake/rows")(self._show_rows),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _apply_faults(self) -> Response | None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return responses.to_json({}, 503) if self.faults.down else None

    async def _get(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        self.reads += 1
        query = msgspec.json.decode(
            await request.body(), type=storage.GetRequest
        )
        return responses.to_json(self.rows.get(query.key))

    async def _scan(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        self.reads += 1
        query = msgspec.json.decode(
            await request.body(), type=storage.ScanRequest
        )
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(query.prefix) and key > query.after
        )
        return responses.to_json(
            [self.rows[key] for key in keys[: query.limit]]
        )

    async def _transact(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        self.writes += 1
        query = msgspec.json.decode(
            await request.body(), type=storage.TransactRequest
        )
        if any(self._version(c.key) != c.version for c in query.conditions):
            return responses.to_json({}, 409)
        for write in query.writes:
            self._apply(write)
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return responses.to_json({}, 504)
        return responses.to_json({})

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _apply(self, write: storage.Write) -> None:
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        version = self._version(write.key) + 1
        self.rows[write.key] = storage.Row(write.key, write.value, version)

    async def _load_object(self, request: Request) -> Response:
        name = request.path_params["name"]
        if failure := await self._apply_faults():
            return failure
        if name not in self.objects:
            return responses.to_json({}, 404)
        return litestar.Response(
            self.objects[name], media_type="application/octet-stream"
        )

    async def _store_object(self, request: Request) -> Response:
        name = request.path_params["name"]
        if failure := await self._apply_faults():
            return failure
        self.objects[name] = await request.body()
        return responses.to_json({})

    async def _delete_object(self, request: Request) -> Response:
        name = request.path_params["name"]
        if failure := await self._apply_faults():
            return failure
        self.objects.pop(name, None)
        return responses.to_json({})

    async def _reserve_weights(self) -> Response:
        if failure := await self._apply_faults():
            return failure
        now = time.monotonic()
        if now < self._next_grant_at:
            wait_ms = int((self._next_grant_at - now) * 1000) + 1
            return responses.to_json(storage.WeightGrant(False, wait_ms))
        self._next_grant_at = now + 1 / self.faults.weight_grants_per_s
        return responses.to_json(storage.WeightGrant(True))

    async def _list_instances(self) -> Response:
        if failure := await self._apply_faults():
            return failure
        return responses.to_json(list(self.instances.values()))

    async def _add_instance(self, request: Request) -> Response:
        item = msgspec.json.decode(
            await request.body(), type=storage.ListedInstance
        )
        self.instances[item.id] = item
        return responses.to_json({})

    async def _remove_instance(self, request: Request) -> Response:
        self.instances.pop(request.path_params["name"], None)
        return responses.to_json({})

    async def _change_faults(self, request: Request) -> Response:
        current = msgspec.to_builtins(self.faults)
        changes = msgspec.json.decode(await request.body())
        self.faults = msgspec.convert({**current, **changes}, Faults)
        return responses.to_json(self.faults)

    async def _show_rows(self) -> Response:
        return responses.to_json(
            {
                "rows": list(self.rows.values()),
                "reads": self.reads,
                "writes": self.writes,
            }
        )
