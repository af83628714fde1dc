"""Commands that submit and show release notes."""

import argparse
import pathlib
from typing import Any

from sassafrasflow import exceptions
from sassafrasflow.cli import client

__all__ = ["add_commands"]


def add_commands(commands: Any) -> None:
    """Add the ``note`` command to a parser."""
    note = commands.add_parser("note", help="submit and show release notes")
    actions = note.add_subparsers(dest="action", required=True)
    submit = _action(actions, "submit", "submit a note", _submit)
    submit.add_argument("file", type=pathlib.Path)
    show = _action(actions, "show", "show one note", _show)
    show.add_argument("id")
    show.add_argument("--format", choices=("json", "text"), default="json")
    take_back = _action(actions, "take-back", "take one note back", _take_back)
    take_back.add_argument("id")
    _action(actions, "list", "show all notes", _list)


def _action(
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
    return _ask(args, "POST", "/operator/notes", content)


def _show(args: argparse.Namespace) -> int:
    path = f"/operator/notes/{args.id}?format={args.format}"
    return _ask(args, "GET", path)


def _take_back(args: argparse.Namespace) -> int:
    return _ask(args, "POST", f"/operator/notes/{args.id}/take-back")


def _list(args: argparse.Namespace) -> int:
    return _ask(args, "GET", "/operator/notes")


def _ask(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: bytes | None = None,
) -> int:
    print(client.ask(args.url, method, path, body))
    return 0
