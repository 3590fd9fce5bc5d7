"""The task that carries calls between nodes on the data path."""

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
_REMEMBERED_ANSWERS = 1024
_REMEMBERED_BYTES = 2**14

CallMessage: TypeAlias = (
    messages.Forward | messages.LedgerWrite | messages.LedgerRead
)
AnswerMessage: TypeAlias = messages.Response | messages.LedgerResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A peer's answer to a call, with its body."""

    message: AnswerMessage
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoReply:
    """A call ended without an answer.

    `is_sent` says that the peer may have received it.
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
class _Answered:
    sender: bytes
    call_id: str
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PeerGone:
    address: links.Address


class _Stop:
    pass


Serve: TypeAlias = Callable[[CallMessage, bytes], Reply]
Refuse: TypeAlias = Callable[[messages.Forward], Reply]


class Exchange:
    """Sends calls to peers, and serves theirs on an executor.

    Calls beyond a number in progress are refused at once, as they would only
    wait for a thread. `run` is the task; all other methods may be called from
    any thread.
    """

    __slots__ = (
        "_answered",
        "_calls",
        "_executor",
        "_inbox",
        "_is_over",
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
        self._inbox: wakeup.Inbox[_Outgoing | _Answered | _PeerGone | _Stop] = (
            wakeup.Inbox()
        )
        self._links = links.Links(context=context, identity=identity)
        self._calls = calls.CallTable(ack_timeout_ms=limits.ack_timeout_ms)
        self._executor = executor
        self._serve = serve
        self._refuse = refuse
        self._report_reset = report_reset
        self._running_limit = limits.peer_threads + limits.queue_length
        self._is_over = False
        self._outgoing: dict[str, _Outgoing] = {}
        self._running: dict[str, bytes] = {}
        self._answered: collections.OrderedDict[str, list[bytes]] = (
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
            A future that always gets an outcome, by the deadline.
        """
        future: futures.Future[Outcome] = futures.Future()
        if self._is_over:
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
        """Ends the calls to a peer that is no member any more."""
        self._inbox.put(_PeerGone(address=address))

    def stop(self) -> None:
        """Lets `run` return."""
        self._inbox.put(_Stop())

    def listen(self, address: links.Address) -> None:
        """Binds the data address, before `run`."""
        self._links.listen(address)

    def run(self) -> None:
        """Runs the task until it is stopped."""
        self._inbox.register(self._links.poller)
        with self._links:
            while self._step():
                pass
        self._is_over = True
        self._end_all()
        self._inbox.close()

    def _step(self) -> bool:
        timeout_ms = _POLL_MS if self._outgoing else None
        ready = dict(self._links.poller.poll(timeout_ms))
        now_ms = clock.read_monotonic_ms()
        incoming, answers = self._links.receive(ready)
        for received in incoming:
            self._take_call(received)
        for address, frames in answers:
            self._take_answer(address, frames, now_ms)
        for item in self._inbox.take_all():
            if isinstance(item, _Stop):
                return False
            self._take_item(item, now_ms)
        if self._outgoing:
            self._tick(now_ms)
        return True

    def _take_item(
        self, item: _Outgoing | _Answered | _PeerGone, now_ms: int
    ) -> None:
        match item:
            case _Outgoing():
                self._start(item, now_ms)
            case _Answered():
                self._running.pop(item.call_id, None)
                self._answer(item.sender, item.call_id, item.reply)
            case _PeerGone(address=address):
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
        resends, over = self._calls.tick(now_ms)
        self._give_up(over)
        for resend in resends:
            self._links.reset(resend.address)
            self._report_reset(resend.address)
            for call_id in resend.call_ids:
                self._send(self._outgoing[call_id])

    def _give_up(self, over: list[calls.GiveUp]) -> None:
        for ended in over:
            item = self._outgoing.pop(ended.call_id)
            item.future.set_result(NoReply(is_sent=ended.is_sent))

    def _take_answer(
        self, address: links.Address, frames: list[bytes], now_ms: int
    ) -> None:
        try:
            message = messages.decode(frames[0])
        except (msgspec.DecodeError, IndexError):
            return
        match message:
            case messages.Ack(call_id=call_id):
                self._calls.take_ack(
                    call_id=call_id, address=address, now_ms=now_ms
                )
            case messages.Response() | messages.LedgerResponse():
                body = frames[1] if len(frames) > 1 else b""
                self._finish(address, message, body, now_ms)
            case _:
                return

    def _finish(
        self,
        address: links.Address,
        message: AnswerMessage,
        body: bytes,
        now_ms: int,
    ) -> None:
        if not is_whole(message, body):
            # The call stays open: it is sent again, and answered again.
            return
        call_id = message.call_id
        if not self._calls.take_answer(
            call_id=call_id, address=address, now_ms=now_ms
        ):
            return
        item = self._outgoing.pop(call_id)
        item.future.set_result(Reply(message=message, body=body))

    def _take_call(self, received: links.Received) -> None:
        try:
            message = messages.decode(received.frames[0])
        except (msgspec.DecodeError, IndexError):
            return
        body = received.frames[1] if len(received.frames) > 1 else b""
        match message:
            case messages.Forward():
                if is_whole(message, body):
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
        answer = self._answered.get(call_id)
        if answer is not None:
            self._links.reply(sender, answer)
            return
        ack = messages.Ack(call_id=call_id)
        self._links.reply(sender, [messages.encode(ack)])
        if call_id in self._running:
            self._running[call_id] = sender
            return
        if len(self._running) >= self._running_limit:
            reply = self._refuse(message)
            self._answer(sender, call_id, reply)
            return
        self._running[call_id] = sender
        self._executor.submit(self._run_call, sender, message, body)

    def _run_call(
        self, sender: bytes, message: messages.Forward, body: bytes
    ) -> None:
        reply = self._serve(message, body)
        self._inbox.put(
            _Answered(
                sender=sender,
                call_id=message.call_id,
                reply=reply,
            )
        )

    def _answer(self, sender: bytes, call_id: str, reply: Reply) -> None:
        frames = [messages.encode(reply.message), reply.body]
        self._remember(call_id, frames)
        self._links.reply(sender, frames)

    def _remember(self, call_id: str, frames: list[bytes]) -> None:
        if sum(len(frame) for frame in frames) > _REMEMBERED_BYTES:
            return
        self._answered[call_id] = frames
        if len(self._answered) > _REMEMBERED_ANSWERS:
            self._answered.popitem(last=False)

    def _end_all(self) -> None:
        for item in self._outgoing.values():
            item.future.set_result(NoReply(is_sent=True))
        self._outgoing.clear()
        # Calls that came after the last look at the inbox.
        for late in self._inbox.take_all():
            if isinstance(late, _Outgoing):
                late.future.set_result(NoReply(is_sent=False))


def digest_body(body: bytes) -> int:
    """Computes the digest by which a body is checked, as 64 bits."""
    return xxhash.xxh3_64_intdigest(body)


def is_whole(message: messages.Forward | AnswerMessage, body: bytes) -> bool:
    """Tells whether a body is the one that its message announces."""
    if isinstance(message, messages.LedgerResponse):
        return True
    if len(body) != message.body_size:
        return False
    return digest_body(body) == message.body_digest
