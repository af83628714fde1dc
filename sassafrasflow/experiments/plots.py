"""Plot how long callers wait under each policy."""

from collections.abc import Mapping
from collections.abc import Sequence
import pathlib

from sassafrasflow import exceptions
from sassafrasflow.experiments import fleet

__all__ = ["plot_waits"]


def plot_waits(
    results: Mapping[str, Sequence[fleet.Result]], path: pathlib.Path
) -> None:
    """Draw the share of streams whose first event came within a time.

    Raises
    ------
    UsageError : the plotting library is not installed
    """
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise exceptions.UsageError(
            "plots need the extra 'plots': pip install 'sassafrasflow[plots]'"
        ) from exc
    drawing = figure.Figure(figsize=(6, 4), layout="constrained")
    axes = drawing.subplots()
    for policy, played in results.items():
        waits = sorted(wait for one in played for wait in one.first_s)
        shares = [(rank + 1) / len(waits) for rank in range(len(waits))]
        axes.step(waits, shares, where="post", label=policy)
    axes.axvline(fleet.GOAL_S, color="grey", linestyle=":")
    axes.set_xlim(0, 2 * fleet.GOAL_S)
    axes.set_xlabel("seconds to the first event")
    axes.set_ylabel("share of streams")
    axes.legend()
    drawing.savefig(path)
