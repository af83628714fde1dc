"""The ``experiment`` command, which simulates placement policies."""

import argparse
import pathlib
import sys
import typing

import msgspec

if typing.TYPE_CHECKING:
    from sassafrasflow.experiments import fleet

__all__ = ["add_command"]

# Simulated deployments: numbers of engines, instances and data centres, and
# streams per second.
SIZES = {
    "northstar": (18, 8, 3, 4.7),
    "zancos": (12, 9, 3, 3.1),
    "northstar-grown": (56, 76, 6, 14.5),
    "zancos-grown": (48, 79, 6, 12.4),
    "northstar-large": (59, 195, 6, 15.3),
    "target": (4000, 1500, 9, 1320.0),
}


def add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the ``experiment`` command to a parser."""
    parser = commands.add_parser(
        "experiment",
        help="play placements against a model of the engines",
        description="Prints one JSON object for each policy and seed.",
    )
    parser.add_argument("--size", choices=sorted(SIZES), default="northstar")
    parser.add_argument(
        "--policy",
        action="append",
        help="a placement to play; may be given again (all of them)",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument(
        "--load", type=float, default=1.0, help="times the usual streams"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--herd-at", type=float, help="when most instances die"
    )
    parser.add_argument(
        "--restart-at", type=float, help="when a data centre's engines crash"
    )
    parser.add_argument(
        "--pause",
        type=float,
        help="seconds that each third of the engines turns away in turn",
    )
    parser.add_argument(
        "--leave-at", type=float, help="when a third of the engines leaves"
    )
    parser.add_argument(
        "--plot-unwanted",
        type=pathlib.Path,
        help="file for a plot of requests that engines did not want",
    )
    parser.add_argument(
        "--plot", type=pathlib.Path, help="file for a plot (SVG, PNG, PDF)"
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    from sassafrasflow import exceptions
    from sassafrasflow.experiments import fleet
    from sassafrasflow.experiments import plots
    from sassafrasflow.experiments import policies

    names = args.policy or sorted(policies.POLICIES)
    for name in names:
        if name not in policies.POLICIES:
            valid = ", ".join(sorted(policies.POLICIES))
            raise exceptions.UsageError(f"no policy {name!r}; known: {valid}")
    figures = _figures(args)
    results: dict[str, list[fleet.Result]] = {}
    for name in names:
        for seed in range(args.seed, args.seed + args.seeds):
            result = fleet.simulate(figures, policies.POLICIES[name], seed)
            results.setdefault(name, []).append(result)
            _print(name, seed, result)
    if args.plot is not None:
        plots.plot_waits(results, args.plot)
    if args.plot_unwanted is not None:
        plots.plot_unwanted(results, args.plot_unwanted)
    return 0


def _figures(args: argparse.Namespace) -> "fleet.FleetFigures":
    from sassafrasflow.experiments import announcements
    from sassafrasflow.experiments import fleet

    engines, instances, regions, rate = SIZES[args.size]
    return fleet.FleetFigures(
        engines=engines,
        instances=instances,
        regions=regions,
        streams_per_s=rate * args.load,
        duration_s=args.seconds,
        herd_at=args.herd_at,
        restart_at=args.restart_at,
        announced=announcements.AnnouncementFigures(args.pause, args.leave_at),
    )


def _print(policy: str, seed: int, result: "fleet.Result") -> None:
    fields = msgspec.structs.asdict(result)
    for series in ("first_s", "unwanted_by_second", "ended_by_second"):
        del fields[series]
    line = msgspec.json.encode({"policy": policy, "seed": seed, **fields})
    sys.stdout.write(line.decode() + "\n")
