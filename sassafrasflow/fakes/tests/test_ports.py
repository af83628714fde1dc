"""Tests of the ports that tests give to their processes."""

import random
import socket
import subprocess
import sys

import pytest

from sassafrasflow.fakes import ports

DRAW = """
import sys
from sassafrasflow.fakes import ports
print(ports.draw_port(), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def port():
    """Return a reserved port."""
    drawn = ports.draw_port()
    yield drawn
    ports.release_ports([drawn])


def draw(port):
    return ports.draw_port(port_range=(port, port + 1))


class TestDrawnPort:
    """A port is handed out once and may be bound by its owner."""

    def test_may_be_bound(self, port):
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((ports.HOST, port))
            datagram.bind((ports.HOST, port))

    def test_is_not_drawn_again(self, port):
        with pytest.raises(OSError, match="no free port"):
            draw(port)

    def test_of_another_process_is_reserved_until_it_ends(self):
        with subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            port = int(process.stdout.readline())
            with pytest.raises(OSError, match="no free port"):
                draw(port)
        assert draw(port) == port
        ports.release_ports([port])

    def test_is_drawn_again_after_its_release(self, port):
        ports.release_ports([port])
        assert draw(port) == port

    @pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
    def test_is_not_in_use(self, port, kind):
        ports.release_ports([port])
        with socket.socket(type=kind) as sock:
            sock.bind((ports.HOST, port))
            with pytest.raises(OSError, match="no free port"):
                draw(port)
        assert draw(port) == port

    def test_follows_the_random_source(self):
        """A seed of the soak gets the same ports again."""
        seed = random.SystemRandom().randrange(10**9)
        draws = []
        for _ in range(2):
            rng = random.Random(seed)
            draws.append([ports.draw_port(rng) for _ in range(3)])
            ports.release_ports(draws[-1])
        assert draws[0] == draws[1]
