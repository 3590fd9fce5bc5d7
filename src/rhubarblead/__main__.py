"""Entry point of the `rhubarblead` program."""

import sys

import fire

from rhubarblead import cli
from rhubarblead.operate import outcome


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: The command-line arguments without the program name; None
            takes them from `sys.argv`.

    Returns:
        The process exit code.
    """
    value = fire.Fire(
        cli.Commands(),
        command=arguments,
        name="rhubarblead",
        serialize=_hide_outcome,
    )
    if isinstance(value, outcome.DeferredCommand):
        value = outcome.run_command(value)
    match value:
        case outcome.Outcome():
            return _report(value)
        case int():
            return value
    return outcome.ExitCode.OK


def _report(value: outcome.Outcome) -> int:
    if value.text:
        print(value.text)
    for diagnostic in value.diagnostics:
        print(diagnostic, file=sys.stderr)
    return value.exit_code


def _hide_outcome(value: object) -> object:
    match value:
        case outcome.DeferredCommand() | outcome.Outcome() | int():
            return None
    return value


if __name__ == "__main__":
    sys.exit(main())
