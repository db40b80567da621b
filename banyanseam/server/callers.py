"""The callers' port: an ASGI application around the pipe."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from uuid6 import uuid7

from banyanseam.config.errors import NotReady
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import INTERNAL_FAILURE, log
from banyanseam.pipe.const import BODY_TIMEOUT_S, MAX_BODY_BYTES
from banyanseam.pipe.errors import BodyTooLarge, BodyTooSlow, CallerGone
from banyanseam.pipe.models import Exchange, Next
from banyanseam.server.own_routes import OwnRoute
from banyanseam.server.reply import AsgiReceive, AsgiSend, CallerSink, send_problem

Asgi = Callable[[dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]]


class AnswerBroken(Exception):  # noqa: N818
    """Makes the server cut the connection, so that nobody takes a part for all."""


async def read_body(receive: AsgiReceive) -> bytes:
    """Return the whole body; raise BodyTooLarge, BodyTooSlow or CallerGone."""
    parts: list[bytes] = []
    size_bytes = 0
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerGone
            part = message.get("body", b"")
            size_bytes += len(part)
            if size_bytes > MAX_BODY_BYTES:
                raise BodyTooLarge(f"more than {MAX_BODY_BYTES} bytes")
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)
    raise BodyTooSlow


def make_exchange(scope: dict[str, Any], body: bytes, sink: CallerSink) -> Exchange:
    """Return the exchange of an ASGI request."""
    return Exchange(
        request_id=sink.request_id,
        method=scope["method"],
        path=scope["path"],
        raw_path=scope["raw_path"],
        query=scope["query_string"],
        headers=list(scope["headers"]),
        body=body,
        received_s=anyio.current_time(),
        reply=sink,
    )


def make_callers_app(
    is_ready: Callable[[], bool], own_routes: dict[str, OwnRoute], pipeline: Next
) -> Asgi:
    """Return the application of the callers' port."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        sink = CallerSink(send, str(uuid7()))
        exchange = make_exchange(scope, b"", sink)
        try:
            exchange.body = await read_body(receive)
            own = own_routes.get(exchange.path)
            if own is not None:
                await own(exchange, send)
                return
            if not is_ready():
                raise NotReady
            await run_watched(pipeline, exchange, receive)
            await sink.finish()
        except CallerGone:
            return
        except BanyanseamError as error:
            await report(error, exchange, sink, send)
        except Exception as error:
            log(INTERNAL_FAILURE, request_id=sink.request_id, error=repr(error))
            await report(BanyanseamError(), exchange, sink, send)

    return app


async def run_watched(pipeline: Next, exchange: Exchange, receive: AsgiReceive) -> None:
    """Run the pipeline; cancel it when the caller goes, if that loses nothing."""
    failure: Exception | None = None
    finished = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            message = await receive()
            while message["type"] != "http.disconnect":
                message = await receive()
            # What must not be run again runs to its end, to be remembered.
            if exchange.is_idempotent or not exchange.upstream_started:
                tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        # An exception that left this group would arrive wrapped in a group.
        try:
            await pipeline(exchange)
        except Exception as error:
            failure = error
        finished = True
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not finished:
        raise CallerGone


async def report(
    error: BanyanseamError, exchange: Exchange, sink: CallerSink, send: AsgiSend
) -> None:
    """Tell the caller of a failure, as visibly as the state of the answer allows."""
    if not sink.started:
        await send_problem(
            send, error, sink.request_id, upstream_started=exchange.upstream_started
        )
        return
    problem = error.to_problem(
        sink.request_id, upstream_started=exchange.upstream_started
    )
    await sink.announce_break(problem)
    raise AnswerBroken(error.code)
