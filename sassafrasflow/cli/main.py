"""Entry point of the ``sassafrasflow`` command.

Exit codes: 0 success, 1 the request was refused, 2 wrong usage or
settings, 3 the address or the instance can't be reached.
"""

import argparse
import asyncio
from collections.abc import Sequence
import pathlib
import sys

import msgspec

import sassafrasflow
from sassafrasflow import settings
from sassafrasflow.cli import notes
from sassafrasflow.cli import serve

__all__ = ["main"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"sassafrasflow: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except OSError as exc:
        print(f"sassafrasflow: {exc}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except KeyboardInterrupt:
        return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sassafrasflow", description=sassafrasflow.__doc__
    )
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one instance")
    run.add_argument("--settings", type=pathlib.Path, required=True)
    run.set_defaults(run=_serve)
    check = commands.add_parser(
        "check-settings", help="check a settings file and exit"
    )
    check.add_argument("--settings", type=pathlib.Path, required=True)
    check.set_defaults(run=_check_settings)
    version = commands.add_parser("version", help="print the version")
    version.set_defaults(run=_version)
    demo = commands.add_parser(
        "demo", help="kill an engine mid-answer and show the whole answer"
    )
    demo.set_defaults(run=_demo)
    notes.add_commands(commands)
    return parser


def _serve(args: argparse.Namespace) -> int:
    return asyncio.run(serve.serve(settings.load_settings(args.settings)))


def _check_settings(args: argparse.Namespace) -> int:
    cfg = settings.load_settings(args.settings)
    print(f"{args.settings}: settings of {cfg.instance} are correct")
    return EXIT_OK


def _version(_: argparse.Namespace) -> int:
    print(sassafrasflow.__version__)
    return EXIT_OK


def _demo(_: argparse.Namespace) -> int:
    # Only the demo brings in the stand-ins.
    from sassafrasflow.cli import demo

    result = asyncio.run(demo.run())
    print(msgspec.json.encode(result).decode())
    return EXIT_OK if result.complete else EXIT_REFUSED
