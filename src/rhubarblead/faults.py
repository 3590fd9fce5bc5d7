"""Validation errors in documents written by operators."""

import pydantic


class Fault(pydantic.BaseModel):
    """One invalid field: its path, and what was expected."""

    model_config = pydantic.ConfigDict(frozen=True)

    path: str
    expected: str


class CannotAccept(Exception):
    """A document is invalid; `faults` lists every invalid field."""

    def __init__(self, *, subject: str, faults: tuple[Fault, ...]) -> None:
        self.subject = subject
        self.faults = faults
        lines = [f"  {fault.path}: {fault.expected}" for fault in faults]
        super().__init__("\n".join([f"{subject} is not valid:", *lines]))


def list_faults(error: pydantic.ValidationError) -> tuple[Fault, ...]:
    """Converts a pydantic validation error to faults.

    Args:
        error: The pydantic error.

    Returns:
        A fault for each invalid field, in document order.
    """
    return tuple(
        Fault(
            path=".".join(str(part) for part in detail["loc"]) or "(document)",
            expected=detail["msg"],
        )
        for detail in error.errors()
    )
