"""Steps for the page of guarantees, docs/PROMISES.md."""

import pathlib
import re

import behave
from behave import runner

_ROOT = pathlib.Path(__file__).resolve().parents[2]


@behave.then("every test that the guarantees page names exists")
def check_tests(context: runner.Context) -> None:
    text = (_ROOT / "docs/PROMISES.md").read_text(encoding="utf-8")
    named = re.findall(r"`([a-z_/.]+\.(?:feature|py))`", text)
    places = (_ROOT, _ROOT / "tests/rhubarblead")
    missing = [
        name for name in named if not any((p / name).exists() for p in places)
    ]
    assert named and not missing, missing
