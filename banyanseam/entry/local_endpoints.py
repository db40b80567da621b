"""Endpoints that a daemon answers itself: readiness and the directory."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from banyanseam.daemon.lifecycle import Lifecycle
from banyanseam.entry.frontend import CallerFormat
from banyanseam.server.callers import AsgiApp
from banyanseam.server.reply import AsgiReceive, AsgiSend, send_body


def make_readiness_app(caller_format: CallerFormat, lifecycle: Lifecycle) -> AsgiApp:
    """Return the application that reports whether callers should use this VM."""

    async def app(scope: dict[str, Any], _: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] != caller_format.ready_path:
            await send_body(send, 404, b"", [])
            return
        status = 200 if lifecycle.is_ready else 503
        await send_body(send, status, b"", [])

    return app


def make_directory_app(
    caller_format: CallerFormat,
    list_addresses: Callable[[str, str], tuple[list[str], int]],
) -> AsgiApp:
    """Return the application that lists the VMs that callers should use.

    `list_addresses` returns them for a region and data centre, and for how long in s.
    """

    async def app(scope: dict[str, Any], _: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] != caller_format.resolve_path:
            await send_body(send, 404, b"", [])
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        addresses, validity_s = list_addresses(*caller_format.read_resolve_query(query))
        headers = [(b"content-type", b"application/json")]
        if not addresses:
            await send_body(send, 503, b"{}", headers)
            return
        body = caller_format.write_addresses(addresses, validity_s)
        await send_body(send, 200, body, headers)

    return app
