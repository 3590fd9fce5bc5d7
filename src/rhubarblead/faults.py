"""Faults found in what people wrote: settings and tables."""

import pydantic


class Fault(pydantic.BaseModel):
    """One wrong field: where it stands, and what was expected there."""

    model_config = pydantic.ConfigDict(frozen=True)

    path: str
    expected: str


class CannotAccept(Exception):
    """A document was refused; `faults` names every wrong field."""

    def __init__(self, *, subject: str, faults: tuple[Fault, ...]) -> None:
        self.subject = subject
        self.faults = faults
        lines = [f"  {fault.path}: {fault.expected}" for fault in faults]
        super().__init__("\n".join([f"{subject} is not valid:", *lines]))


def list_faults(error: pydantic.ValidationError) -> tuple[Fault, ...]:
    """Lists the faults that one validation found.

    Args:
        error: What pydantic raised.

    Returns:
        A fault for each wrong field, in the order of the document.
    """
    return tuple(
        Fault(
            path=".".join(str(part) for part in detail["loc"]) or "(document)",
            expected=detail["msg"],
        )
        for detail in error.errors()
    )
