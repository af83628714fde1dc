"""Ports of the loopback address for processes that are yet to start.

Each port is handed out once among all processes of one user. A process locks
one byte of a common file for each of its ports until it ends, so that the
ports themselves stay free to be bound.
"""

from collections.abc import Iterable
import errno
import fcntl
import functools
import itertools
import os
import pathlib
import random
import socket
import tempfile

__all__ = ["draw_port", "release_ports"]

HOST = "127.0.0.1"
# Below the range of ports that the system gives to outgoing connections.
PORT_RANGE = (12_000, 32_000)

_port_rng = random.SystemRandom()
# A lock does not keep out the process that holds it.
_drawn: set[int] = set()


def draw_port(
    rng: random.Random = _port_rng, port_range: tuple[int, int] = PORT_RANGE
) -> int:
    """Return a port that is free for TCP and UDP, and reserve it.

    Raises
    ------
    OSError : all ports of the range are in use or reserved
    """
    first, end = port_range
    start = rng.randrange(first, end)
    for port in itertools.chain(range(start, end), range(first, start)):
        if port not in _drawn and _lock(port):
            if _is_free(port):
                _drawn.add(port)
                return port
            _unlock(port)
    raise OSError(errno.EADDRINUSE, f"no free port in {port_range}")


def release_ports(ports: Iterable[int]) -> None:
    """End the reservation of ports that are no longer used."""
    for port in ports:
        if port in _drawn:
            _drawn.remove(port)
            _unlock(port)


@functools.cache
def _lock_file() -> int:
    # Closing any descriptor of the file would end all locks of the process.
    name = f"sassafrasflow-ports-{os.getuid()}"
    path = pathlib.Path(tempfile.gettempdir(), name)
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)


def _lock(port: int) -> bool:
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except (BlockingIOError, PermissionError):
        return False
    return True


def _unlock(port: int) -> None:
    fcntl.lockf(_lock_file(), fcntl.LOCK_UN, 1, port)


def _is_free(port: int) -> bool:
    with (
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagram,
    ):
        try:
            stream.bind((HOST, port))
            datagram.bind((HOST, port))
        except OSError:
            return False
    return True
