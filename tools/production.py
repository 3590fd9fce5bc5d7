"""Writes the samples of the production version, which tests compare.

python -m tools.production SOURCES COMMIT
"""

import json
import os
import pathlib
import subprocess
import sys

import fire

_ROOT = pathlib.Path(__file__).resolve().parent.parent
SAMPLES = _ROOT / "tests" / "golden" / "production.json"


def run_golden(sources: str, task: str, content: str = "") -> str:
    """Runs a task of `tools.golden` with the sources of some version.

    Args:
        sources: The folder that holds the package.
        task: `write` or `decode`.
        content: What the task reads.

    Returns:
        What it prints.
    """
    done = subprocess.run(
        [sys.executable, str(_ROOT / "tools" / "golden.py"), task],
        input=content,
        env={**os.environ, "PYTHONPATH": sources},
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout


def write(sources: str, commit: str) -> int:
    """Writes the samples, and what that version makes of them.

    Args:
        sources: The folder with the package of the production version.
        commit: Its commit, as `deploy/system.toml` names it.
    """
    samples = run_golden(sources, "write")
    content = {
        "commit": commit,
        "samples": json.loads(samples),
        "described": json.loads(run_golden(sources, "decode", samples)),
    }
    SAMPLES.parent.mkdir(exist_ok=True)
    SAMPLES.write_text(
        json.dumps(content, indent=1, sort_keys=True) + "\n", encoding="utf-8"
    )
    return 0


if __name__ == "__main__":
    fire.Fire(write)
