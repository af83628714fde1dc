"""The ``status`` command, which shows the state of an instance."""

import argparse
import collections
from collections.abc import Iterator
from typing import Any

import msgspec

from sassafrasflow import api
from sassafrasflow.cli import client

__all__ = ["add_command", "lines_of"]


def add_command(commands: Any) -> None:
    """Add the ``status`` command to a parser."""
    parser = commands.add_parser(
        "status", help="show what an instance knows and runs"
    )
    parser.add_argument(
        "--url", required=True, help="base URL of any instance"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    text = client.send_request(args.url, "GET", "/operator/status")
    if args.json:
        print(text)
        return 0
    status = msgspec.json.decode(text, type=api.InstanceStatus)
    print("\n".join(lines_of(status)))
    return 0


def lines_of(status: api.InstanceStatus) -> Iterator[str]:
    """Yield the lines of a status in readable form."""
    condition = "ready" if status.ready else "not ready"
    if status.stopping:
        condition = "stopping"
    yield (
        f"{status.instance} in {status.data_centre} ({status.region}), "
        f"version {status.version}: {condition}"
    )
    yield _revision(status)
    yield f"instances seen: {_by_data_centre(status.peers)}"
    yield f"running generations: {status.running_generations}"
    row = "{:<20} {:<8} {:<10} {:<8} {:>7} {:>5}  {}"
    yield row.format(
        "TARGET", "KIND", "REGION", "STATE", "RUNNING", "LOAD", "SERVES"
    )
    for target in status.targets:
        yield row.format(
            target.id,
            target.kind,
            target.region,
            target.state,
            target.running_here,
            f"{target.load:.2f}",
            " ".join(target.serves),
        ).rstrip()


def _by_data_centre(peers: list[api.PeerStatus]) -> str:
    counts = collections.Counter(peer.data_centre for peer in peers)
    listed = [f"{count} in {name}" for name, count in sorted(counts.items())]
    return ", ".join(listed) or "none"


def _revision(status: api.InstanceStatus) -> str:
    if status.revision is None:
        return "no configuration is known yet"
    if status.revision_age_s is None:
        return f"revision {status.revision}, not confirmed by the platform"
    return (
        f"revision {status.revision}, confirmed by the platform "
        f"{status.revision_age_s:.1f} s ago"
    )
