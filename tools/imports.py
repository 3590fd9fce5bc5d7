"""Checks that modules are imported, not the names inside them.

Google style asks for `from package import module`. Names may be imported only
from the modules that the style guide exempts.
"""

import ast
import importlib.util
import pathlib
import sys

EXEMPT_MODULES = frozenset(
    {"__future__", "collections.abc", "typing", "typing_extensions"}
)


def is_module(name: str) -> bool:
    """Tells whether a dotted name can be found as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def find_faults(path: pathlib.Path) -> list[str]:
    """Lists the imports in one file that name something within a module.

    Args:
        path: The Python file to read.

    Returns:
        One line of text for each fault, with file and line.
    """
    faults = []
    for statement in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(statement, ast.ImportFrom):
            continue
        if statement.level:
            faults.append(f"{path}:{statement.lineno}: relative import")
            continue
        source = statement.module or ""
        if source in EXEMPT_MODULES:
            continue
        for alias in statement.names:
            if not is_module(f"{source}.{alias.name}"):
                faults.append(
                    f"{path}:{statement.lineno}: {source}.{alias.name} is"
                    " not a module"
                )
    return faults


def main(roots: list[str]) -> int:
    """Checks every Python file below the given folders."""
    faults = []
    for root in roots:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            faults.extend(find_faults(path))
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
