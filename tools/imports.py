"""Checks that imports name modules, not members of modules.

The Google style guide requires `from package import module`. Members may be
imported only from the modules that the guide exempts.
"""

import ast
import importlib.util
import pathlib
import sys

EXEMPT_MODULES = frozenset(
    {"__future__", "collections.abc", "typing", "typing_extensions"}
)


def is_module(name: str) -> bool:
    """Returns whether a dotted name is an importable module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def find_violations(path: pathlib.Path) -> list[str]:
    """Lists the imports in a file that name a member of a module.

    Args:
        path: The Python file to read.

    Returns:
        One line of text per violation, with file and line number.
    """
    violations = []
    for statement in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(statement, ast.ImportFrom):
            continue
        if statement.level:
            violations.append(f"{path}:{statement.lineno}: relative import")
            continue
        source = statement.module or ""
        if source in EXEMPT_MODULES:
            continue
        for alias in statement.names:
            if not is_module(f"{source}.{alias.name}"):
                violations.append(
                    f"{path}:{statement.lineno}: {source}.{alias.name} is"
                    " not a module"
                )
    return violations


def main(roots: list[str]) -> int:
    """Checks all Python files below the folders; returns 1 on violations."""
    violations = []
    for root in roots:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            violations.extend(find_violations(path))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
