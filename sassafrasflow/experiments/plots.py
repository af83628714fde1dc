"""Plots of waits and unwanted requests under each policy."""

from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
import typing

from sassafrasflow import exceptions
from sassafrasflow.experiments import fleet

if typing.TYPE_CHECKING:
    from matplotlib import figure

__all__ = ["plot_unwanted", "plot_waits"]


def plot_waits(
    results: Mapping[str, Sequence[fleet.Result]], path: pathlib.Path
) -> None:
    """Plot the cumulative share of streams by the time to the first event.

    Raises
    ------
    UsageError : the plotting library is not installed
    """
    plot = _new_figure(4)
    axes = plot.subplots()
    for policy, policy_results in results.items():
        waits = sorted(wait for one in policy_results for wait in one.first_s)
        shares = [(rank + 1) / len(waits) for rank in range(len(waits))]
        axes.step(waits, shares, where="post", label=policy)
    axes.axvline(fleet.FIRST_EVENT_GOAL_S, color="grey", linestyle=":")
    axes.set_xlim(0, 2 * fleet.FIRST_EVENT_GOAL_S)
    axes.set_xlabel("seconds to the first event")
    axes.set_ylabel("share of streams")
    axes.legend()
    plot.savefig(path)


def plot_unwanted(
    results: Mapping[str, Sequence[fleet.Result]], path: pathlib.Path
) -> None:
    """Plot unwanted requests and goodput by second.

    Raises
    ------
    UsageError : the plotting library is not installed
    """
    plot = _new_figure(6)
    upper, lower = plot.subplots(2, sharex=True)
    for policy, policy_results in results.items():
        for axes, series in (
            (upper, [one.unwanted_by_second for one in policy_results]),
            (lower, [one.ended_by_second for one in policy_results]),
        ):
            means = [
                sum(each) / len(series) for each in zip(*series, strict=True)
            ]
            axes.step(range(len(means)), means, where="post", label=policy)
    upper.set_ylabel("unwanted requests a second")
    lower.set_ylabel("streams ended on time a second")
    lower.set_xlabel("seconds")
    upper.legend()
    plot.savefig(path)


def _new_figure(height: float) -> "figure.Figure":
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise exceptions.UsageError(
            "plots need the extra 'plots': pip install 'sassafrasflow[plots]'"
        ) from exc
    return figure.Figure(figsize=(6, height), layout="constrained")
