"""Serve a stand-in's ASGI application on a port that the kernel chooses."""

import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote

import anyio
import click
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]

BACKLOG = 2048


class TransportProtocol(HttpToolsProtocol):
    """Expose the transport to the application, so that faults can drop connections."""

    def on_message_begin(self) -> None:
        """Add the transport to the scope of each request."""
        super().on_message_begin()
        self.scope["transport"] = self.transport


class StandInServer(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handler, so that a signal ends a stand-in at once."""
        yield


@dataclass(slots=True)
class Request:
    """One request to a stand-in, read in full."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    transport: Any
    receive: Receive
    send: Send
    is_dropped: bool = False

    def read_json(self) -> Any:
        """Return the body as JSON; an empty body is an empty object."""
        return json.loads(self.body or b"{}")

    def query_int(self, name: str, default: int) -> int:
        """Return an integer parameter of the query."""
        return int(self.query.get(name, default))

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status line and headers."""
        raw = [(name.encode(), value.encode()) for name, value in headers.items()]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": raw}
        )

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a chunk of the body; `more` is false for the last one."""
        await self.send({"type": "http.response.body", "body": data, "more_body": more})

    async def answer(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(value).encode()
        fields = {"content-type": "application/json", "content-length": str(len(body))}
        await self.start(status, fields | (headers or {}))
        await self.write(body, more=False)

    def drop(self) -> None:
        """Abort the connection without sending another byte."""
        self.is_dropped = True
        self.transport.abort()

    async def wait_closed(self) -> None:
        """Return when the caller has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@dataclass(slots=True)
class Suspension:
    """Simulates a suspended process: handlers wait until it is resumed."""

    is_suspended: bool = False
    resumed: anyio.Event = field(default_factory=anyio.Event)

    def set(self, is_suspended: bool) -> None:
        """Suspend or resume the stand-in."""
        self.is_suspended = is_suspended
        if not is_suspended:
            self.resumed.set()
            self.resumed = anyio.Event()

    async def wait_resumed(self) -> None:
        """Wait while the stand-in is suspended."""
        while self.is_suspended:
            await self.resumed.wait()


Handler = Callable[[Request], Awaitable[None]]


async def _read_body(receive: Receive) -> bytes:
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


def make_app(handler: Handler) -> Callable[..., Awaitable[None]]:
    """Return an ASGI application that passes complete requests to a handler."""

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        request = Request(
            method=scope["method"],
            path=unquote(scope["path"]),
            query=dict(parse_qsl(scope["query_string"].decode())),
            headers={
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            body=await _read_body(receive),
            transport=scope["transport"],
            receive=receive,
            send=send,
        )
        try:
            await handler(request)
        except (ValueError, TypeError, KeyError) as error:
            await request.answer(400, {"error": str(error)})
        if request.is_dropped:
            await request.wait_closed()

    return app


@asynccontextmanager
async def serve(handler: Handler, port: int = 0) -> AsyncIterator[str]:
    """Serve while the context is open and yield the address."""
    # asyncio disables Nagle's algorithm only if the socket names its protocol.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(BACKLOG)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    config = uvicorn.Config(
        make_app(handler),
        http=TransportProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=300,
    )
    server = StandInServer(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        try:
            yield address
        finally:
            server.should_exit = True
            server.force_exit = True
            for connection in list(server.server_state.connections):
                connection.transport.abort()


def announce(name: str, address: str, **more: Any) -> None:
    """Print the line from which the parent process reads the address."""
    click.echo(json.dumps({"name": name, "address": address, **more}))


async def serve_forever(name: str, handler: Handler, port: int) -> None:
    """Serve until the process ends."""
    async with serve(handler, port) as address:
        announce(name, address)
        await anyio.sleep_forever()


def run_process(function: Callable[..., Awaitable[Any]], *args: Any) -> None:
    """Run a stand-in's main function on uvloop."""
    anyio.run(function, *args, backend_options={"use_uvloop": True})
