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
from tools.soak import story_run


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
    root = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        place = root / f"seed-{seed}"
        place.mkdir(parents=True)
        result = story_run.play(
            seed=seed, length_s=seconds, node_count=nodes, folder=place
        )
        print(result.describe(), flush=True)
        for finding in result.findings[:5]:
            print(f"  {finding.rule.name}: {finding.explanation}")
        if result.is_good:
            shutil.rmtree(place)
        else:
            broken += 1
            (place / "faults.txt").write_text("\n".join(result.events))
            print(f"  kept: {place.name}")
    print(f"{broken} stories broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda code: None))
