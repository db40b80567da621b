"""An upstream's answer on its way to the caller: checked, whole, in order."""

from banyanseam.entry.const import MAX_BUFFERED_ANSWER_BYTES
from banyanseam.entry.errors import AnswerUnproven
from banyanseam.entry.event_stream import EventSplitter, StreamEvent
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import AnswerHead
from banyanseam.entry.moving import Progress
from banyanseam.entry.sending import Incoming
from banyanseam.pipe.errors import AnswerCrossed, AnswerGap, AnswerTruncated
from banyanseam.upstreams.errors import UpstreamFailed


def check_answer(exchange: Exchange, answer: AnswerHead) -> None:
    """Raise unless the answer is this request's own and the upstream's."""
    if answer.request_id not in (None, exchange.head.request_id):
        raise AnswerCrossed("the answer names another request")
    if answer.is_encoded:
        raise AnswerUnproven("the body has an encoding that nobody asked for")
    if answer.status < 300 and not answer.is_signed:
        raise AnswerUnproven("a success without the upstream's signature")
    if answer.status < 200 or 300 <= answer.status < 400:
        raise AnswerUnproven(f"status {answer.status}")
    if answer.status >= 500 and not answer.is_signed:
        raise UpstreamFailed(f"status {answer.status} without a signature")


async def pass_on(
    exchange: Exchange, answer: AnswerHead, incoming: Incoming, progress: Progress
) -> None:
    """Send an answer on, streams event by event, all else as a whole if it can.

    Raise SlowerThanOthers once `progress` has been stopped, and UpstreamFailed for a
    stream that was to go on and did not.
    """
    if exchange.reply.is_started and answer.status != 200:
        raise UpstreamFailed(f"status {answer.status} instead of the rest")
    if exchange.route.is_stream and answer.status == 200:
        await _pass_events(exchange, answer, incoming, progress)
        return
    body = bytearray()
    async for chunk in incoming.body:
        body += chunk
        if len(body) > MAX_BUFFERED_ANSWER_BYTES:
            await _pass_long(exchange, answer, bytes(body), incoming)
            return
    if answer.length_bytes is not None and answer.length_bytes != len(body):
        raise AnswerTruncated("the body is shorter than announced")
    length = (b"content-length", str(len(body)).encode())
    await exchange.reply.start(answer.status, [*answer.headers, length])
    await exchange.reply.finish(bytes(body))


async def _pass_events(
    exchange: Exchange, answer: AnswerHead, incoming: Incoming, progress: Progress
) -> None:
    """Pass whole events on as they come; raise AnswerTruncated at a break."""
    splitter = EventSplitter()
    while (chunk := await progress.read(incoming.body)) is not None:
        for event in splitter.feed(chunk):
            await _pass_event(exchange, answer, event)
    if splitter.has_rest:
        raise AnswerTruncated("the stream ends inside of an event")
    if not exchange.reply.is_started:
        await exchange.reply.start(answer.status, answer.headers)
    await exchange.reply.finish()


async def _pass_event(
    exchange: Exchange, answer: AnswerHead, event: StreamEvent
) -> None:
    last = exchange.last_event
    if event.number is not None and last is not None and event.number != last + 1:
        if event.number <= last:
            return
        raise AnswerGap(f"event {event.number} follows {last}")
    if not exchange.reply.is_started:
        await exchange.reply.start(answer.status, answer.headers)
    if event.number is not None:
        exchange.last_event = event.number
    await exchange.reply.write(event.data)


async def _pass_long(
    exchange: Exchange, answer: AnswerHead, begun: bytes, incoming: Incoming
) -> None:
    """Pass on an answer that is too long to be held as a whole."""
    headers = answer.headers
    if answer.length_bytes is not None:
        headers = [*headers, (b"content-length", str(answer.length_bytes).encode())]
    await exchange.reply.start(answer.status, headers)
    await exchange.reply.write(begun)
    async for chunk in incoming.body:
        await exchange.reply.write(chunk)
    await exchange.reply.finish()
