"""Asking a daemon's operators' port."""

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

import click
import httpcore
from pydantic import BaseModel, ValidationError

from banyanseam.cli.const import ANSWER_TIMEOUT_S, MAX_PORT
from banyanseam.cli.errors import DaemonRefused, DaemonUnreachable, InvalidReply

Reply = TypeVar("Reply", bound=BaseModel)


def _check_address(ctx: click.Context, param: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    # A name is fine here, as of a tunnel's end; a URL is not.
    if not re.fullmatch(r"[\w.:\[\]-]+", host) or not is_port:
        raise click.BadParameter(f"{value!r} is not HOST:PORT, as 10.0.0.1:8082")
    return value


operators_option: Callable[..., Any] = click.option(
    "--operators",
    required=True,
    envvar="BANYANSEAM_OPERATORS",
    metavar="ADDRESS",
    callback=_check_address,
    help="The operators' address of a daemon, as 10.0.0.1:8082; or set it in the "
    "environment as BANYANSEAM_OPERATORS.",
)


def ask(
    address: str,
    method: str,
    path: str,
    reply_type: type[Reply],
    request: BaseModel | None = None,
) -> Reply:
    """Return a daemon's answer.

    Raise DaemonUnreachable, DaemonRefused or InvalidReply.
    """
    response = _send(address, method, path, request)
    if response.status != 200:
        raise DaemonRefused(_describe(response))
    try:
        return reply_type.model_validate_json(response.content)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        raise InvalidReply(f"{address}{path}: {where}: {first['msg']}") from error


def make_request(model: type[Reply], fields: dict[str, Any]) -> Reply:
    """Return a request of the command's options; raise click.UsageError."""
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        option = str(first["loc"][0]).replace("_", "-")
        raise click.UsageError(f"{option}: {first['msg']}") from error


def _send(
    address: str, method: str, path: str, request: BaseModel | None
) -> httpcore.Response:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), ANSWER_TIMEOUT_S)
    body = request.model_dump_json().encode() if request else b""
    try:
        with httpcore.ConnectionPool() as pool:
            return pool.request(
                method,
                f"http://{address}{path}",
                headers={"content-type": "application/json"},
                content=body,
                extensions={"timeout": timeouts},
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        reason = str(error) or type(error).__name__
        raise DaemonUnreachable(f"{address}: {reason}") from error


def _describe(response: httpcore.Response) -> str:
    try:
        problem = json.loads(response.content)
        return f"{problem['code']}: {problem['detail']}"
    except (ValueError, KeyError, TypeError):
        return f"status {response.status}"
