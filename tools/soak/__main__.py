"""Plays stories of faults on real processes, one for each seed.

Usage: ./run python -m tools.soak --seeds 1:50 --seconds 20 --nodes 5
Exit code 0 means that no promise was broken and all recovered. The folder of a
story that broke one stays, with logs, records and the list of faults.
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
    """Plays stories.

    Args:
        seeds: First and last seed, as FIRST:LAST.
        seconds: How long faults come.
        nodes: Instances, each with a router and a server.
        folder: Where files go; a temporary one by default.
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
    print(f"{failed_count} stories broken")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda code: None))
