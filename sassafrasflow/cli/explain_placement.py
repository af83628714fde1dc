"""The ``explain-placement`` command: where a request would go now."""

import argparse
from collections.abc import Iterator
import os
from typing import Any

import httpx
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.cli import client
from sassafrasflow.explanation import messages

__all__ = ["add_command", "lines_of"]

TIMEOUT_S = 10.0
ROW = "{:<24} {:<16} {:<9} {:<9} {:>6} {:>5} {:>6} {:>8} {:>12} {:>7}"


def add_command(commands: Any) -> None:
    """Add the ``explain-placement`` command to a parser."""
    parser = commands.add_parser(
        "explain-placement",
        help="show where a gateway would send a request now, and why",
        description="Ask a gateway where it would send a request now, without "
        "sending it. The key is read from the environment variable "
        f"{client.KEY_VARIABLE}.",
    )
    parser.add_argument(
        "--url",
        required=True,
        help="base URL of the gateway's metrics or health address",
    )
    parser.add_argument("--host", required=True, help="host of the route")
    parser.add_argument("--path", default="/", help="path of the request")
    parser.add_argument("--organisation", help="instead of a key")
    for name, text in (
        ("--prompt-tokens", "tokens of the prompt"),
        ("--answer-tokens", "most tokens of the answer"),
        ("--length-hint", "the caller's estimate of the answer's tokens"),
    ):
        parser.add_argument(name, type=int, default=0, help=text)
    parser.add_argument(
        "--rank", type=int, help="0 to 9, instead of the configured rank"
    )
    parser.add_argument(
        "--time-limit", type=float, help="seconds that the caller waits"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    content = _ask(args.url, _question(args))
    if args.json:
        print(content.decode())
        return 0
    try:
        found = msgspec.json.decode(content, type=messages.Explanation)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise exceptions.InstanceRefused(
            f"{args.url}: the answer can't be read: {exc}"
        ) from exc
    print("\n".join(lines_of(found)))
    return 0


def _question(args: argparse.Namespace) -> bytes:
    """Return the encoded question; its values are checked as on arrival.

    Raises
    ------
    UsageError : a value is out of range
    """
    organisation = args.organisation
    question = messages.Question(
        args.host,
        args.path,
        None if organisation else os.environ.get(client.KEY_VARIABLE),
        ids.OrganisationId(organisation) if organisation else None,
        args.prompt_tokens,
        args.answer_tokens,
        args.length_hint,
        args.rank,
        args.time_limit,
    )
    content = msgspec.json.encode(question)
    try:
        messages.decode_question(content)
    except ValueError as exc:
        raise exceptions.UsageError(str(exc)) from exc
    return content


def _ask(url: str, question: bytes) -> bytes:
    """Return the content of a gateway's answer.

    Raises
    ------
    UsageError : the URL is malformed
    InstanceUnreachable : the instance did not answer completely
    InstanceRefused : the instance can't explain the request
    """
    try:
        resp = httpx.post(
            url.rstrip("/") + messages.PATH,
            content=question,
            headers={"content-type": "application/json"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    except (httpx.InvalidURL, httpx.UnsupportedProtocol) as exc:
        raise exceptions.UsageError(f"--url {url}: {exc}") from exc
    except httpx.HTTPError as exc:
        raise exceptions.InstanceUnreachable(
            f"{url}: {exc or type(exc).__name__}"
        ) from exc
    if resp.headers.get("content-type") != "application/json":
        raise exceptions.InstanceRefused(
            f"{url}: no gateway with this command; it may run an older build"
        )
    if resp.status_code != 200:
        raise exceptions.InstanceRefused(f"{url}: {_error_of(resp.content)}")
    return resp.content


class _Error(msgspec.Struct, frozen=True):
    error: str


def _error_of(content: bytes) -> str:
    try:
        return msgspec.json.decode(content, type=_Error).error
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return "the answer can't be read"


def lines_of(found: messages.Explanation) -> Iterator[str]:
    """Yield the lines of an explanation in readable form."""
    yield _verdict_line(found)
    facts = (
        ("route", found.route),
        ("kind", found.kind),
        ("service", found.service),
        ("organisation", found.organisation),
        ("rank", found.rank),
    )
    known = [f"{name} {value}" for name, value in facts if value is not None]
    if known:
        yield ", ".join(known)
    if found.streams_waiting:
        yield f"streams that wait at this instance: {found.streams_waiting}"
    for cause, count in sorted(found.unavailable.items()):
        yield f"targets that take no requests ({cause}): {count}"
    if not found.candidates:
        return
    if found.is_sampled:
        yield (
            f"best {len(found.candidates)} of {found.candidates_total} "
            "candidates; a request compares a random sample of them"
        )
    yield ROW.format(
        "TARGET",
        "DATA CENTRE",
        "REASON",
        "HEALTH",
        "LOAD",
        "PACE",
        "LIMIT",
        "WAIT MS",
        "FREE TOKENS",
        "AGE MS",
    )
    for candidate in found.candidates:
        yield _row(candidate).rstrip()


def _verdict_line(found: messages.Explanation) -> str:
    if found.verdict is messages.Verdict.SEND:
        best = found.candidates[0].target if found.candidates else "a target"
        return f"would be sent to {best} ({found.cause})"
    if found.verdict is messages.Verdict.WAIT:
        return f"would wait for at most {found.wait_ms} ms ({found.cause})"
    line = f"would be refused with {found.status} ({found.cause})"
    if found.retry_after_s is not None:
        line += f", Retry-After {found.retry_after_s:.2f} s"
    return line


def _row(candidate: messages.CandidateReport) -> str:
    room = candidate.room
    free = "-" if room is None else str(room.free_tokens)
    age = "-" if room is None or room.age_ms is None else str(room.age_ms)
    return ROW.format(
        candidate.target,
        candidate.data_centre,
        candidate.reason.value,
        candidate.health,
        f"{candidate.load:.1f}",
        f"{candidate.pace:.2f}",
        "-" if candidate.limit is None else f"{candidate.limit:.1f}",
        candidate.expected_wait_ms,
        free,
        age,
    )
