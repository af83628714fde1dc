"""Fault-injecting TCP proxy."""

import asyncio
import enum

__all__ = ["Direction", "FaultProxy"]

CHUNK_BYTES = 65536


class Direction(enum.Enum):
    """List the directions of traffic through the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class FaultProxy:
    """Relay connections to one address and inject faults into them."""

    def __init__(self, upstream_host: str, upstream_port: int) -> None:
        self._upstream = (upstream_host, upstream_port)
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._flowing = {direction: asyncio.Event() for direction in Direction}
        for event in self._flowing.values():
            event.set()
        self._truncate_after: dict[Direction, int | None] = dict.fromkeys(
            Direction
        )
        self.delay_s = 0.0
        self.refuses_connections = False
        self.refused_hosts: set[str] = set()
        self.relayed_bytes = dict.fromkeys(Direction, 0)

    @property
    def port(self) -> int:
        """Return the listening port."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self.port}"

    def retarget(self, host: str, port: int) -> None:
        """Relay new connections to another address."""
        self._upstream = (host, port)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        assert self._server is not None
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def relay_to(self, upstream_host: str, upstream_port: int) -> None:
        """Relay new connections to another address."""
        self._upstream = (upstream_host, upstream_port)

    def reset_connections(self) -> None:
        """Abort every open connection."""
        for writer in list(self._conns):
            writer.transport.abort()

    def partition(self) -> None:
        """Abort every connection and refuse new ones."""
        self.refuses_connections = True
        self.reset_connections()

    def partition_from(self, hosts: set[str]) -> None:
        """Abort every connection and refuse new ones from some hosts."""
        self.refused_hosts = hosts
        self.reset_connections()

    def freeze(self, *directions: Direction) -> None:
        """Stop relaying without closing; the default is both directions."""
        for direction in directions or Direction:
            self._flowing[direction].clear()

    def truncate(self, direction: Direction, after_bytes: int) -> None:
        """Abort every connection after a number of further bytes."""
        self._truncate_after[direction] = after_bytes

    def heal(self) -> None:
        """End every fault."""
        self.refuses_connections = False
        self.refused_hosts = set()
        self.delay_s = 0.0
        self._truncate_after = dict.fromkeys(Direction)
        for event in self._flowing.values():
            event.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_refused(writer):
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            writer.transport.abort()
            return
        if self._is_refused(writer):
            # A partition began while the upstream connection was opened.
            writer.transport.abort()
            upstream_writer.transport.abort()
            return
        self._conns |= {writer, upstream_writer}
        for direction, source, sink in (
            (Direction.TO_SERVER, reader, upstream_writer),
            (Direction.TO_CLIENT, upstream_reader, writer),
        ):
            task = asyncio.create_task(self._relay(direction, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _is_refused(self, writer: asyncio.StreamWriter) -> bool:
        source = writer.get_extra_info("peername")[0]
        return self.refuses_connections or source in self.refused_hosts

    async def _relay(
        self,
        direction: Direction,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await source.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._flowing[direction].wait()
                remaining = self._truncate_after[direction]
                if remaining is not None and len(chunk) > remaining:
                    sink.write(chunk[:remaining])
                    self._truncate_after[direction] = None
                    self.reset_connections()
                    return
                if remaining is not None:
                    self._truncate_after[direction] = remaining - len(chunk)
                sink.write(chunk)
                self.relayed_bytes[direction] += len(chunk)
                await sink.drain()
            sink.write_eof()
        except OSError:
            sink.transport.abort()
        finally:
            self._conns.discard(sink)
