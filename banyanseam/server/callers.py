"""The callers' port: an ASGI application that runs the request pipeline."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
from uuid6 import uuid7

from banyanseam.config.errors import NotReady
from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import KEY_HEADER
from banyanseam.observe.events import INTERNAL_FAILURE, log
from banyanseam.pipe.const import BODY_TIMEOUT_S, MAX_BODY_BYTES
from banyanseam.pipe.errors import BodyTooLarge, BodyTooSlow, CallerGone
from banyanseam.pipe.models import Exchange, Headers, Next
from banyanseam.server.budget import ByteBudget
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.server.const import RETRY_AFTER_MS
from banyanseam.server.own_routes import OwnRoute
from banyanseam.server.reply import AsgiReceive, AsgiSend, CallerSink, send_problem

AsgiApp = Callable[[dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]]


class AnswerAborted(Exception):  # noqa: N818
    """Closes the connection, so that callers notice that the answer is incomplete."""


@dataclass(frozen=True, slots=True)
class CallersPort:
    """Dependencies of the callers' application."""

    pipeline: Next
    own_routes: dict[str, OwnRoute]
    budget: ByteBudget
    is_accepting: Callable[[], bool]
    # Waits shortly, if this process is likely to accept requests again soon.
    wait_until_accepting: Callable[[], Awaitable[None]]
    closes_connections: Callable[[], bool]


async def read_body(
    receive: AsgiReceive, grow_to: Callable[[int], None] = lambda _: None
) -> bytes:
    """Return the whole body, reserving memory for it as it arrives.

    Raise BodyTooLarge, BodyTooSlow, CallerGone or what `grow_to` raises.
    """
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
            grow_to(size_bytes)
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)
    raise BodyTooSlow


def read_content_length(headers: Headers) -> int | None:
    """Return the length in the Content-Length header, if it is valid."""
    value = dict(headers).get(b"content-length", b"")
    return int(value) if value.isdigit() else None


def make_exchange(scope: dict[str, Any], sink: CallerSink) -> Exchange:
    """Return the exchange of an ASGI request whose body has not been read yet."""
    headers = list(scope["headers"])
    is_write = scope["method"] not in ("GET", "HEAD")
    return Exchange(
        request_id=sink.request_id,
        method=scope["method"],
        path=scope["path"],
        raw_path=scope["raw_path"],
        query=scope["query_string"],
        headers=headers,
        body=b"",
        received_s=anyio.current_time(),
        reply=sink,
        # A write with an idempotency key may repeat a request that has already run.
        may_have_run=is_write and any(name == KEY_HEADER for name, _ in headers),
    )


def make_callers_app(port: CallersPort) -> AsgiApp:
    """Return the application of the callers' port."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        sink = CallerSink(send, str(uuid7()), port.closes_connections)
        exchange = make_exchange(scope, sink)
        try:
            connection = scope["extensions"][CONNECTION]
            await serve_exchange(port, exchange, connection, receive, send)
        except CallerGone:
            return
        except BanyanseamError as error:
            await send_failure(error, exchange, sink, send)
        except Exception as error:
            log(INTERNAL_FAILURE, request_id=sink.request_id, error=repr(error))
            await send_failure(BanyanseamError(), exchange, sink, send)

    return app


async def serve_exchange(
    port: CallersPort,
    exchange: Exchange,
    connection: Connection,
    receive: AsgiReceive,
    send: AsgiSend,
) -> None:
    """Read the body and answer, holding the body's memory until the answer is sent."""
    declared_bytes = read_content_length(exchange.headers)
    with port.budget.reserve_body(declared_bytes, MAX_BODY_BYTES) as reservation:
        exchange.body = await read_body(receive, reservation.grow_to)
        own = port.own_routes.get(exchange.path)
        if own is not None:
            await own(exchange, send)
            return
        if not port.is_accepting():
            await port.wait_until_accepting()
        if not port.is_accepting():
            raise NotReady(retry_after_ms=RETRY_AFTER_MS)
        connection.is_admitted = True
        await run_cancellable(port, exchange, connection)
        await exchange.reply.finish()


async def run_cancellable(
    port: CallersPort, exchange: Exchange, connection: Connection
) -> None:
    """Run the pipeline; on disconnect, cancel it if running it again is safe."""
    with anyio.CancelScope() as scope:

        def cancel_if_repeatable() -> None:
            # A started request that must not run twice continues, so that its result is
            # recorded.
            if exchange.is_idempotent or not exchange.upstream_started:
                scope.cancel()

        with connection.watch(cancel_if_repeatable):
            async with port.budget.open_stream(
                exchange.reply.transmit, lambda: connection.is_write_blocked
            ) as window:
                exchange.reply.window = window
                await port.pipeline(exchange)
    if scope.cancelled_caught:
        raise CallerGone


async def send_failure(
    error: BanyanseamError, exchange: Exchange, sink: CallerSink, send: AsgiSend
) -> None:
    """Send the failure as the answer, or abort the answer if it has started."""
    if not sink.started:
        await send_problem(
            send,
            error,
            sink.request_id,
            is_surely_not_run=exchange.is_surely_not_run,
            closes=sink.closes(),
        )
        return
    problem = error.to_problem(
        sink.request_id, is_surely_not_run=exchange.is_surely_not_run
    )
    await sink.send_error_event(problem)
    raise AnswerAborted(error.code)
