"""The operators' port: health, status and operations of the command line."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from banyanseam.errors import BanyanseamError
from banyanseam.server.callers import AsgiApp, read_body
from banyanseam.server.reply import AsgiReceive, AsgiSend, send_body, send_problem

# Receives the request body and returns the answer, to be encoded as JSON.
Operation = Callable[[bytes], Awaitable[Any]]
_JSON = [(b"content-type", b"application/json")]


class OperationUnknown(BanyanseamError):
    """The operators' port has no operation for the path and method."""

    code = "operators.unknown"
    event = 1500
    status = 404
    title = "The operation does not exist"
    not_run = True


def make_operators_app(operations: dict[tuple[str, str], Operation]) -> AsgiApp:
    """Return the application; `operations` is keyed by method and path."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        operation = operations.get((scope["method"], scope["path"]))
        try:
            body = await read_body(receive)
            if operation is None:
                raise OperationUnknown(scope["path"])
            answer = json.dumps(await operation(body)).encode()
            await send_body(send, 200, answer, _JSON)
        except BanyanseamError as error:
            await send_problem(send, error, "-", is_surely_not_run=True)

    return app
