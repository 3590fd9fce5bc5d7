"""The verdict on a request: whether it may have run at an upstream."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of one request.

    Without an idempotency check, the system may only retry a request with
    `NOT_RUN`. Each value is sent to the caller in a response header.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def is_safe_to_repeat(self) -> bool:
        """Whether the request certainly did not run."""
        return self is Verdict.NOT_RUN


def join_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combines the verdicts of two attempts of the same request.

    Args:
        first: Verdict of one attempt.
        second: Verdict of another attempt.

    Returns:
        `NOT_RUN` only if neither attempt ran, `RAN` if either certainly ran,
        `MAY_HAVE_RUN` otherwise.
    """
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
