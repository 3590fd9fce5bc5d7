"""Simulates workloads and prints what became of their requests as JSON.

Usage: ./run python -m tools.overload [NAME...] [--seeds 1,2,3] [--plot FILE]
    [--baseline]

Without names, all workloads of the catalog are simulated.
"""

from collections.abc import Sequence
import dataclasses
import json
import pathlib
from typing import Any

import fire

from tools.overload import simulation
from tools.overload import workload


def simulate(
    load: workload.Workload, seeds: Sequence[int], *, is_baseline: bool = False
) -> dict[str, Any]:
    """Simulates one workload with several seeds.

    Args:
        load: The workload.
        seeds: A seed for each run.
        is_baseline: Whether to count returning callers as new ones.

    Returns:
        The mean summary of each class, and the share that is served in time by
        second of the first run.
    """
    runs = [
        simulation.Simulation(
            load=load, seed=seed, recognizes_returns=not is_baseline
        )
        for seed in seeds
    ]
    for run in runs:
        run.run()
    return {
        "workload": load.name,
        "classes": _average([run.summarize() for run in runs]),
        "in_time_by_second": [
            round(share, 3) for share in runs[0].find_in_time_by_second()
        ],
    }


def _average(
    summaries: Sequence[Sequence[simulation.Summary]],
) -> dict[str, dict[str, float]]:
    fields = ("in_time", "late", "refused", "refused_again", "earned")
    by_class: dict[str, dict[str, float]] = {}
    for of_class in zip(*summaries, strict=True):
        by_class[of_class[0].name] = {
            field: round(
                sum(dataclasses.asdict(item)[field] for item in of_class)
                / len(of_class),
                3,
            )
            for field in fields
        }
    return by_class


def _plot(results: Sequence[dict[str, Any]], path: pathlib.Path) -> None:
    # Imported here because it takes a second to load.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for result in results:
        axes.plot(result["in_time_by_second"], label=result["workload"])
    axes.set_xlabel("second")
    axes.set_ylabel("served in time")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def main(
    *names: str,
    seeds: Sequence[int] | int = (1,),
    plot: str = "",
    baseline: bool = False,
) -> None:
    """Simulates workloads and prints the results.

    Args:
        names: Workloads; all if there are none.
        seeds: A seed for each run of a workload.
        plot: A file for a plot of the share served in time by second.
        baseline: Whether to count returning callers as new ones.

    Raises:
        workload.CannotFind: The catalog has no workload of a name.
    """
    loads = [workload.find(name) for name in names] or workload.load_catalog()
    # A single seed arrives from the command line as a number.
    seeds = (seeds,) if isinstance(seeds, int) else seeds
    results = [simulate(load, seeds, is_baseline=baseline) for load in loads]
    if plot:
        _plot(results, pathlib.Path(plot))
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    fire.Fire(main)
