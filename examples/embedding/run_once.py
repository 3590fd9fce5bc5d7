"""Runs each request at most once with the ledger alone.

Usage: python -m examples.embedding.run_once
"""

from collections.abc import Callable
import secrets

from rhubarblead import clock
from rhubarblead.requests import idempotency
from rhubarblead.requests import ledger

_POOL = "dispatch"
_SHARD = 3
_REMEMBER_MS = 600_000
_RANDOM_BYTES = 10


def run_once(
    request_ledger: ledger.Ledger,
    claim: ledger.Claim,
    work: Callable[[], bytes],
) -> str:
    """Runs a request unless it ran before.

    A real program replicates each entry before it continues, so that the
    entries survive the loss of this process.

    Args:
        request_ledger: The ledger.
        claim: The ledger's key and digest of the request.
        work: Runs the request and returns the response body.

    Returns:
        A description of the outcome.
    """
    match request_ledger.begin(claim=claim, wall_ms=clock.read_wall_ms()):
        case ledger.Run():
            body = work()
            request_ledger.finish(
                claim=claim, status=200, headers=(), body=body
            )
            return f"ran: {body.decode()}"
        case ledger.Replay(entry=entry):
            return f"ran before: {entry.body.decode()}"
        case ledger.Refuse(refused=refused, verdict=verdict):
            return f"refused, {verdict.value}: {refused.refusal.value}"


def run() -> list[str]:
    """Sends a request twice, then reuses its key for another request.

    Returns:
        One line for each request.
    """
    request_ledger = ledger.Ledger(capacity=1_000)
    request_ledger.adopt(
        pool=_POOL, shards=(_SHARD,), entries=(), lost_before_ms=0
    )
    key = idempotency.make_key(
        random=secrets.token_bytes(_RANDOM_BYTES), wall_ms=clock.read_wall_ms()
    )
    return [
        run_once(
            request_ledger, make_claim(key, digest), lambda: b"drop confirmed"
        )
        for digest in (1, 1, 2)
    ]


def make_claim(key: str, digest: int) -> ledger.Claim:
    """Creates a claim; `digest` distinguishes requests with the same key."""
    return ledger.Claim(
        pool=_POOL,
        shard=_SHARD,
        idempotency_key=key,
        digest=digest,
        remember_ms=_REMEMBER_MS,
    )


if __name__ == "__main__":
    print("\n".join(run()))
