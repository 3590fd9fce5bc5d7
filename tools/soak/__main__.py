"""Runs soak tests with random faults on real processes, one for each seed.

Usage: ./run python -m tools.soak --seeds 1:50 --seconds 20 --nodes 5
The exit code is 0 if no run violated a guarantee and all runs recovered. The
folder of a failed run is kept, with its logs, records and injected faults.
"""

import pathlib
import shutil
import sys
import tempfile

import fire

from tools import processes
from tools.soak import soak_run


def main(
    seeds: str = "1:3", seconds: float = 15.0, nodes: int = 5, folder: str = ""
) -> int:
    """Runs a soak test for each seed.

    Args:
        seeds: First and last seed, as FIRST:LAST.
        seconds: How long each run injects faults, in seconds.
        nodes: Number of instances, each with a router and a server.
        folder: Output folder; a temporary one by default.
    """
    processes.raise_on_sigterm()
    first, _, last = seeds.partition(":")
    output_folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    failed_count = 0
    for seed in range(int(first), int(last or first) + 1):
        run_folder = output_folder / f"seed-{seed}"
        run_folder.mkdir(parents=True)
        result = soak_run.run_soak(
            seed=seed, duration_s=seconds, node_count=nodes, folder=run_folder
        )
        print(result.describe(), flush=True)
        for finding in result.findings[:5]:
            print(f"  {finding.rule.name}: {finding.explanation}")
        if result.has_passed:
            shutil.rmtree(run_folder)
        else:
            failed_count += 1
            (run_folder / "faults.txt").write_text("\n".join(result.events))
            print(f"  kept: {run_folder.name}")
    print(f"{failed_count} runs failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda code: None))
