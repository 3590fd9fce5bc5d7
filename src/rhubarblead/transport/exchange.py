"""The task that sends and serves calls between nodes on the data path."""

import collections
from collections.abc import Callable
from concurrent import futures
import dataclasses
from typing import TypeAlias

import msgspec
import xxhash
import zmq

from rhubarblead import clock
from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.transport import calls
from rhubarblead.transport import links
from rhubarblead.transport import wakeup

_POLL_MS = 50
_CACHED_REPLIES_MAX = 1024
_CACHED_ANSWER_BYTES_MAX = 2**14

CallMessage: TypeAlias = (
    messages.Forward | messages.LedgerWrite | messages.LedgerRead
)
ResponseMessage: TypeAlias = messages.Response | messages.LedgerResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A peer's answer to a call, with its body."""

    message: ResponseMessage
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoReply:
    """A call that ended without an answer.

    `is_sent` is set if the peer may have received it.
    """

    is_sent: bool


Outcome: TypeAlias = Reply | NoReply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Outgoing:
    address: links.Address
    message: CallMessage
    body: bytes
    deadline_ms: int
    future: futures.Future[Outcome]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Completed:
    sender: bytes
    call_id: str
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PeerRemoved:
    address: links.Address


class _Stop:
    pass


Serve: TypeAlias = Callable[[CallMessage, bytes], Reply]
Refuse: TypeAlias = Callable[[messages.Forward], Reply]


