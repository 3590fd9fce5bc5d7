"""Steps for the pacing of large messages."""

import behave
from behave import runner

from rhubarblead.requests import transfers


def _take_all(context: runner.Context) -> list[transfers.Chunk]:
    chunks = []
    while (chunk := context.queue.take_next(context.now_ms)) is not None:
        chunks.append(chunk)
    return chunks


@behave.given("a queue of transfers over a link of {rate:d} Mbit per second")
def make(context: runner.Context, rate: int) -> None:
    context.now_ms = 0
    context.count = 0
    context.queue = transfers.TransferQueue(link_bytes_per_ms=rate * 125)


@behave.when("a transfer of {size:d} bytes is added")
def add(context: runner.Context, size: int) -> None:
    context.count += 1
    context.queue.add(context.count, size)


@behave.when("one chunk of transfer {number:d} is acknowledged")
def acknowledge(context: runner.Context, number: int) -> None:
    context.queue.acknowledge(number)


@behave.when("{passed:d} ms elapse without an acknowledgement")
def wait(context: runner.Context, passed: int) -> None:
    context.now_ms += passed


@behave.when("transfer {number:d} is removed")
def remove(context: runner.Context, number: int) -> None:
    context.queue.remove(number)


@behave.then("{count:d} chunks of {size:d} bytes may be sent")
def check_chunks(context: runner.Context, count: int, size: int) -> None:
    sizes = [chunk.end - chunk.start for chunk in _take_all(context)]
    assert sizes == [size] * count, sizes


@behave.then("{count:d} chunks of at most {size:d} bytes may be sent")
def check_largest(context: runner.Context, count: int, size: int) -> None:
    sizes = [chunk.end - chunk.start for chunk in _take_all(context)]
    assert len(sizes) == count, sizes
    assert max(sizes) <= size, sizes


@behave.then("{count:d} chunks of transfer {number:d} may be sent")
def check_owner(context: runner.Context, count: int, number: int) -> None:
    numbers = [chunk.number for chunk in _take_all(context)]
    assert numbers == [number] * count, numbers


@behave.then("transfer {number:d} is abandoned")
def check_abandoned(context: runner.Context, number: int) -> None:
    assert context.queue.list_abandoned(context.now_ms) == [number]


@behave.then("{size:d} bytes are queued")
def check_queued(context: runner.Context, size: int) -> None:
    assert context.queue.queued_bytes == size, context.queue.queued_bytes


@behave.then("no transfer is left")
def check_empty(context: runner.Context) -> None:
    assert context.queue.is_empty
