"""Steps for the embedding examples."""

import contextlib
import io
import pathlib
import runpy

import behave
from behave import runner

_PAGE = pathlib.Path("docs/EMBEDDING.md")


@behave.when('the embedding example "{example}" is run')
def run(context: runner.Context, example: str) -> None:
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        runpy.run_module(f"examples.embedding.{example}", run_name="__main__")
    context.example_lines = printed.getvalue().splitlines()


@behave.then('the embedding example\'s last line is "{line}"')
def check(context: runner.Context, line: str) -> None:
    assert context.example_lines[-1] == line, context.example_lines


@behave.then('the embedding page refers to the example "{example}"')
def check_page(context: runner.Context, example: str) -> None:
    text = _PAGE.read_text(encoding="utf-8")
    assert f"examples/embedding/{example}.py" in text
