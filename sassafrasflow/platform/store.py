"""Client of the platform's metadata store."""

import asyncio
import base64
from collections.abc import Sequence
import functools
import re
from urllib import parse

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions

__all__ = ["Page", "PlatformStore", "StoreRow", "Write"]

# The store usually answers in 4 ms, and in 250 ms while it is slow.
CONNECT_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 1.2
# Timeout of a read that does not wait for changes. Such a read also detects
# the end of an outage.
POLL_TIMEOUT_S = 0.7
# Longest wait for the next part of an answer that has begun, and additional
# time for the complete answer. A large answer takes seconds on a link of
# 5 Mbit/s.
PART_TIMEOUT_S = 1.2
TRANSFER_TIMEOUT_S = 6.0
# Idle connections that are kept for reuse: two for the long polls and one for
# other calls.
MAX_IDLE_CONNECTIONS = 3
CONFLICT_STATUS = 412
HISTORY_GONE_STATUS = 410
# The store has done nothing of a write that it answers with one of these.
REJECTED_STATUSES = frozenset({403, 429, 503})
# No body of the store holds this, as JSON escapes the ends of lines.
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}[^\r\n]*\r\n")
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15


class StoreRow(msgspec.Struct, frozen=True):
    """Row of a table; the value of a removed row is ``None``."""

    table: str
    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """Rows of a table as of one revision of the whole store."""

    rows: tuple[StoreRow, ...]
    revision: int
    # Time of the store's monotonic clock.
    store_ms: int = 0
    era: ids.StoreEra = versions.UNKNOWN_ERA


class Write(msgspec.Struct, frozen=True):
    """Write of a row that has the expected revision; 0 stands for no row.

    Without a value, the row is only compared.
    """

    table: str
    key: str
    value: bytes | None
    expected_revision: int | None = None


class _Row(msgspec.Struct, rename="pascal"):
    table: str
    key: str
    # Number of the transaction that wrote the row, counted store-wide.
    ver: decoding.Count
    value: str | None = None
    tombstone: bool = False


class _Answer(msgspec.Struct, rename="pascal"):
    ver: decoding.Count
    now_ms: decoding.Int = 0
    rows: tuple[_Row, ...] = ()
    truncated: bool = False


