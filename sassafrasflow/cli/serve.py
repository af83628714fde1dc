"""The ``serve`` command, which runs one instance until it is stopped."""

import asyncio
import json
import signal

from sassafrasflow import instance
from sassafrasflow import observability
from sassafrasflow import settings

__all__ = ["serve"]


async def serve(cfg: settings.Settings) -> int:
    """Run an instance and return the exit code.

    On SIGTERM or SIGINT, the instance stops once its requests have ended or
    the grace period is over.
    """
    observability.configure_logs(cfg.logs.level.value, as_json=cfg.logs.json)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = instance.Instance(cfg)
    try:
        await node.start()
        print(
            json.dumps({"port": node.port, "peer_port": node.peers.port}),
            flush=True,
        )
        await stop.wait()
        await _drain(node, cfg)
    finally:
        await node.close()
    return 0


async def _drain(node: instance.Instance, cfg: settings.Settings) -> None:
    try:
        async with asyncio.timeout(cfg.stop_grace_ms / 1000):
            await node.drain()
    except TimeoutError:
        await node.hand_over()
