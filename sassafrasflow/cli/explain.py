"""The ``explain`` command, which shows the log lines about a request."""

import argparse
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import sys
from typing import Any

import msgspec

__all__ = [
    "add_command",
    "failed_by_cause",
    "fingerprint_events",
    "read_lines",
    "request_events",
]

# State changes up to this long before a request may have affected its tries.
CONTEXT_BEFORE_S = 12.0
CONTEXT_AFTER_S = 0.5
# State changes that affect every request of an instance.
INSTANCE_EVENTS = frozenset(
    {
        "configuration",
        "start",
        "stop",
        "stop_requested",
        "store_lost",
        "store_regained",
        "store_restored",
    }
)

Line = dict[str, Any]


def read_lines(sources: Iterable[Iterable[str]]) -> list[Line]:
    """Return the log lines of several instances in order of time.

    Text before the opening brace of a line is skipped, and so are lines
    that are not log lines.
    """
    log_lines = []
    for source in sources:
        for text in source:
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:].encode(), type=Line)
            except msgspec.MsgspecError:
                # Other programs may write to the same log.
                continue
            if "event" in line and "time" in line:
                log_lines.append(line)
    return sorted(log_lines, key=lambda line: line["time"])


def request_events(lines: list[Line], request: str) -> list[Line]:
    """Return the log lines about a request, in order of time.

    These are the lines with the id of the request, and the state changes of
    its instances and targets from shortly before until shortly after it.
    """
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return []
    end = request_lines[-1]["time"]
    took_s = max(line.get("took_ms") or 0 for line in request_lines) / 1000
    begin = request_lines[0]["time"] - took_s - CONTEXT_BEFORE_S
    instances = {line.get("instance") for line in request_lines}
    targets = set(_targets_of(request_lines))
    return [
        line
        for line in lines
        if line.get("request") == request
        or (
            begin <= line["time"] <= end + CONTEXT_AFTER_S
            and line.get("instance") in instances
            and (
                line["event"] in INSTANCE_EVENTS
                or line.get("target") in targets
            )
        )
    ]


def fingerprint_events(lines: list[Line], fingerprint: str) -> list[Line]:
    """Return the log lines of all instances with a request's fingerprint."""
    return [line for line in lines if line.get("fingerprint") == fingerprint]


def failed_by_cause(lines: list[Line]) -> dict[str, list[str]]:
    """Return the ids of failed requests by the cause of the failure."""
    causes = collections.defaultdict(list)
    last_cause: dict[str, str] = {}
    for line in lines:
        request = line.get("request")
        if request is None:
            continue
        if line["event"] in ("run_ended", "try_failed"):
            last_cause[request] = line.get("cause") or line.get("end") or ""
        elif line["event"] == "no_target":
            last_cause[request] = _no_target_cause(line)
        elif line["event"] == "request":
            outcome = line.get("outcome", "")
            if outcome.startswith("answered_2"):
                continue
            cause = last_cause.get(request)
            causes[f"{outcome}: {cause}" if cause else outcome].append(request)
    return dict(causes)


def _no_target_cause(line: Line) -> str:
    """Return the most frequent state of the targets that were unavailable."""
    count_by_state = {
        key: line.get(key, 0) for key in ("leaving", "paused", "on_trial")
    }
    state = max(count_by_state, key=lambda key: count_by_state[key])
    if not count_by_state[state]:
        return "no target"
    return f"targets {state.replace('_', ' ')}"


def add_command(commands: Any) -> None:
    """Add the ``explain`` command to a parser."""
    parser = commands.add_parser(
        "explain", help="tell from log files why a request ended as it did"
    )
    parser.add_argument("request", nargs="?", help="the request's attempt id")
    parser.add_argument(
        "--fingerprint", help="show what is known of all copies of a request"
    )
    parser.add_argument(
        "--failed", action="store_true", help="group failed requests by cause"
    )
    parser.add_argument(
        "--log",
        type=pathlib.Path,
        action="append",
        default=[],
        help="log file; more than one may be given; standard input if none",
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    lines = read_lines(_sources(args.log))
    if args.failed:
        causes = failed_by_cause(lines)
        for cause, requests in sorted(
            causes.items(), key=lambda item: -len(item[1])
        ):
            print(f"{len(requests):6}  {cause}  e.g. {requests[0]}")
        return 0
    if args.fingerprint:
        selected = fingerprint_events(lines, args.fingerprint)
    else:
        selected = request_events(lines, args.request or "")
    if not selected:
        wanted = args.fingerprint or args.request
        print(f"sassafrasflow: no line of {wanted}", file=sys.stderr)
        return 1
    begin = selected[0]["time"]
    id_field = "fingerprint" if args.fingerprint else "request"
    for line in selected:
        print(_format_line(line, begin, id_field))
    return 0


def _sources(paths: list[pathlib.Path]) -> Iterator[list[str]]:
    if not paths:
        yield sys.stdin.readlines()
    for path in paths:
        yield path.read_text(errors="replace").splitlines()


def _format_line(line: Line, begin: float, id_field: str = "request") -> str:
    shown = {
        key: value
        for key, value in line.items()
        if key not in ("time", "instance", "event", id_field)
        and value not in (None, [], "")
    }
    fields = " ".join(
        f"{key}={_format_value(val)}" for key, val in shown.items()
    )
    at = line["time"] - begin
    return f"{at:9.3f} {line['instance']} {line['event']} {fields}".rstrip()


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)


def _targets_of(request_lines: list[Line]) -> Iterator[str]:
    for line in request_lines:
        yield from line.get("targets") or ()
        for key in ("target", "copy_at"):
            if line.get(key):
                yield line[key]
