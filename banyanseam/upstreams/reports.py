"""Fetch and parse an upstream's load report."""

from collections.abc import Awaitable, Callable

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from uuid6 import uuid7

from banyanseam.config.compiled import Upstream
from banyanseam.upstreams.client import UpstreamClient, UpstreamRequest
from banyanseam.upstreams.const import MAX_LOAD_BODY_BYTES, POLL_TIMEOUT_S
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamTimedOut
from banyanseam.upstreams.models import LoadReport


class LoadDocument(BaseModel):
    """The answer body of an engine's `GET /load`; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    held_tokens: int = Field(ge=0)
    queued_tokens: int = Field(ge=0)
    running: int = Field(ge=0)
    leaving: bool = False
    as_of_ms_ago: int = Field(ge=0, le=3_600_000)
    # The models and adapters that are loaded.
    ready: list[str] | None = None
    incarnation: str | None = Field(default=None, max_length=64)


def make_fetch_report(
    client: UpstreamClient,
) -> Callable[[Upstream], Awaitable[LoadReport]]:
    """Return a function that polls an upstream for its load report.

    It raises a BanyanseamError when no valid report arrives in time.
    """

    async def fetch_report(upstream: Upstream) -> LoadReport:
        sent_s = anyio.current_time()
        with anyio.move_on_after(POLL_TIMEOUT_S):
            body = await _fetch(client, upstream)
            received_s = anyio.current_time()
            return read_report(body, (sent_s + received_s) / 2)
        raise UpstreamTimedOut(upstream.name)

    return fetch_report


def read_report(body: bytes, now_s: float) -> LoadReport:
    """Parse a load report; raise UpstreamFailed when it is not valid."""
    try:
        document = LoadDocument.model_validate_json(body)
    except ValidationError as error:
        raise UpstreamFailed("the load report is not valid") from error
    return LoadReport(
        held_tokens=document.held_tokens,
        queued_tokens=document.queued_tokens,
        running=document.running,
        leaving=document.leaving,
        as_of_s=now_s - document.as_of_ms_ago / 1000,
        ready=None if document.ready is None else frozenset(document.ready),
        incarnation=document.incarnation,
    )


async def _fetch(client: UpstreamClient, upstream: Upstream) -> bytes:
    request = UpstreamRequest(
        request_id=str(uuid7()),
        method="GET",
        target="/load",
        headers=[],
        body=b"",
        is_idempotent=True,
        read_timeout_s=POLL_TIMEOUT_S,
    )
    body = b""
    async with client.open(upstream, request, lambda: None) as answer:
        if answer.status != 200:
            raise UpstreamFailed(
                f"{upstream.name} answered GET /load with status {answer.status}"
            )
        async for chunk in answer.body:
            body += chunk
            if len(body) > MAX_LOAD_BODY_BYTES:
                raise UpstreamFailed(
                    f"the load report of {upstream.name} exceeds the size limit"
                )
    return body