class PeerExchange:
    """Sends calls to peers, and serves their calls on an executor.

    If too many calls are in progress, further ones are refused at once, as
    they would only wait for a thread. `run` is the task; all other methods are
    safe to call from any thread.
    """

    __slots__ = (
        "_reply_cache",
        "_calls",
        "_executor",
        "_inbox",
        "_is_stopped",
        "_links",
        "_outgoing",
        "_refuse",
        "_report_reset",
        "_running",
        "_running_limit",
        "_serve",
    )

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        identity: str,
        limits: settings.Limits,
        executor: futures.Executor,
        serve: Serve,
        refuse: Refuse,
        report_reset: Callable[[links.Address], None],
    ) -> None:
        self._inbox: wakeup.Inbox[
            _Outgoing | _Completed | _PeerRemoved | _Stop
        ] = wakeup.Inbox()
        self._links = links.Links(context=context, identity=identity)
        self._calls = calls.CallTable(ack_timeout_ms=limits.ack_timeout_ms)
        self._executor = executor
        self._serve = serve
        self._refuse = refuse
        self._report_reset = report_reset
        self._running_limit = limits.peer_threads + limits.queue_length
        self._is_stopped = False
        self._outgoing: dict[str, _Outgoing] = {}
        self._running: dict[str, bytes] = {}
        self._reply_cache: collections.OrderedDict[str, list[bytes]] = (
            collections.OrderedDict()
        )

    def call(
        self,
        *,
        address: links.Address,
        message: CallMessage,
        body: bytes,
        deadline_ms: int,
    ) -> futures.Future[Outcome]:
        """Calls a peer.

        Args:
            address: The peer's data address.
            message: The call.
            body: The body that goes with it.
            deadline_ms: When to give up, on the monotonic clock.

        Returns:
            A future that always receives an outcome, by the deadline.
        """
        future: futures.Future[Outcome] = futures.Future()
        if self._is_stopped:
            future.set_result(NoReply(is_sent=False))
            return future
        self._inbox.put(
            _Outgoing(
                address=address,
                message=message,
                body=body,
                deadline_ms=deadline_ms,
                future=future,
            )
        )
        return future

    def drop_peer(self, address: links.Address) -> None:
        """Ends the calls to a peer that is no longer a member."""
        self._inbox.put(_PeerRemoved(address=address))

    def stop(self) -> None:
        """Makes `run` return."""
        self._inbox.put(_Stop())

    def listen(self, address: links.Address) -> None:
        """Binds the data address; must be called before `run`."""
        self._links.listen(address)

    def run(self) -> None:
        """Runs the task until it is stopped."""
        self._inbox.register(self._links.poller)
        with self._links:
            while self._step():
                pass
        self._is_stopped = True
        self._end_pending()
        self._inbox.close()

    def _step(self) -> bool:
        timeout_ms = _POLL_MS if self._outgoing else None
        ready = dict(self._links.poller.poll(timeout_ms))
        now_ms = clock.read_monotonic_ms()
        incoming, replies = self._links.receive(ready)
        for received in incoming:
            self._handle_call(received)
        for address, frames in replies:
            self._handle_reply(address, frames, now_ms)
        for item in self._inbox.take_all():
            if isinstance(item, _Stop):
                return False
            self._handle_item(item, now_ms)
        if self._outgoing:
            self._tick(now_ms)
        return True

    def _handle_item(
        self, item: _Outgoing | _Completed | _PeerRemoved, now_ms: int
    ) -> None:
        match item:
            case _Outgoing():
                self._start(item, now_ms)
            case _Completed():
                self._running.pop(item.call_id, None)
                self._send_reply(item.sender, item.call_id, item.reply)
            case _PeerRemoved(address=address):
                self._links.reset(address)
                self._give_up(self._calls.drop_peer(address))

    def _start(self, item: _Outgoing, now_ms: int) -> None:
        call_id = item.message.call_id
        if not self._send(item):
            item.future.set_result(NoReply(is_sent=False))
            return
        self._outgoing[call_id] = item
        call = calls.Call(
            call_id=call_id,
            address=item.address,
            deadline_ms=item.deadline_ms,
        )
        self._calls.start(call=call, now_ms=now_ms)

    def _send(self, item: _Outgoing) -> bool:
        frames = [messages.encode(item.message), item.body]
        return self._links.send(item.address, frames)

    def _tick(self, now_ms: int) -> None:
        resends, given_up = self._calls.tick(now_ms)
        self._give_up(given_up)
        for resend in resends:
            self._links.reset(resend.address)
            self._report_reset(resend.address)
            for call_id in resend.call_ids:
                self._send(self._outgoing[call_id])

    def _give_up(self, given_up: list[calls.GiveUp]) -> None:
        for ended in given_up:
            item = self._outgoing.pop(ended.call_id)
            item.future.set_result(NoReply(is_sent=ended.is_sent))

    def _handle_reply(
        self, address: links.Address, frames: list[bytes], now_ms: int
    ) -> None:
        try:
            message = messages.decode(frames[0])
        except (msgspec.DecodeError, IndexError):
            return
        match message:
            case messages.Ack(call_id=call_id):
                self._calls.record_ack(
                    call_id=call_id, address=address, now_ms=now_ms
                )
            case messages.Response() | messages.LedgerResponse():
                body = frames[1] if len(frames) > 1 else b""
                self._complete(address, message, body, now_ms)
            case _:
                return

    def _complete(
        self,
        address: links.Address,
        message: ResponseMessage,
        body: bytes,
        now_ms: int,
    ) -> None:
        if not has_valid_body(message, body):
            # The call stays in progress, so it is sent and answered again.
            return
        call_id = message.call_id
        if not self._calls.complete(
            call_id=call_id, address=address, now_ms=now_ms
        ):
            return
        item = self._outgoing.pop(call_id)
        item.future.set_result(Reply(message=message, body=body))

    def _handle_call(self, received: links.Received) -> None:
        try:
            message = messages.decode(received.frames[0])
        except (msgspec.DecodeError, IndexError):
            return
        body = received.frames[1] if len(received.frames) > 1 else b""
        match message:
            case messages.Forward():
                if has_valid_body(message, body):
                    self._run_once(received.sender, message, body)
            case messages.LedgerWrite() | messages.LedgerRead():
                reply = self._serve(message, body)
                frames = [messages.encode(reply.message), reply.body]
                self._links.reply(received.sender, frames)
            case _:
                return

    def _run_once(
        self, sender: bytes, message: messages.Forward, body: bytes
    ) -> None:
        call_id = message.call_id
        cached_reply = self._reply_cache.get(call_id)
        if cached_reply is not None:
            self._links.reply(sender, cached_reply)
            return
        ack = messages.Ack(call_id=call_id)
        self._links.reply(sender, [messages.encode(ack)])
        if call_id in self._running:
            self._running[call_id] = sender
            return
        if len(self._running) >= self._running_limit:
            reply = self._refuse(message)
            self._send_reply(sender, call_id, reply)
            return
        self._running[call_id] = sender
        self._executor.submit(self._run_call, sender, message, body)

    def _run_call(
        self, sender: bytes, message: messages.Forward, body: bytes
    ) -> None:
        reply = self._serve(message, body)
        self._inbox.put(
            _Completed(
                sender=sender,
                call_id=message.call_id,
                reply=reply,
            )
        )

    def _send_reply(self, sender: bytes, call_id: str, reply: Reply) -> None:
        frames = [messages.encode(reply.message), reply.body]
        self._cache_reply(call_id, frames)
        self._links.reply(sender, frames)

    def _cache_reply(self, call_id: str, frames: list[bytes]) -> None:
        if sum(len(frame) for frame in frames) > _CACHED_ANSWER_BYTES_MAX:
            return
        self._reply_cache[call_id] = frames
        if len(self._reply_cache) > _CACHED_REPLIES_MAX:
            self._reply_cache.popitem(last=False)

    def _end_pending(self) -> None:
        for item in self._outgoing.values():
            item.future.set_result(NoReply(is_sent=True))
        self._outgoing.clear()
        # Calls that were queued after the inbox was last read.
        for late in self._inbox.take_all():
            if isinstance(late, _Outgoing):
                late.future.set_result(NoReply(is_sent=False))


def digest_body(body: bytes) -> int:
    """Computes the 64-bit digest with which a body is verified."""
    return xxhash.xxh3_64_intdigest(body)


def has_valid_body(
    message: messages.Forward | ResponseMessage, body: bytes
) -> bool:
    """Tells whether a body has the size and digest given in its message."""
    if isinstance(message, messages.LedgerResponse):
        return True
    if len(body) != message.body_size:
        return False
    return digest_body(body) == message.body_digest
