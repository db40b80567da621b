"""Run an ASGI application on a port with uvicorn, on the daemon's event loop."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from socket import socket
from typing import Any

import anyio
import uvicorn

from banyanseam.config.addresses import split_address
from banyanseam.peers.errors import CannotListen
from banyanseam.server.callers import AnswerAborted, AsgiApp
from banyanseam.server.connections import ConnectionTable
from banyanseam.server.const import KEEP_ALIVE_S, LISTEN_BACKLOG, MAX_REQUESTS
from banyanseam.server.protocol import LimitedProtocol


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Create the server; `startup` makes it listen."""
        self._stop_requested = anyio.Event()
        super().__init__(config)
        self.listening = anyio.Event()
        self._ended = anyio.Event()

    @property
    def should_exit(self) -> bool:
        """Return whether a stop has been requested."""
        return self._stop_requested.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._stop_requested.set()

    async def serve(self, sockets: list[socket] | None = None) -> None:
        """Run until a stop has ended, or until cancelled."""
        try:
            await super().serve(sockets)
        finally:
            self._ended.set()

    def stop_listening(self) -> None:
        """Accept no more connections; those whose callers read stay open."""
        for listener in self.servers:
            listener.close()
        for connection in self.server_state.connections:
            connection.limit_unread()

    async def close(self) -> None:
        """Close each connection once what was read on it has been answered in full."""
        self.should_exit = True
        await self._ended.wait()

    async def main_loop(self) -> None:
        """Wait for a stop request; uvicorn's own loop polls ten times a second."""
        await self.on_tick(0)
        await self._stop_requested.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing: the daemon's life cycle handles signals."""
        yield

    async def startup(self, sockets: list[socket] | None = None) -> None:
        """Listen and set `listening`; raise CannotListen."""
        try:
            await super().startup(sockets)
        except SystemExit as error:
            address = f"{self.config.host}:{self.config.port}"
            raise CannotListen(f"{address}: {error.__context__}") from error
        self.listening.set()


def _is_unexpected(record: logging.LogRecord) -> bool:
    """Filter out aborted answers, whose failures are logged with their requests."""
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, AnswerAborted)


def make_server(
    app: AsgiApp, address: str, connections: ConnectionTable
) -> EmbeddedServer:
    """Return a server for an address; its `serve` runs it until `should_exit`.

    All servers of a process share the table of connections.
    """
    logging.getLogger("uvicorn.error").addFilter(_is_unexpected)
    host, port = split_address(address)
    options: dict[str, Any] = {
        "host": host,
        "port": port,
        "http": partial(LimitedProtocol, table=connections),
        "ws": "none",
        "lifespan": "off",
        "log_config": None,
        "access_log": False,
        "server_header": False,
        "date_header": False,
        "proxy_headers": False,
        "timeout_keep_alive": KEEP_ALIVE_S,
        # Counts connections too, idle ones included; the table limits those.
        "limit_concurrency": MAX_REQUESTS,
        "backlog": LISTEN_BACKLOG,
    }
    return EmbeddedServer(uvicorn.Config(app, **options))
