"""Checks upstreams' answers and relays them to callers, complete and in order."""

from typing import Final

import anyio

from banyanseam.entry.const import MAX_BUFFERED_ANSWER_BYTES
from banyanseam.entry.errors import AnswerUnproven
from banyanseam.entry.event_stream import EventSplitter, StreamEvent
from banyanseam.entry.exchange import Exchange, Reply
from banyanseam.entry.models import AnswerHead
from banyanseam.entry.moving import Progress
from banyanseam.entry.sending import IncomingAnswer
from banyanseam.pipe.errors import (
    AnswerCrossed,
    AnswerGap,
    AnswerTruncated,
    BodyTooLarge,
)
from banyanseam.server.budget import ByteBudget
from banyanseam.server.const import CHUNK_BYTES
from banyanseam.server.errors import BudgetExhausted
from banyanseam.upstreams.errors import UpstreamFailed

# Statuses that promise callers that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


def check_owner(exchange: Exchange, answer: AnswerHead) -> None:
    """Raise AnswerCrossed if the answer has the id of another request."""
    if answer.request_id not in (None, exchange.head.request_id):
        raise AnswerCrossed("the answer has the id of another request")


def proves_not_run(exchange: Exchange, answer: AnswerHead) -> bool:
    """Return whether the upstream says that it did not run this very request.

    A refusal without an id may be an earlier one that was written once more.
    """
    return answer.is_surely_not_run and answer.request_id == exchange.head.request_id


def check_answer(exchange: Exchange, answer: AnswerHead) -> None:
    """Raise unless the answer belongs to this request and comes from the upstream."""
    check_owner(exchange, answer)
    if answer.status in NOT_RUN_STATUSES and not answer.is_signed:
        raise AnswerUnproven(f"status {answer.status} without a signature")
    if answer.is_encoded:
        raise AnswerUnproven("the body has an encoding that was not requested")
    if answer.status < 300 and not answer.is_signed:
        raise AnswerUnproven("a successful answer without the upstream's signature")
    if answer.status < 200 or 300 <= answer.status < 400:
        raise AnswerUnproven(f"status {answer.status}")
    if answer.status >= 500 and not answer.is_signed:
        raise UpstreamFailed(f"status {answer.status} without a signature")


async def relay_answer(
    exchange: Exchange,
    answer: AnswerHead,
    incoming: IncomingAnswer,
    progress: Progress,
    budget: ByteBudget,
) -> None:
    """Relay an answer: streams event by event, others whole if they fit in the buffer.

    `budget` limits the memory of all answers that are buffered at the same time. Raise
    SlowerThanOthers once `progress` has been stopped, and UpstreamFailed if a stream
    that should resume did not.
    """
    if exchange.reply.is_started and answer.status != 200:
        raise UpstreamFailed(
            f"status {answer.status} instead of the rest of the stream"
        )
    if exchange.route.is_stream and answer.status == 200:
        await _relay_events(exchange, answer, incoming, progress)
        return
    body = bytearray()
    with budget.reserve_body(None, MAX_BUFFERED_ANSWER_BYTES) as reservation:
        try:
            async for chunk in incoming.body:
                body += chunk
                reservation.grow_to(len(body))
        except (BodyTooLarge, BudgetExhausted):
            await _start_unbuffered(exchange, answer, body)
            reservation.release()
            await _relay_rest(exchange, incoming)
            return
        if answer.length_bytes is not None and answer.length_bytes != len(body):
            raise AnswerTruncated("the body's length differs from content-length")
        length = (b"content-length", str(len(body)).encode())
        await exchange.reply.start(answer.status, [*answer.headers, length])
        await exchange.reply.finish(bytes(body))


async def _relay_events(
    exchange: Exchange, answer: AnswerHead, incoming: IncomingAnswer, progress: Progress
) -> None:
    """Relay whole events as they arrive; raise AnswerTruncated if the stream breaks."""
    splitter = EventSplitter()
    while (chunk := await progress.read(incoming.body)) is not None:
        for event in splitter.feed(chunk):
            # An event that breaks the stream off is no sign that its upstream goes on.
            _check_number(exchange, event)
            if not event.is_comment:
                progress.record_event(anyio.current_time())
                exchange.record_event()
            elif not exchange.reply.is_started:
                progress.record_begin()
            await _relay_event(exchange, answer, event)
    if splitter.has_partial_event:
        raise AnswerTruncated("the stream ends within an event")
    is_resumed_by_caller = exchange.head.last_event_id is not None
    if (
        not answer.is_framed
        and exchange.events_of_send == 0
        and not is_resumed_by_caller
    ):
        # Without a length or chunks, a lost connection looks like the end.
        raise AnswerTruncated("the stream ends before its first event")
    if not exchange.reply.is_started:
        await exchange.reply.start(answer.status, answer.headers)
    await exchange.reply.finish()


def _check_number(exchange: Exchange, event: StreamEvent) -> None:
    """Raise AnswerGap if events are missing before this one."""
    last = exchange.last_event
    if last is None or event.is_comment:
        return
    if event.number is None:
        raise AnswerGap(f"an event without a number follows {last}")
    if event.number > last + 1:
        raise AnswerGap(f"event {event.number} follows {last}")


async def _relay_event(
    exchange: Exchange, answer: AnswerHead, event: StreamEvent
) -> None:
    last = exchange.last_event
    if event.number is not None and last is not None and event.number <= last:
        return
    if not exchange.reply.is_started:
        exchange.record_begin()
        await exchange.reply.start(answer.status, answer.headers)
    if event.number is not None:
        exchange.last_event = event.number
    await exchange.reply.write(event.data)


async def _start_unbuffered(
    exchange: Exchange, answer: AnswerHead, buffered: bytearray
) -> None:
    """Begin to relay an answer that is too long to be buffered; empty the buffer."""
    headers = answer.headers
    if answer.length_bytes is not None:
        headers = [*headers, (b"content-length", str(answer.length_bytes).encode())]
    await exchange.reply.start(answer.status, headers)
    await _write_in_parts(exchange.reply, buffered)
    buffered.clear()


async def _relay_rest(exchange: Exchange, incoming: IncomingAnswer) -> None:
    async for chunk in incoming.body:
        await _write_in_parts(exchange.reply, chunk)
    await exchange.reply.finish()


async def _write_in_parts(reply: Reply, data: bytes | bytearray) -> None:
    """Write data so that the caller's connection buffers only a part of it."""
    for start in range(0, len(data), CHUNK_BYTES):
        await reply.write(bytes(data[start : start + CHUNK_BYTES]))
