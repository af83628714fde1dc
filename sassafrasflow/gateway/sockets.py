"""Sockets of an instance, bound before the other modules are imported."""

import socket
import sys

import msgspec

from sassafrasflow import exceptions
from sassafrasflow.gateway import settings

__all__ = [
    "KeepAlive",
    "Sockets",
    "listen_if_free",
    "open_sockets",
    "set_options",
]

LISTEN_BACKLOG = 1024


class KeepAlive(msgspec.Struct, frozen=True):
    """Probes of an idle connection, and a limit on unanswered bytes."""

    idle_s: int
    interval_s: int
    probes: int
    # The kernel resets a connection whose bytes stay unacknowledged this long.
    user_timeout_ms: int | None = None


class Sockets:
    """Bound sockets of an instance."""

    def __init__(self, cfg: settings.GatewaySettings) -> None:
        self.callers = _listen(cfg.caller_address)
        self.health = _listen(cfg.health_address)
        self.metrics = listen_if_free(cfg.metrics_address)
        self.exchange = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.exchange.bind((cfg.host, cfg.exchange_port))
        self.exchange.setblocking(False)


def open_sockets(cfg: settings.GatewaySettings) -> Sockets:
    """Bind every socket.

    Raises
    ------
    AddressError : an address is in use or not local
    """
    try:
        return Sockets(cfg)
    except OSError as exc:
        raise exceptions.AddressError(f"can't listen: {exc}") from exc


def listen_if_free(
    address: settings.Address | None,
) -> socket.socket | None:
    """Listen on the metrics address, or return ``None`` if that fails.

    A failure is only printed, because callers don't depend on metrics.
    """
    if address is None:
        return None
    try:
        return _listen(address)
    except (OSError, OverflowError, TypeError, ValueError) as exc:
        # Host names and ports out of range raise errors of other types.
        line = f"sassafrasflow: no metrics on {address}: {exc}"
        print(line, file=sys.stderr)
        return None


def set_options(sock: socket.socket, probes: KeepAlive) -> None:
    """Send without delay, and detect a dead remote end by probes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, probes.idle_s),
        (socket.TCP_KEEPINTVL, probes.interval_s),
        (socket.TCP_KEEPCNT, probes.probes),
        (socket.TCP_USER_TIMEOUT, probes.user_timeout_ms),
    ):
        if value is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _listen(address: settings.Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
