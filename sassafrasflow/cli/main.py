"""Entry point of the ``sassafrasflow`` command."""

import argparse
import asyncio
from collections.abc import Sequence
import enum
import pathlib
import sys

import msgspec

import sassafrasflow
from sassafrasflow import exceptions
from sassafrasflow import settings
from sassafrasflow.cli import experiment
from sassafrasflow.cli import explain
from sassafrasflow.cli import explain_placement
from sassafrasflow.cli import notes
from sassafrasflow.cli import serve
from sassafrasflow.cli import status

__all__ = ["ExitCode", "main"]

EXIT_CODES = """\
exit codes:
  0    success
  1    the request was refused, or the demo's answer was not whole
  2    wrong usage, settings or input file
  3    an address, an instance or a file of the system can't be reached
  130  interrupted

Commands that ask an instance read the operator's key from the environment
variable SASSAFRASFLOW_KEY.
"""


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    INTERRUPTED = 130


EXIT_CODE_BY_EXCEPTION: dict[type[Exception], ExitCode] = {
    exceptions.InstanceRefused: ExitCode.REFUSED,
    exceptions.UsageError: ExitCode.USAGE,
    exceptions.SettingsError: ExitCode.USAGE,
    exceptions.AddressError: ExitCode.UNREACHABLE,
    exceptions.InstanceUnreachable: ExitCode.UNREACHABLE,
    OSError: ExitCode.UNREACHABLE,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except ExceptionGroup as group:
        return _report(*group.exceptions)
    except (exceptions.SassafrasflowError, OSError) as exc:
        return _report(exc)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _report(*faults: Exception) -> int:
    for fault in faults:
        print(f"sassafrasflow: {fault}", file=sys.stderr)
    return max(_exit_code(fault) for fault in faults)


def _exit_code(fault: Exception) -> ExitCode:
    for kind, code in EXIT_CODE_BY_EXCEPTION.items():
        if isinstance(fault, kind):
            return code
    return ExitCode.REFUSED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sassafrasflow",
        description=sassafrasflow.__doc__,
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    serving = commands.add_parser("serve", help="run one instance")
    _add_settings(serving)
    serving.set_defaults(run=_serve)
    check = commands.add_parser(
        "check-settings", help="check a settings file and exit"
    )
    _add_settings(check)
    _add_json(check)
    check.set_defaults(run=_check_settings)
    status.add_command(commands)
    notes.add_commands(commands)
    explain.add_command(commands)
    explain_placement.add_command(commands)
    experiment.add_command(commands)
    gateway = commands.add_parser(
        "gateway", help="run one entry instance on the users' platform"
    )
    gateway.set_defaults(run=_gateway)
    version = commands.add_parser("version", help="print the version")
    _add_json(version)
    version.set_defaults(run=_version)
    demo = commands.add_parser(
        "demo", help="kill an engine mid-answer and show the whole answer"
    )
    demo.set_defaults(run=_demo)
    return parser


def _add_settings(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings", type=pathlib.Path, required=True, help="JSON file"
    )


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _serve(args: argparse.Namespace) -> int:
    cfg = settings.load_settings(args.settings)
    return asyncio.run(serve.serve(cfg))


def _gateway(_: argparse.Namespace) -> int:
    from sassafrasflow import entry

    return entry.run_gateway()


def _check_settings(args: argparse.Namespace) -> int:
    try:
        cfg = settings.load_settings(args.settings)
    except ExceptionGroup as group:
        if args.json:
            print(_fault_report(*group.exceptions))
            return ExitCode.USAGE
        raise
    if args.json:
        print(_fault_report())
    else:
        print(f"{args.settings}: settings of {cfg.instance} are correct")
    return ExitCode.OK


def _fault_report(*faults: Exception) -> str:
    problems = [
        {"path": fault.path, "problem": fault.problem}
        for fault in faults
        if isinstance(fault, exceptions.SettingsError)
    ]
    return msgspec.json.encode(
        {"ok": not problems, "faults": problems}
    ).decode()


def _version(args: argparse.Namespace) -> int:
    version = sassafrasflow.__version__
    if args.json:
        version = msgspec.json.encode({"version": version}).decode()
    print(version)
    return ExitCode.OK


def _demo(_: argparse.Namespace) -> int:
    # Imported here because only the demo needs the fakes.
    from sassafrasflow.cli import demo

    result = asyncio.run(demo.run())
    print(msgspec.json.encode(result).decode())
    return ExitCode.OK if result.complete else ExitCode.REFUSED
