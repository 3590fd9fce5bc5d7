"""The same question to all nodes."""

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
class NodeAnswer(Generic[_T]):
    """What one member's node answered."""

    member: status.MemberView
    answer: result.Result[_T, admin.Failure]


class Fleet:
    """All nodes, found through any one of them or through the platform."""

    __slots__ = ("_client", "_known", "_start")

    def __init__(
        self,
        *,
        client: admin.AdminClient,
        start: str = "",
        known: status.Members | None = None,
    ) -> None:
        """Makes a fleet.

        Args:
            client: Asks single nodes.
            start: Any node, as `ip:port`; not used with `known`.
            known: The members, when the platform was asked for them.
        """
        self._client = client
        self._start = start
        self._known = known

    def list_members(self) -> result.Result[status.Members, admin.Failure]:
        """Lists the members; asks the first node unless they are known."""
        if self._known is not None:
            return result.Ok(self._known)
        return self._client.ask(self._start, "/-/members", status.Members)

    def ask_any(
        self, path: str, kind: type[_T]
    ) -> result.Result[_T, admin.Failure]:
        """Asks the first node that answers."""
        if self._known is None:
            return self._client.ask(self._start, path, kind)
        answer: result.Result[_T, admin.Failure] = result.Err(
            admin.Unreachable(authority="any node", reason="there is none")
        )
        for member in self._known.members:
            answer = self._client.ask(format_authority(member), path, kind)
            match answer:
                case result.Err(admin.Unreachable()):
                    continue
            return answer
        return answer

    def ask_each(
        self,
        members: Sequence[status.MemberView],
        path: str,
        kind: type[_T],
    ) -> list[NodeAnswer[_T]]:
        """Asks several nodes at the same time.

        Args:
            members: Whose nodes to ask.
            path: Path and query.
            kind: The class of the answers.

        Returns:
            An answer or a failure for each member, in the same order.
        """
        if not members:
            return []
        threads = min(_MAX_THREADS, len(members))
        with futures.ThreadPoolExecutor(max_workers=threads) as executor:
            answers = executor.map(
                lambda member: self._client.ask(
                    format_authority(member), path, kind
                ),
                members,
            )
            return [
                NodeAnswer(member=member, answer=answer)
                for member, answer in zip(members, answers, strict=True)
            ]


def format_authority(member: status.MemberView) -> str:
    """Writes where a member's node answers HTTP, as `ip:port`."""
    return f"{member.ip_address}:{member.http_port}"
