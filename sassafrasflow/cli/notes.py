"""The ``note`` command, which submits, shows and takes back notes."""

import argparse
import pathlib
from typing import Any
from urllib import parse

from sassafrasflow import exceptions
from sassafrasflow.cli import client

__all__ = ["add_commands"]


def add_commands(commands: Any) -> None:
    """Add the ``note`` command to a parser."""
    note = commands.add_parser(
        "note", help="submit, show and take back release notes"
    )
    actions = note.add_subparsers(dest="action", required=True)
    submit = _add_action(actions, "submit", "submit a note", _submit)
    submit.add_argument("file", type=pathlib.Path, help="JSON file")
    show = _add_action(actions, "show", "show one note", _show)
    show.add_argument("id", help="as submit printed it")
    show.add_argument("--format", choices=("json", "text"), default="json")
    take_back = _add_action(
        actions, "take-back", "take one note back", _take_back
    )
    take_back.add_argument("id", help="as submit printed it")
    _add_action(actions, "list", "show all notes", _list)


def _add_action(
    actions: Any, name: str, text: str, run: Any
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text)
    parser.add_argument(
        "--url", required=True, help="base URL of any instance"
    )
    parser.set_defaults(run=run)
    return parser


def _submit(args: argparse.Namespace) -> int:
    try:
        content = args.file.read_bytes()
    except OSError as exc:
        raise exceptions.UsageError(f"{args.file}: {exc.strerror}") from exc
    return _send_and_print(args, "POST", "/operator/notes", content)


def _show(args: argparse.Namespace) -> int:
    path = f"{_path(args)}?format={args.format}"
    return _send_and_print(args, "GET", path)


def _take_back(args: argparse.Namespace) -> int:
    return _send_and_print(args, "POST", f"{_path(args)}/take-back")


def _path(args: argparse.Namespace) -> str:
    return f"/operator/notes/{parse.quote(args.id, safe='')}"


def _list(args: argparse.Namespace) -> int:
    return _send_and_print(args, "GET", "/operator/notes")


def _send_and_print(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: bytes | None = None,
) -> int:
    print(client.send_request(args.url, method, path, body))
    return 0
