"""Run one fake as a process: ``python -m sassafrasflow.fakes KIND``.

The first line on standard output is a JSON object with the port.
"""

import argparse
import asyncio
import json

from sassafrasflow import api
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow.fakes import engine
from sassafrasflow.fakes import platform
from sassafrasflow.fakes import service


def main() -> None:
    """Parse the command line and serve until killed."""
    parser = argparse.ArgumentParser(prog="sassafrasflow.fakes")
    parser.add_argument("kind", choices=["platform", "engine", "service"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="service")
    parser.add_argument(
        "--loaded", nargs="*", default=[], metavar="MODEL@VERSION"
    )
    parser.add_argument("--behaviour", default="{}", metavar="JSON")
    args = parser.parse_args()
    asyncio.run(_serve(args))


async def _serve(args: argparse.Namespace) -> None:
    server = api.HttpServer(_app(args), "127.0.0.1", args.port)
    await server.start()
    print(json.dumps({"port": server.port}), flush=True)
    await asyncio.Event().wait()


def _app(args: argparse.Namespace) -> object:
    if args.kind == "platform":
        return platform.FakePlatform().app()
    if args.kind == "service":
        return service.FakeService(args.name).app()
    loaded = []
    for item in args.loaded:
        model, _, version = item.partition("@")
        loaded.append(
            engines.LoadedVersion(ids.ModelName(model), ids.VersionId(version))
        )
    behaviour = engine.Behaviour(**json.loads(args.behaviour))
    return engine.FakeEngine(loaded, behaviour).app()


if __name__ == "__main__":
    main()
