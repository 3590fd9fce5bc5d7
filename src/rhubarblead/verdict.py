"""The verdict on a request: whether it may have run at an upstream."""

import enum


class Verdict(enum.Enum):
    """What is known of the execution of one request.

    Only a request with `NOT_RUN` may be sent again by the system without an
    idempotency check. The values are what callers see in the response header.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def is_safe_to_repeat(self) -> bool:
        """Tells whether the request certainly did not run."""
        return self is Verdict.NOT_RUN


def join_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combines the verdicts on two tries of the same request.

    Args:
        first: Verdict of one try.
        second: Verdict of another try.

    Returns:
        `NOT_RUN` only when neither try ran, `RAN` when one of them certainly
        did, `MAY_HAVE_RUN` otherwise.
    """
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
