#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15: review/lib3/world.py and each case.py.
# They use Python's standard library only, so that building is a check that
# this Python reads them, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path("review").glob("lib3/*.py")) + sorted(
    pathlib.Path("review").glob("1[1-5]/*.py")
):
    ast.parse(path.read_text(), filename=str(path))
PY
test -d target/deps || { echo "target/deps is missing: run the build of deploy/system.toml first" >&2; exit 1; }
