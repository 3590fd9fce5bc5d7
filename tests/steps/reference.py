"""Steps for the reference pages."""

import ast
from collections.abc import Iterator
import pathlib

import behave
from behave import runner

from rhubarblead import refusal
from rhubarblead.events import catalog
from tools import reference

_SOURCE = reference.DOCS.parent / "src"


@behave.then('the reference page "{page}" is up to date')
def check_page(context: runner.Context, page: str) -> None:
    committed = (reference.DOCS / page).read_text(encoding="utf-8")
    assert (
        committed == reference.PAGES[page]()
    ), "the page is out of date: run tools.reference"


def _list_emissions(path: pathlib.Path) -> Iterator[tuple[str, set[str]]]:
    """Lists the events that a file emits, with the fields of each."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        named = ast.unparse(node.args[0])
        if named.startswith("catalog.Event."):
            fields = {word.arg for word in node.keywords if word.arg}
            yield named.rpartition(".")[2], fields


@behave.then(
    "every event emitted in the source has only fields of the catalogue"
)
def check_fields(context: runner.Context) -> None:
    faults = [
        f"{path.relative_to(_SOURCE)}: {name}: {sorted(surplus)}"
        for path in sorted(_SOURCE.rglob("*.py"))
        for name, fields in _list_emissions(path)
        if (surplus := fields - set(catalog.Event[name].value.fields))
    ]
    assert not faults, faults


@behave.then("the operators' guide lists every refusal with its status")
def check_refusals(context: runner.Context) -> None:
    guide = (reference.DOCS / "OPERATORS.md").read_text(encoding="utf-8")
    missing = [
        item.value
        for item in refusal.Refusal
        if f"| `{item.value}` | {int(refusal.find_status(item))} |" not in guide
    ]
    assert not missing, missing
