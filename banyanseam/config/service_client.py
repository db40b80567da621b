"""HTTP client of the configuration service."""

import json
from typing import Annotated, Any, TypeVar
from urllib.parse import quote

import httpcore
from pydantic import BaseModel, Field, ValidationError

from banyanseam.config.const import CALL_MARGIN_S, MAX_REPLY_BYTES
from banyanseam.config.errors import ConfigServiceOverLimit, ConfigServiceUnavailable
from banyanseam.config.snapshot import Listing, Value, encode_content
from banyanseam.config.versions import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    make_version,
    revision_of,
)
from banyanseam.config.watch import ServiceClient
from banyanseam.peers.errors import PlatformUnreadable
from banyanseam.peers.fetch import fetch

Reply = TypeVar("Reply", bound=BaseModel)
Revision = Annotated[int, Field(ge=0, le=MAX_REVISION)]


class ServiceReply(BaseModel):
    """An answer of the service, with its era; a service that names none is in era 0."""

    era: int = Field(0, ge=0, le=MAX_ERA)
    revision: Revision


class RevisionsReply(ServiceReply):
    """The keys that changed since the requested revision."""

    changed: dict[str, Revision]


class ValueReply(ServiceReply):
    """One value, with the revision that last changed it."""

    key: str
    revision: int = Field(gt=0, le=MAX_REVISION)
    value: Any


def make_service_client(
    pool: httpcore.AsyncConnectionPool, address: str
) -> ServiceClient:
    """Return a client of the service at one address."""

    async def list_revisions(after: int, wait_ms: int) -> Listing:
        path = f"/v1/revisions?after={revision_of(after)}&wait_ms={wait_ms}"
        if era := era_of(after):
            path += f"&era={era}"
        timeout_s = wait_ms / 1000 + CALL_MARGIN_S
        reply = await _get(pool, address, path, RevisionsReply, timeout_s)
        changed = {
            key: make_version(reply.era, revision)
            for key, revision in reply.changed.items()
        }
        return Listing(make_version(reply.era, reply.revision), changed)

    async def read(key: str) -> Value:
        path = f"/v1/values/{quote(key)}"
        reply = await _get(pool, address, path, ValueReply, CALL_MARGIN_S)
        version = make_version(reply.era, reply.revision)
        return Value(key, version, encode_content(reply.value))

    return ServiceClient(list_revisions, read)


async def _get(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    path: str,
    model: type[Reply],
    timeout_s: float,
) -> Reply:
    try:
        answer = await fetch(
            pool, f"http://{address}{path}", timeout_s, MAX_REPLY_BYTES
        )
    except PlatformUnreadable as error:
        raise ConfigServiceUnavailable(f"{address}: {error.detail}") from error
    if answer.status == 429:
        raise ConfigServiceOverLimit(address)
    if answer.status != 200:
        raise ConfigServiceUnavailable(f"{address}: status {answer.status}")
    try:
        return model.model_validate(json.loads(answer.content))
    except (ValueError, RecursionError, ValidationError) as error:
        raise ConfigServiceUnavailable(f"{address}: invalid reply") from error