class PlatformStore:
    """Call the store over persistent connections.

    Raises
    ------
    TableUnavailable : the call failed and wrote nothing
    TableOutcomeUnknown : a write may have taken effect or may do so later
    TableConflict : a row did not have the expected revision
    HistoryLost : changes after the revision are no longer kept, or the store
        was restored from a copy since
    """

    def __init__(
        self, host: str, port: int, log: telemetry.EventLog | None = None
    ) -> None:
        self._log = log
        self._host = host
        self._port = port
        self._idle: list[connections.ClientConnection] = []
        self._decoder = msgspec.json.Decoder(_Answer)
        # The greatest era that an answer has named.
        self._era = versions.UNKNOWN_ERA
        self.calls = 0

    async def read_rows(self, table: str) -> Page:
        """Read all rows of a table."""
        rows: list[StoreRow] = []
        start = ""
        era = None
        while True:
            query = {"Table": table, "part": ""}
            if start:
                query["From"] = start
            answer = await self._read("/rows-get", query, CALL_TIMEOUT_S)
            if era not in (None, self._era):
                raise exceptions.TableUnavailable(
                    "store: restored between two pages"
                )
            era = self._era
            rows += [_convert_row(row) for row in answer.rows]
            if not answer.truncated or not answer.rows:
                return Page(tuple(rows), answer.ver, answer.now_ms, era)
            # The smallest key that sorts after the last key of this page.
            start = answer.rows[-1].key + "\0"

    async def await_changes(
        self, table: str, after: versions.StoreVersion, wait_s: float
    ) -> Page:
        """Wait up to ``wait_s`` for rows that changed after a version."""
        query = {
            "Table": table,
            "After": str(after.revision),
            "WaitMs": str(round(wait_s * 1000)),
        }
        timeout_s = wait_s + CALL_TIMEOUT_S if wait_s else POLL_TIMEOUT_S
        answer = await self._read("/rows-feed", query, timeout_s)
        if self._era != after.era:
            # The restored store may have passed the revision again, and the
            # feed then lacks the rows that were written before it.
            raise exceptions.HistoryLost("store: restored from a copy")
        return Page(
            tuple(_convert_row(row) for row in answer.rows),
            answer.ver,
            answer.now_ms,
            self._era,
        )

    async def write(self, writes: Sequence[Write]) -> versions.StoreVersion:
        """Apply all writes or none, and return the new version."""
        body = msgspec.json.encode(
            {
                "Precondition": [
                    {
                        "Table": item.table,
                        "part": "",
                        "Key": item.key,
                        "Ver": item.expected_revision,
                    }
                    for item in writes
                    if item.expected_revision is not None
                ],
                "Puts": [
                    {
                        "Table": item.table,
                        "part": "",
                        "Key": item.key,
                        "Value": base64.b64encode(item.value).decode(),
                    }
                    for item in writes
                    if item.value is not None
                ],
                "Deletes": [],
            }
        )
        status, content = await self._call(
            "POST", "/rows-tx", body, CALL_TIMEOUT_S, is_write=True
        )
        if status == CONFLICT_STATUS:
            raise exceptions.TableConflict("store: a row has changed")
        try:
            revision = self._decode(status, content).ver
        except exceptions.TableUnavailable as exc:
            if status in REJECTED_STATUSES:
                raise
            raise exceptions.TableOutcomeUnknown(str(exc)) from exc
        return versions.StoreVersion(self._era, revision)

    def close(self) -> None:
        """Close idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _read(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Answer:
        status, content = await self._call(
            "GET", f"{path}?{parse.urlencode(query)}", b"", timeout_s
        )
        if status == HISTORY_GONE_STATUS:
            raise exceptions.HistoryLost("store: history was dropped")
        return self._decode(status, content)

    def _decode(self, status: int, content: bytes) -> _Answer:
        if status != 200:
            raise exceptions.TableUnavailable(f"store: status {status}")
        try:
            return decoding.decode(self._decoder.decode, content)
        except ValueError as exc:
            raise exceptions.TableUnavailable(f"store: {exc}") from exc

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_s: float,
        *,
        is_write: bool = False,
    ) -> tuple[int, bytes]:
        self.calls += 1
        error_type = (
            exceptions.TableOutcomeUnknown
            if is_write
            else exceptions.TableUnavailable
        )
        conn = await self._acquire_connection()
        try:
            async with asyncio.timeout(timeout_s + TRANSFER_TIMEOUT_S):
                return await self._send_and_receive(
                    conn, method, url, body, timeout_s
                )
        except TimeoutError as exc:
            raise error_type("store: no answer in time") from exc
        except ConnectionError as exc:
            raise error_type(f"store: {exc}") from exc
        finally:
            if conn.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                conn.on_idle_bytes = functools.partial(
                    self._log_left,
                    conn,
                    connections.ReuseObstacle.BYTES_WHEN_IDLE,
                )
                self._idle.append(conn)
            else:
                self._leave(conn)

    async def _acquire_connection(self) -> connections.ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                conn.on_idle_bytes = None
                return conn
            self._leave(conn)
        try:
            return await connections.connect(
                self._host, self._port, CONNECT_TIMEOUT_S
            )
        except connections.ConnectError as exc:
            raise exceptions.TableUnavailable(f"store: {exc}") from exc

    def _leave(self, conn: connections.ClientConnection) -> None:
        """Reset a connection; log it if the store sent further bytes."""
        obstacle = conn.find_reuse_obstacle()
        if obstacle is not None and obstacle.is_fault:
            self._log_left(conn, obstacle)
        conn.on_idle_bytes = None
        conn.abort()

    def _log_left(
        self,
        conn: connections.ClientConnection,
        obstacle: connections.ReuseObstacle,
        size: int | None = None,
    ) -> None:
        if self._log is not None:
            self._log.write(
                "store_connection_left",
                reason=obstacle.value,
                uses=conn.uses,
                bytes=size,
            )

    async def _send_and_receive(
        self,
        conn: connections.ClientConnection,
        method: str,
        url: str,
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        headers = [(b"Host", f"{self._host}:{self._port}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        conn.send(connections.encode_request(method, url, headers, body))
        reply = await connections.collect_reply(
            conn, timeout_s, PART_TIMEOUT_S
        )
        if _may_be_joined(conn, reply):
            conn.abort()
            raise ConnectionResetError("parts of two answers")
        era = _read_era(reply.headers, self._era)
        if era < self._era:
            raise ConnectionResetError("answer from before a restore")
        self._era = era
        return reply.status, reply.body


def _may_be_joined(
    conn: connections.ClientConnection, reply: connections.Reply
) -> bool:
    """Return whether an answer may hold a part of the one to another call.

    The answers have no ids. If another call was sent before, an answer that
    bytes follow may be that call's, and the bytes the rest of this one's.
    """
    if STATUS_LINE.search(reply.body):
        return True
    obstacle = conn.find_reuse_obstacle()
    return conn.uses > 1 and (
        obstacle is connections.ReuseObstacle.BYTES_AFTER_ANSWER
    )


def _read_era(
    headers: Sequence[protocol.Header], known: ids.StoreEra
) -> ids.StoreEra:
    """Return the era that an answer names, or else the known one."""
    for name, value in headers:
        if (
            name.lower() == ERA_HEADER
            and value.isdigit()
            and len(value) <= MAX_ERA_DIGITS
        ):
            return ids.StoreEra(int(value))
    return known


def _convert_row(row: _Row) -> StoreRow:
    value = None
    if not row.tombstone:
        value = _decode_value(row.value)
    return StoreRow(row.table, row.key, value, row.ver)


def _decode_value(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError:
        # Rows of other writers may hold any text. An empty value is rejected
        # later, when the row is decoded.
        return b""
