"""Entry point of the `rhubarblead` program."""

import sys

import fire

from rhubarblead import cli
from rhubarblead.operate import outcome


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: The words after the program's name; None for those of this
            process.

    Returns:
        The exit code.
    """
    found = fire.Fire(
        cli.Commands(),
        command=arguments,
        name="rhubarblead",
        serialize=_hide_outcome,
    )
    if isinstance(found, outcome.Command):
        found = outcome.run_command(found)
    match found:
        case outcome.Outcome():
            return _report(found)
        case int():
            return found
    return outcome.ExitCode.OK


def _report(found: outcome.Outcome) -> int:
    if found.text:
        print(found.text)
    for complaint in found.complaints:
        print(complaint, file=sys.stderr)
    return found.exit_code


def _hide_outcome(found: object) -> object:
    match found:
        case outcome.Command() | outcome.Outcome() | int():
            return None
    return found


if __name__ == "__main__":
    sys.exit(main())
