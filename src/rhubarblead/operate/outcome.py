"""Output and exit code of a command."""

from collections.abc import Callable
import dataclasses
import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    OK = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    IN_DOUBT = 5
    LAGGING = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Output and exit code of a command.

    `text` is printed to stdout and each of `diagnostics` to stderr.
    """

    text: str = ""
    exit_code: ExitCode = ExitCode.OK
    diagnostics: tuple[str, ...] = ()


def reject_input(*diagnostics: str) -> Outcome:
    """Makes the outcome of a command with invalid input."""
    return Outcome(exit_code=ExitCode.BAD_INPUT, diagnostics=diagnostics)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeferredCommand:
    """A command that was parsed but not run yet.

    It runs only after the whole command line has been parsed, so that an
    invalid one runs nothing. The field is private because fire offers public
    ones as subcommands.
    """

    _run: Callable[[], Outcome | int]


def run_command(command: DeferredCommand) -> Outcome | int:
    """Runs a command and returns its outcome or exit code."""
    return command._run()


def defer(run: Callable[[], Outcome | int]) -> DeferredCommand:
    """Wraps a function as a command to run later."""
    return DeferredCommand(_run=run)
