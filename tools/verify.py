"""Runs the behave tests and prints a machine-readable summary line.

Scenarios listed in KNOWN-RED.txt run too; their failures are printed but don't
fail the run.
"""

import collections
from collections.abc import Iterator
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import textwrap
from typing import Any

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_FAILURES = _ROOT / "KNOWN-RED.txt"
_PASSED = "passed"
_MAX_ERROR_CHARACTERS = 2_000
_SCENARIO = re.compile(r"^ *(?:Scenario|Feature)\b", re.MULTILINE)


def read_known_failures(path: pathlib.Path) -> frozenset[str]:
    """Reads the names of scenarios that are known to fail.

    Args:
        path: A file whose entries each begin with a line `test: NAME`.

    Returns:
        The scenario names; empty if there is no file.
    """
    if not path.exists():
        return frozenset()
    marker = "test:"
    return frozenset(
        line.removeprefix(marker).strip()
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.startswith(marker)
    )


def list_results(
    report: list[dict[str, Any]],
) -> Iterator[tuple[str, str, str]]:
    """Lists the scenarios in behave's JSON report.

    Yields:
        The name, the status and the error of each scenario.
    """
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                yield element["name"], element["status"], find_error(element)


def find_error(element: dict[str, Any]) -> str:
    """Finds the error message of a scenario's failed step, empty if none."""
    for step in element.get("steps", ()):
        message = step.get("result", {}).get("error_message")
        if message:
            lines = message if isinstance(message, list) else [message]
            return "\n".join(lines)[:_MAX_ERROR_CHARACTERS]
    return ""


def run_behave(
    arguments: list[str],
) -> tuple[int, list[dict[str, Any]], str]:
    """Runs behave.

    Args:
        arguments: Additional command-line arguments for behave.

    Returns:
        The exit code, the JSON report and the plain report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        plain = pathlib.Path(folder) / "plain.txt"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--format=json",
            f"--outfile={report}",
            "--format=plain",
            f"--outfile={plain}",
            "--format=progress",
            *(arguments or ["tests"]),
        ]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        code = subprocess.run(
            command, cwd=_ROOT, env=environment, check=False
        ).returncode
        if not report.exists():
            return code, [], ""
        return (
            code,
            json.loads(report.read_text(encoding="utf-8")),
            plain.read_text(encoding="utf-8"),
        )


def find_details(plain: str, name: str) -> str:
    """Finds the steps of a scenario, with the traceback of one that raised.

    The JSON report has the errors of failed assertions only.

    Args:
        plain: Behave's plain report.
        name: The scenario.
    """
    _, found, rest = plain.partition(f": {name}\n")
    if not found:
        return ""
    block = _SCENARIO.split(rest, maxsplit=1)[0]
    return textwrap.dedent(block).strip()[-_MAX_ERROR_CHARACTERS:]


def count_results(
    report: list[dict[str, Any]], known_failures: frozenset[str], plain: str
) -> collections.Counter[str]:
    """Counts scenarios by result and prints those that did not pass.

    Args:
        report: Behave's JSON report.
        known_failures: Scenarios whose failures are not counted as failed.
        plain: Behave's plain report.

    Returns:
        Counts under "passed", "failed" and "known".
    """
    counts: collections.Counter[str] = collections.Counter()
    for name, status, error in list_results(report):
        if status == _PASSED:
            counts["passed"] += 1
            continue
        is_known = (
            name.partition(" -- ")[0] in known_failures
            or name in known_failures
        )
        kind = "known" if is_known else "failed"
        print(f"{kind}: {name} ({status})")
        if details := error or find_details(plain, name):
            print(textwrap.indent(details, "  "))
        counts[kind] += 1
    return counts


def main(arguments: list[str]) -> int:
    """Runs the tests; returns 0 if all failures are known ones."""
    code, report, plain = run_behave(arguments)
    counts = count_results(report, read_known_failures(_KNOWN_FAILURES), plain)
    is_accounted_for = code == 0 or counts["known"] or counts["failed"]
    if not report or not is_accounted_for:
        print(f"behave did not complete (exit code {code})")
        counts["failed"] += 1
    print(f"{counts['passed']} passed, {counts['failed']} failed")
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
