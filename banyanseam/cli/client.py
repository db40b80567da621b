"""Client for a daemon's operator API."""

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

import click
import httpcore
from pydantic import BaseModel, ValidationError

from banyanseam.cli.const import MAX_PORT, REPLY_TIMEOUT_S
from banyanseam.cli.errors import DaemonRefused, DaemonUnreachable, InvalidReply

Reply = TypeVar("Reply", bound=BaseModel)


def _check_address(ctx: click.Context, param: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    # Host names are accepted, for example for the end of a tunnel; URLs are not.
    if not re.fullmatch(r"[\w.:\[\]-]+", host) or not is_port:
        raise click.BadParameter(
            f"{value!r} is not HOST:PORT, for example 10.0.0.1:8082"
        )
    return value


operators_option: Callable[..., Any] = click.option(
    "--operators",
    required=True,
    envvar="BANYANSEAM_OPERATORS",
    metavar="ADDRESS",
    callback=_check_address,
    help="HOST:PORT of a daemon's operator API, for example 10.0.0.1:8082. Can also "
    "be set in the environment variable BANYANSEAM_OPERATORS.",
)


def call_daemon(
    address: str,
    method: str,
    path: str,
    reply_type: type[Reply],
    request: BaseModel | None = None,
) -> Reply:
    """Send a request to a daemon and return the validated reply.

    Raise DaemonUnreachable, DaemonRefused or InvalidReply.
    """
    response = _send(address, method, path, request)
    if response.status != 200:
        raise DaemonRefused(_describe_failure(response))
    try:
        return reply_type.model_validate_json(response.content)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        raise InvalidReply(
            f"unexpected reply from {address}{path}: {where}: {first['msg']}"
        ) from error


def make_request(model: type[Reply], fields: dict[str, Any]) -> Reply:
    """Build a request from the command's options; raise click.UsageError."""
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        option = str(first["loc"][0]).replace("_", "-")
        raise click.UsageError(f"invalid value for {option}: {first['msg']}") from error


def _send(
    address: str, method: str, path: str, request: BaseModel | None
) -> httpcore.Response:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), REPLY_TIMEOUT_S)
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
        raise DaemonUnreachable(
            f"{address}: {reason}; check the address and that the daemon is running"
        ) from error


def _describe_failure(response: httpcore.Response) -> str:
    try:
        problem = json.loads(response.content)
        return f"{problem['code']}: {problem['detail']}"
    except (ValueError, KeyError, TypeError):
        return f"HTTP status {response.status} without an error code"
