"""Sends a request that must run at most once directly to a key's owner.

Usage: python -m examples.embedding.route_requests POOL KEY PATH IP:PORT...
"""

import sys

import result

from rhubarblead.client import exchange
from rhubarblead.client import routing


def send_request(client: routing.RoutingClient, key: str, path: str) -> int:
    """Sends one request and prints its outcome.

    Args:
        client: A client for the pool.
        key: The key that the path contains.
        path: The path.

    Returns:
        The exit code: 0 if an upstream responded, 1 otherwise.
    """
    request = exchange.Request(method="POST", path=path, key=key, body=b"{}")
    match client.send(request):
        case result.Ok(response):
            print(f"{response.status} from {response.server}")
            return 0
        case result.Err(failure):
            print(
                f"{failure.verdict.value}: {failure.explanation}; retry with"
                f" the idempotency key {failure.idempotency_key}"
            )
    return 1


def main(arguments: list[str]) -> int:
    """Runs the example."""
    pool, key, path, *nodes = arguments
    with routing.RoutingClient(pool=pool, nodes=tuple(nodes)) as client:
        return send_request(client, key, path)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
