"""Relays calls to the store through another node.

The store may reject some nodes while it serves others. Through the relay, the
rejected nodes still renew their leases and hand over the keys they release.
"""

import asyncio
from collections.abc import Callable
import random

from rhubarblead.platform import store
from rhubarblead.router import directory
from rhubarblead.router import event_log
from rhubarblead.router import http_client
from rhubarblead.router import peers
from rhubarblead.router import store_client
from rhubarblead.router import tasks
from rhubarblead.router import wire

REPLY_TIMEOUT_S = 0.9
"""Includes the other node's call to the store and the round trip to it."""

MAX_CONCURRENT_CALLS = 8
"""Limit for calls on behalf of other nodes, which bounds their delay."""


class Relay:
    """Sends calls through other nodes and makes calls on their behalf."""

    __slots__ = (
        "_directory",
        "_events",
        "_links",
        "_loop",
        "_next_number",
        "_random",
        "_replies",
        "_running",
        "_store",
    )

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        cluster_directory: directory.Directory,
        links: peers.Links,
        events: event_log.EventLog,
        random_source: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = client
        self._directory = cluster_directory
        self._links = links
        self._events = events
        self._random = random_source
        self._next_number = 0
        self._running: set[asyncio.Task[None]] = set()
        self._replies: dict[int, asyncio.Future[wire.StoreReply]] = {}

    async def call(self, call: store.Call) -> http_client.Result:
        """Calls the store through another node.

        Args:
            call: The call, which may be executed more than once.

        Returns:
            The store's response, or the failure to get one.
        """
        candidates = [
            state.node_id
            for state in self._directory.list_states()
            if state.load.has_store and not state.is_stopping
        ]
        if not candidates:
            return http_client.NoResponse(
                failure=http_client.Failure.CONNECT, is_sent=False
            )
        self._next_number += 1
        number = self._next_number
        future: asyncio.Future[wire.StoreReply] = self._loop.create_future()
        self._replies[number] = future
        message = wire.StoreCall(
            number=number,
            method=call.method,
            target=call.target,
            body=call.body,
        )
        try:
            if not self._links.send(self._random.choice(candidates), message):
                return http_client.NoResponse(
                    failure=http_client.Failure.CONNECT, is_sent=False
                )
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return _decode(await future)
        except TimeoutError:
            return http_client.NoResponse(
                failure=http_client.Failure.CLOSED, is_sent=True
            )
        finally:
            del self._replies[number]

    def handle_reply(self, reply: wire.StoreReply) -> None:
        """Handles the result of a call that another node has made."""
        future = self._replies.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    def handle_call(
        self, message: wire.StoreCall, reply: Callable[[wire.Message], None]
    ) -> None:
        """Calls the store on behalf of another node."""
        if len(self._running) >= MAX_CONCURRENT_CALLS:
            reply(
                wire.StoreReply(
                    number=message.number, status=0, is_sent=False, body=b""
                )
            )
            return
        task = tasks.start(
            self._call_store(message, reply), name="relay", events=self._events
        )
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _call_store(
        self, message: wire.StoreCall, reply: Callable[[wire.Message], None]
    ) -> None:
        call = store.Call(
            method=message.method, target=message.target, body=message.body
        )
        result = await self._store.call_for_peer(call)
        match result:
            case http_client.Response():
                store_reply = wire.StoreReply(
                    number=message.number,
                    status=result.status,
                    is_sent=True,
                    body=result.body,
                    era=store.read_era(result.fields),
                )
            case _:
                store_reply = wire.StoreReply(
                    number=message.number,
                    status=0,
                    is_sent=result.is_sent,
                    body=b"",
                )
        reply(store_reply)


def _decode(reply: wire.StoreReply) -> http_client.Result:
    if reply.status:
        return http_client.Response(
            status=reply.status,
            reason=b"",
            fields=store.encode_era(reply.era),
            body=reply.body,
        )
    return http_client.NoResponse(
        failure=http_client.Failure.CLOSED, is_sent=reply.is_sent
    )
