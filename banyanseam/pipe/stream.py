"""Relay an upstream's answer; check that a model's answer belongs to the request."""

from contextlib import AsyncExitStack

from banyanseam.config.compiled import Upstream
from banyanseam.pipe.answer_checker import AnswerChecker, check_whole_answer
from banyanseam.pipe.errors import AnswerCrossed, AnswerTruncated
from banyanseam.pipe.models import Exchange, Headers
from banyanseam.upstreams.client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamUnreachable

MAX_RESUMES = 2
MAX_ANSWER_BYTES = 8 * 1024 * 1024


async def relay_plain(
    exchange: Exchange, answer: UpstreamAnswer, headers: Headers
) -> None:
    """Relay a plain service's answer or an engine's error without parsing it."""
    await exchange.reply.start(answer.status, headers)
    async for chunk in answer.body:
        await exchange.reply.send(chunk)


async def relay_chat(
    exchange: Exchange, answer: UpstreamAnswer, headers: Headers
) -> None:
    """Relay a non-streamed answer once it is whole and belongs to the request."""
    body = bytearray()
    async for chunk in answer.body:
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise UpstreamFailed(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    exchange.usage = check_whole_answer(bytes(body), exchange.request_id)
    await exchange.reply.start(answer.status, headers)
    await exchange.reply.send(bytes(body))


async def relay_events(
    exchange: Exchange,
    client: UpstreamClient,
    upstream: Upstream,
    answer: UpstreamAnswer,
    headers: Headers,
) -> None:
    """Relay a streamed answer; resume it where a connection broke.

    Nothing is sent to the caller before the first whole event, so that an earlier
    failure can still be retried on another upstream.
    """
    checker = AnswerChecker(exchange.request_id)
    resumes_left = MAX_RESUMES
    async with AsyncExitStack() as stack:
        while True:
            try:
                await _send_events(exchange, checker, answer, headers)
                return
            except (UpstreamFailed, AnswerTruncated):
                if not resumes_left or not checker.can_resume:
                    raise
                resumes_left -= 1
                answer = await _resume(exchange, client, upstream, checker, stack)


async def _send_events(
    exchange: Exchange,
    checker: AnswerChecker,
    answer: UpstreamAnswer,
    headers: Headers,
) -> None:
    async for chunk in answer.body:
        events = checker.feed(chunk)
        if not events:
            continue
        if not exchange.reply.started:
            await exchange.reply.start(answer.status, headers)
        await exchange.reply.send(events)
        if checker.is_ended:
            break
    exchange.usage = checker.usage
    checker.finish()


async def _resume(
    exchange: Exchange,
    client: UpstreamClient,
    upstream: Upstream,
    checker: AnswerChecker,
    stack: AsyncExitStack,
) -> UpstreamAnswer:
    """Open a connection for the rest of the answer; raise UpstreamFailed."""
    checker.expect_resume()
    request = UpstreamRequest(
        request_id=exchange.request_id,
        method="GET",
        target=f"/v1/streams/{exchange.request_id}?after={checker.position}",
        headers=[],
        body=b"",
        is_idempotent=True,
    )
    opened = client.open(upstream, request, lambda: None)
    try:
        answer = await stack.enter_async_context(opened)
    except UpstreamUnreachable as error:
        # The first connection carried the request, so it may have run.
        raise UpstreamFailed(f"{upstream.name}: unreachable while answering") from error
    if answer.status != 200:
        raise UpstreamFailed(f"{upstream.name}: cannot resume the answer")
    if answer.find_header(b"x-request-id") != exchange.request_id.encode():
        raise AnswerCrossed
    return answer
