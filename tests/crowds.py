"""Crowds of untrusted callers against an instance of little memory."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import os
import pathlib
import socket

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins
from tests import gateways

MEMORY_MB = 48
MAX_FDS = 1000
# Descriptors that an instance keeps for files.
RESERVED_FDS = 200
BODY_BYTES = 512 * 1024
HEAD_BYTES = 16 * 1024
ANSWER_BYTES = 2 * 1024 * 1024
SLOTS = 400
# Size of the pieces of a body, and of large chunks.
PIECE_BYTES = 16 * 1024
# A member that can't send for this long is held back by the instance.
SEND_TIMEOUT_S = 10.0
# Receive buffer of members that don't read.
SMALL_BUFFER_BYTES = 4096


class Instance(gateways.GatewayProcess):
    """Instance with little memory and few descriptors."""

    memory_mb = MEMORY_MB
    body_bytes = BODY_BYTES

    def configuration(self):
        cfg = documents.configuration()
        cfg["Limits"] |= {
            "MaxHeaderBytes": HEAD_BYTES,
            "MaxBodyBytes": self.body_bytes,
            "HeaderTimeoutMs": 3000,
        }
        service = cfg["Services"][0]
        service["MaxConnections"] = SLOTS
        service["Engine"]["Slots"] = SLOTS
        return cfg

    def entry(self):
        return {"Slots": SLOTS}

    def settings(self):
        limits = {"MemoryMb": self.memory_mb, "MaxFds": MAX_FDS}
        return {**super().settings(), "Limits": limits}

    def peak_mb(self) -> float:
        """Return the largest memory that the process has had so far."""
        return read_status(self.process.pid, "VmHWM:") / 1024

    async def settle(self) -> None:
        """Wait until the process has read what waits in the kernel."""
        await settle(
            self.process.pid, lambda: self.process.returncode is not None
        )

    def count_fds(self) -> int:
        """Return the number of open descriptors of the process."""
        return count_fds(self.process.pid)


class SmallestInstance(Instance):
    """Instance with the memory of the smallest machine and usual limits."""

    memory_mb = 160
    body_bytes = 4 * 1024 * 1024


def read_status(pid: int, name: str) -> int:
    """Return a value of a process's status file, in KB."""
    path = pathlib.Path(f"/proc/{pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1])
    raise AssertionError(f"no {name}")


async def settle(pid: int, has_ended: Callable[[], bool]) -> None:
    """Wait until a process has read what waits in the kernel.

    Its memory has not changed for a second then, or it has ended.
    """
    seen: list[int] = []
    while len(seen) < 10 or seen[-1] != seen[-10]:
        if has_ended():
            return
        seen.append(read_status(pid, "VmRSS:"))
        await asyncio.sleep(0.1)


def count_fds(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class Crowd:
    """Connections of callers that send and then hold the connection."""

    def __init__(self, port: int, *, reads_slowly: bool = False) -> None:
        self._port = port
        self._reads_slowly = reads_slowly
        self.socks: list[socket.socket] = []

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *_) -> None:
        for sock in self.socks:
            sock.close()

    async def send(self, count: int, pieces: Iterable[bytes]) -> None:
        """Let each of several new members send pieces in turn."""
        content = list(pieces)
        members = [await self._connect() for _ in range(count)]
        await asyncio.gather(
            *(self._send(member, content) for member in members if member)
        )

    async def read(self) -> None:
        """Read and discard what the members get, until they get nothing."""
        await asyncio.gather(*(self._read(sock) for sock in self.socks))

    async def _connect(self) -> socket.socket | None:
        sock = socket.socket()
        self.socks.append(sock)
        if self._reads_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(sock, (standins.HOST, self._port))
        except (OSError, TimeoutError):
            return None
        return sock

    async def _send(self, sock: socket.socket, pieces: list[bytes]) -> None:
        """Send until the instance closes the connection or stops reading."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            for piece in pieces:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_sendall(sock, piece)
                # Members send their pieces in turn.
                await asyncio.sleep(0)

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                while await loop.sock_recv(sock, 65536):
                    pass


def head(path: str = "/book/1", *, method: str = "POST", **named) -> bytes:
    """Return the head of an ordinary request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        "X-Request-Attempt-Id: crowd",
        "X-Deadline-Remaining: 8000",
        "X-Key: secret",
    ]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in named.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(
    size: int,
    sent: int | None = None,
    write_head: Callable[..., bytes] = head,
) -> Iterator[bytes]:
    """Return the pieces of a request whose head tells a length."""
    yield write_head(Content_Length=size)
    yield from split(b"b" * (size if sent is None else sent))


def chunked(
    size: int, chunk_bytes: int, write_head: Callable[..., bytes] = head
) -> Iterator[bytes]:
    """Return the pieces of a chunked request without its end."""
    yield write_head(Transfer_Encoding="chunked")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    yield from split(chunk * (size // chunk_bytes))


def long_head(write_head: Callable[..., bytes] = head) -> list[bytes]:
    """Return a head of many lines, near the limit, without its end."""
    lines = b"".join(b"X-%d: %d\r\n" % (at, at) for at in range(480))
    start = write_head()[:-2] + lines
    return [start + b"X-Long: " + b"a" * (15 * 1024 - len(start))]


def split(content: bytes) -> Iterator[bytes]:
    """Split content into pieces."""
    for start in range(0, len(content), PIECE_BYTES):
        yield content[start : start + PIECE_BYTES]
