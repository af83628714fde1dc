"""Assemble and run an entry instance on the users' platform.

Instances restart often, and each import before the sockets listen makes
callers wait longer. So modules that are not needed for that are imported
afterwards.
"""

import os
import sys

from sassafrasflow import exceptions
from sassafrasflow.gateway import sockets
from sassafrasflow.platform import settings

__all__ = ["run_gateway"]

STDOUT = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


def run_gateway() -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    try:
        cfg = settings.load_settings(settings.settings_path())
        bound = sockets.open_sockets(cfg)
    except exceptions.SettingsError as exc:
        print(f"sassafrasflow: {exc}", file=sys.stderr)
        return EXIT_USAGE
    except exceptions.AddressError as exc:
        print(f"sassafrasflow: {exc}", file=sys.stderr)
        return EXIT_UNREACHABLE

    import asyncio

    from sassafrasflow.gateway import process
    from sassafrasflow.gateway import telemetry
    from sassafrasflow.platform import headers
    from sassafrasflow.platform import inspection
    from sassafrasflow.platform import memory
    from sassafrasflow.platform import rows
    from sassafrasflow.platform import store

    os.set_blocking(STDOUT, False)
    log = telemetry.EventLog(cfg.instance, STDOUT)

    async def serve() -> None:
        client = store.PlatformStore(*cfg.store_address, log)
        gateway = process.Gateway(
            cfg,
            rows.PlatformRegistry(client, log),
            headers.PlatformHeaders(),
            inspection.HttpTargetInspector(cfg.host),
            memory.HttpCopyMaker(cfg.host, log),
            log,
            load_settings=lambda: settings.load_settings(
                settings.settings_path()
            ),
        )
        await gateway.start(bound)
        await gateway.run_until_stopped()
        client.close()

    asyncio.run(serve())
    return 0
