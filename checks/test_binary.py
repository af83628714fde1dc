"""Checks of the built binary, which ``make check-binary`` runs.

The binary runs in an empty environment and folder, with the base interpreter
of the virtual environment, so that it can import only its own packages.
"""

import asyncio
import json
import pathlib
import signal
import sys

import psutil
import pytest

from sassafrasflow import exceptions
from sassafrasflow.fakes import processes

BINARY = pathlib.Path(__file__).parents[1] / "dist" / "sassafrasflow.pyz"
TIMEOUT_S = 120.0
POLL_S = 0.02

# Exits with status 99 when Python is about to start a process.
AUDIT_SCRIPT = """
import runpy, sys
def refuse(event, args):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn",
                 "os.system", "subprocess.Popen"):
        print("started a process:", event, file=sys.stderr, flush=True)
        raise SystemExit(99)
sys.addaudithook(refuse)
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


@pytest.fixture(scope="module")
def unpacked(tmp_path_factory):
    return tmp_path_factory.mktemp("unpacked")


@pytest.fixture
def start(unpacked, tmp_path):
    """Start the binary with only its unpack folder in the environment."""

    async def run(*args, before=()):
        return await asyncio.create_subprocess_exec(
            sys._base_executable,
            *before,
            str(BINARY),
            *args,
            env={"SHIV_ROOT": str(unpacked)},
            cwd=tmp_path,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    return run


async def observe_children(process):
    """Return the pids of all children that a process has until it ends."""
    pids = set()
    watched = psutil.Process(process.pid)
    while process.returncode is None:
        try:
            pids |= {child.pid for child in watched.children(recursive=True)}
        except psutil.NoSuchProcess:
            break
        await asyncio.sleep(POLL_S)
    return pids


class TestBinary:
    async def test_demo_has_no_child_process(self, start, tmp_path):
        process = await start("demo")
        async with asyncio.timeout(TIMEOUT_S):
            observation = asyncio.create_task(observe_children(process))
            out, err = await process.communicate()
            children = await observation
        assert process.returncode == 0, err.decode()
        result = json.loads(out.splitlines()[-1])
        assert result["complete"] and result["engine_killed"]
        assert children == set()
        assert list(tmp_path.iterdir()) == []

    async def test_demo_starts_no_process(self, start):
        process = await start("demo", before=("-c", AUDIT_SCRIPT))
        async with asyncio.timeout(TIMEOUT_S):
            _, err = await process.communicate()
        assert process.returncode == 0, err.decode()

    async def test_schema_files_are_inside(self, start, unpacked):
        process = await start("version")
        async with asyncio.timeout(TIMEOUT_S):
            await process.communicate()
        assert process.returncode == 0
        source = BINARY.parents[1] / "sassafrasflow"
        for schema in source.rglob("*.capnp"):
            name = schema.relative_to(source.parent)
            (copy,) = unpacked.glob(f"*/site-packages/{name}")
            assert copy.read_bytes() == schema.read_bytes()

    async def test_serves_and_stops(self, start, tmp_path, deployment):
        path = tmp_path / "settings.json"
        cfg = {
            "instance": "entry-0",
            "region": "east",
            "data_centre": "east-1",
            "platform": {"url": deployment.platform.url},
            "api": {"port": 0},
            "peers": {"port": 0},
            "initial_configuration": processes.initial_configuration(),
        }
        path.write_text(json.dumps(cfg))
        process = await start("serve", "--settings", str(path))
        async with asyncio.timeout(TIMEOUT_S):
            ports = json.loads(await process.stdout.readline())
            url = f"http://127.0.0.1:{ports['port']}"
            resp = await deployment.http.post(f"{url}/v1/completions")
            process.send_signal(signal.SIGTERM)
            await process.communicate()
        reason = exceptions.RefusalReason.UNAUTHENTICATED.value
        assert resp.json()["reason"] == reason
        assert process.returncode == 0
