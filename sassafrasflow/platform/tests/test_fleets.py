"""Tests of what the tests of fleets share."""

import collections
import contextlib
import json
import subprocess
import sys

PROCESSES = 4
PORTS = 200
DRAW = f"""
import json
import sys
from sassafrasflow.platform.tests import fleets
print(json.dumps([fleets.free_port() for _ in range({PORTS})]), flush=True)
sys.stdin.read()
"""


class TestFreePort:
    """Tests that run side by side start instances at different ports."""

    def test_no_port_is_handed_out_twice(self):
        """Two instances got one port: can't listen: [Errno 98]."""
        with contextlib.ExitStack() as stack:
            drawing = [
                stack.enter_context(
                    subprocess.Popen(
                        [sys.executable, "-c", DRAW],
                        stdin=subprocess.PIPE,
                        stdout=subprocess.PIPE,
                    )
                )
                for _ in range(PROCESSES)
            ]
            counts = collections.Counter(
                port
                for process in drawing
                for port in json.loads(process.stdout.readline())
            )
        assert counts.total() == PROCESSES * PORTS
        assert [port for port in counts if counts[port] > 1] == []
