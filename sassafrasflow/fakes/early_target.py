"""Target that answers before it has read a request, and resets."""

import contextlib
import socket
import threading
import time

__all__ = ["EarlyTarget"]

HOST = "127.0.0.1"
# A close with this option of SO_LINGER resets the connection.
LINGER_OFF = b"\x01\x00\x00\x00\x00\x00\x00\x00"
TIMEOUT_S = 10.0


class EarlyTarget:
    """Answer each request after ``read_bytes`` of it, then reset.

    With ``lingers``, the target closes normally, and its kernel resets the
    connection because bytes of the request are unread.
    """

    def __init__(
        self,
        answer: bytes,
        *,
        delay_s: float = 0.0,
        half_close: bool = False,
        lingers: bool = False,
        read_bytes: int = 1,
    ) -> None:
        self._answer = answer
        self._lingers = lingers
        self._read_bytes = read_bytes
        self._delay_s = delay_s
        self._half_close = half_close
        self._listening = socket.create_server((HOST, 0))
        self.port = self._listening.getsockname()[1]
        self.answered = 0
        self._open: set[socket.socket] = set()
        self._threads = [threading.Thread(target=self._accept, daemon=True)]

    def __enter__(self) -> "EarlyTarget":
        self._threads[0].start()
        return self

    def __exit__(self, *exc: object) -> None:
        # A blocked call ends only with a shutdown.
        self._listening.shutdown(socket.SHUT_RDWR)
        self._threads[0].join(TIMEOUT_S)
        self._listening.close()
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in self._threads[1:]:
            thread.join(TIMEOUT_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listening.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            self._threads.append(thread)
            self._open.add(sock)
            thread.start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            self._answer_one(sock)
        self._open.discard(sock)

    def _answer_one(self, sock: socket.socket) -> None:
        sock.settimeout(TIMEOUT_S)
        # The rest of the request stays unread.
        if not sock.recv(1):
            # A check of the target ends without a request.
            return
        size = 1
        while size < self._read_bytes:
            received = len(sock.recv(1_000_000))
            if not received:
                return
            size += received
        sock.sendall(self._answer)
        self.answered += 1
        if self._half_close:
            sock.shutdown(socket.SHUT_WR)
        time.sleep(self._delay_s)
        if not self._lingers:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
