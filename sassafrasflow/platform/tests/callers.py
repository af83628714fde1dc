"""HTTP client for requests to an instance over one connection."""

import asyncio

import msgspec

from sassafrasflow.platform.tests import standins


class Answer(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes
    # Whether the body ended as the framing of the answer requires.
    complete: bool


class Caller:
    """Send requests to an instance over one connection."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def __aenter__(self) -> "Caller":
        self.reader, self.writer = await asyncio.open_connection(
            standins.HOST, self._port
        )
        return self

    async def __aexit__(self, *_) -> None:
        self.writer.close()

    def send(self, path, *, body=b"", **named):
        if body:
            named["Content_Length"] = len(body)
        self.send_raw(self.encode(path, **named) + body)

    def send_raw(self, content: bytes):
        self.writer.write(content)

    def encode(self, path, *, method="GET", attempt="a1", **named) -> bytes:
        """Return the encoded head of a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        headers = {
            "Host": "shop.example",
            "X-Request-Attempt-Id": attempt,
            "X-Deadline-Remaining": "4000",
            "X-Key": "secret",
        }
        headers |= {key.replace("_", "-"): val for key, val in named.items()}
        lines += [f"{k}: {v}" for k, v in headers.items() if v is not None]
        return "\r\n".join([*lines, "", ""]).encode()

    async def request(self, path, **named) -> Answer:
        self.send(path, **named)
        return await self.read()

    async def read(self) -> Answer:
        async with asyncio.timeout(10):
            return await self._read()

    async def _read(self) -> Answer:
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        assert first.startswith("HTTP/1.1 ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        body, complete = b"", True
        try:
            if "content-length" in headers:
                length = int(headers["content-length"])
                body = await self.reader.readexactly(length)
            else:
                async for chunk in self.chunks():
                    body += chunk
        except (EOFError, OSError) as exc:
            complete = False
            body += getattr(exc, "partial", b"")
        return Answer(status, headers, body, complete)

    async def chunks(self):
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            chunk = await self.reader.readexactly(size + 2)
            if not size:
                return
            yield chunk[:-2]
