"""Commands that submit and show release notes."""

import argparse
import os
import pathlib
import sys
from typing import Any

import httpx

__all__ = ["add_commands"]

KEY_VARIABLE = "SASSAFRASFLOW_KEY"
TIMEOUT_S = 10.0


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
    return _ask(args, "POST", "/operator/notes", args.file.read_bytes())


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
    key = os.environ.get(KEY_VARIABLE, "")
    try:
        resp = httpx.request(
            method,
            args.url + path,
            content=body,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    except httpx.HTTPError as exc:
        print(f"sassafrasflow: {args.url}: {exc}", file=sys.stderr)
        return 3
    refused = resp.status_code >= 400
    print(resp.text, file=sys.stderr if refused else sys.stdout)
    return 1 if refused else 0
