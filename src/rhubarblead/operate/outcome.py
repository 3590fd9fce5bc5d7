"""The outcome of a command, for people and for scripts."""

from collections.abc import Callable
import dataclasses
import enum


class ExitCode(enum.IntEnum):
    """What the exit code of the program tells a script."""

    OK = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    IN_DOUBT = 5
    LAGGING = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a command prints, and the exit code.

    `text` goes to stdout, each of `diagnostics` to stderr.
    """

    text: str = ""
    exit_code: ExitCode = ExitCode.OK
    diagnostics: tuple[str, ...] = ()


def reject_input(*diagnostics: str) -> Outcome:
    """Makes the outcome of a command that was called wrongly."""
    return Outcome(exit_code=ExitCode.BAD_INPUT, diagnostics=diagnostics)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeferredCommand:
    """A command that was read from the command line, and not run yet.

    It runs only once the whole command line has been understood. The field is
    private because the command line would offer public ones as subcommands.
    """

    _run: Callable[[], Outcome | int]


def run_command(command: DeferredCommand) -> Outcome | int:
    """Runs a command; returns its outcome or exit code."""
    return command._run()


def defer(run: Callable[[], Outcome | int]) -> DeferredCommand:
    """Makes a command out of what is to be run."""
    return DeferredCommand(_run=run)
