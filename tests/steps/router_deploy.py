"""Steps for the deploy requirements and the boundary of the adapter."""

import pathlib
import re
import subprocess
import sys

import behave
from behave import runner

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_LIST_IMPORTS = """
import sys
import router_daemon
names = {name.partition(".")[0] for name in sys.modules}
print(*sorted(names - set(sys.stdlib_module_names) - {"__main__"}))
"""
_DISTRIBUTIONS = {
    "hdrh": "hdrhistogram",
    "pyhdrh": "hdrhistogram",
    "zmq": "pyzmq",
}
# cython_runtime belongs to compiled modules; msgspec imports
# typing_extensions if it is installed.
_OPTIONAL_MODULES = frozenset({"cython_runtime", "typing_extensions"})
_OWN_MODULES = frozenset({"rhubarblead", "router_daemon"})
_PROTOCOL_NAMES = re.compile(
    r"x-rhubarblead-|holdMs|coldRemainingMs|heartbeatAddress|revisionNumber"
    r"|rows-(tx|get|feed|parts)|targetLatencyMs|trafficSplit|listenAddresses"
    r"|internalPortRange|instances\.(heartbeat|deregister)",
    re.IGNORECASE,
)


def _read_requirements(path: str) -> dict[str, str]:
    lines = (_ROOT / path).read_text(encoding="utf-8").split()
    return {
        name: version for name, _, version in (x.partition("==") for x in lines)
    }


@behave.then(
    "every library that the daemon imports is listed in the deploy requirements"
)
def check_imports(context: runner.Context) -> None:
    del context
    done = subprocess.run(
        [sys.executable, "-S", "-c", _LIST_IMPORTS],
        env={"PYTHONPATH": f"{_ROOT / 'src'}:{_find_packages()}"},
        capture_output=True,
        text=True,
        check=True,
    )
    required = _read_requirements("deploy/requirements.txt")
    found = set(done.stdout.split()) - _OWN_MODULES - _OPTIONAL_MODULES
    missing = {
        name
        for name in found
        if _DISTRIBUTIONS.get(name, name) not in required
        and not name.startswith(("_", "sitecustomize"))
    }
    assert not missing, missing


def _find_packages() -> str:
    return next(path for path in sys.path if path.endswith("site-packages"))


@behave.then(
    "every deploy requirement is pinned to the version that the project uses"
)
def check_versions(context: runner.Context) -> None:
    del context
    project = _read_requirements("requirements.txt")
    for name, version in _read_requirements("deploy/requirements.txt").items():
        assert project.get(name) == version, name


@behave.then("no name of the platform's protocol occurs outside the adapter")
def check_names(context: runner.Context) -> None:
    del context
    adapter = _ROOT / "src/rhubarblead/platform"
    leaks = [
        f"{path.relative_to(_ROOT)}: {line.strip()}"
        for path in sorted((_ROOT / "src").rglob("*.py"))
        if not path.is_relative_to(adapter)
        for line in path.read_text(encoding="utf-8").splitlines()
        if _PROTOCOL_NAMES.search(line)
    ]
    assert not leaks, leaks
