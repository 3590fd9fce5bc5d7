"""Concurrent requests to all nodes."""

from collections.abc import Sequence
from concurrent import futures
import dataclasses
from typing import Generic
from typing import TypeVar

import result

from rhubarblead import status
from rhubarblead.operate import admin

_T = TypeVar("_T")

_MAX_THREADS = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeResponse(Generic[_T]):
    """The response of one member's node, or the failure."""

    member: status.MemberView
    response: result.Result[_T, admin.Failure]


class Fleet:
    """All nodes, listed by a seed node or by the platform."""

    __slots__ = ("_client", "_members", "_seed")

    def __init__(
        self,
        *,
        client: admin.AdminClient,
        seed: str = "",
        members: status.Members | None = None,
    ) -> None:
        """Initializes the fleet.

        Args:
            client: Sends requests to single nodes.
            seed: Address of any node, as `ip:port`; ignored with `members`.
            members: The members, if they were read from the platform.
        """
        self._client = client
        self._seed = seed
        self._members = members

    def list_members(self) -> result.Result[status.Members, admin.Failure]:
        """Lists the members; queries the seed node unless they are known."""
        if self._members is not None:
            return result.Ok(self._members)
        return self._client.query(self._seed, "/-/members", status.Members)

    def query_any(
        self, path: str, response_type: type[_T]
    ) -> result.Result[_T, admin.Failure]:
        """Queries the seed node, or the members in turn until one responds."""
        if self._members is None:
            return self._client.query(self._seed, path, response_type)
        response: result.Result[_T, admin.Failure] = result.Err(
            admin.Unreachable(authority="any node", reason="no members known")
        )
        for member in self._members.members:
            response = self._client.query(
                format_authority(member), path, response_type
            )
            match response:
                case result.Err(admin.Unreachable()):
                    continue
            return response
        return response

    def query_each(
        self,
        members: Sequence[status.MemberView],
        path: str,
        response_type: type[_T],
    ) -> list[NodeResponse[_T]]:
        """Queries several nodes concurrently.

        Args:
            members: The members whose nodes are queried.
            path: URL path and query string.
            response_type: The type to decode the responses as.

        Returns:
            A response or a failure for each member, in the same order.
        """
        if not members:
            return []
        threads = min(_MAX_THREADS, len(members))
        with futures.ThreadPoolExecutor(max_workers=threads) as executor:
            responses = executor.map(
                lambda member: self._client.query(
                    format_authority(member), path, response_type
                ),
                members,
            )
            return [
                NodeResponse(member=member, response=response)
                for member, response in zip(members, responses, strict=True)
            ]


def format_authority(member: status.MemberView) -> str:
    """Formats the HTTP address of a member's node, as `ip:port`."""
    return f"{member.ip_address}:{member.http_port}"
