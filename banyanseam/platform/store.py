"""Client for reads and watches of the platform's key-value store."""

import base64
import binascii
from dataclasses import dataclass
from typing import Final, TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
from pydantic import BaseModel, ConfigDict, ValidationError

from banyanseam.config.addresses import split_address
from banyanseam.config.errors import ConfigServiceOverLimit, ConfigServiceUnavailable
from banyanseam.entry.errors import HistoryForgotten
from banyanseam.entry.models import Listing, PublishedValue, ValueChanges
from banyanseam.platform.wire import RANGE_PATH, STORE_ERA, WATCH_PATH
from banyanseam.upstreams.connections import ConnectionPool

# Limit of one answer: a page of values and its encoding. Derived from the published
# limit of 1 MB per value, in base64.
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
MAX_PAGES: Final = 100
MAX_ERA_DIGITS: Final = 18

Model = TypeVar("Model", bound=BaseModel)


class _Item(BaseModel):
    model_config = ConfigDict(extra="ignore")

    key: str
    value: str = ""
    revision: int
    deleted: bool = False


class _Range(BaseModel):
    model_config = ConfigDict(extra="ignore")

    items: list[_Item]
    has_more: bool = False
    # The store's revision when it answered.
    at: int


class _Watch(BaseModel):
    model_config = ConfigDict(extra="ignore")

    events: list[_Item]
    at: int


@dataclass(frozen=True, slots=True)
class _Answer:
    body: bytes
    # Rises when the store is restored from a copy; 0 if the store doesn't say.
    era: int


class PlatformStore:
    """Calls the store within a timeout; each waiting call has its own connection."""

    def __init__(self, address: str) -> None:
        """Prepare the connection pool; open no connection yet."""
        self._host, self._port = split_address(address)
        origin = httpcore.Origin(b"http", self._host.encode(), self._port)
        self._connections = ConnectionPool(origin, 4, reuses=True)
        self._authority = address.encode()

    async def list_values(
        self, prefix: str, *, may_be_stale: bool, timeout_s: float
    ) -> Listing:
        """Return the values below a key prefix; raise ConfigServiceUnavailable."""
        values: dict[str, PublishedValue] = {}
        revision: int | None = None
        era: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            if may_be_stale:
                query["allow_stale"] = "1"
            answer = await self._get(RANGE_PATH, query, timeout_s)
            if era is not None and era != answer.era:
                raise ConfigServiceUnavailable("the store was restored between pages")
            era = answer.era
            page = _parse(_Range, answer.body)
            for item in page.items:
                after = item.key
                published = _to_published(item)
                if published is not None:
                    values[item.key] = published
            # Pages are not a snapshot: the listing is as old as its oldest page.
            revision = page.at if revision is None else min(revision, page.at)
            if not page.has_more or not page.items:
                return Listing(values, revision, era)
        raise ConfigServiceUnavailable("the listing has too many pages")

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> ValueChanges:
        """Return the changes after a revision, possibly none.

        Raise HistoryForgotten if the store no longer has these changes, and
        ConfigServiceUnavailable for other failures.
        """
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        answer = await self._get(WATCH_PATH, query, wait_s + timeout_s)
        watch = _parse(_Watch, answer.body)
        changes = tuple(
            (item.key, None if item.deleted else _to_published(item))
            for item in watch.events
        )
        return ValueChanges(changes, watch.at, answer.era)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._connections.aclose()

    async def _get(self, path: str, query: dict[str, str], timeout_s: float) -> _Answer:
        try:
            with anyio.fail_after(timeout_s):
                return await self._fetch(path, query, timeout_s)
        except TimeoutError as error:
            raise ConfigServiceUnavailable("no answer in time") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise ConfigServiceUnavailable(type(error).__name__) from error

    async def _fetch(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Answer:
        connection = await self._connections.acquire(timeout_s)
        is_complete = False
        try:
            response = await connection.http.handle_async_request(
                httpcore.Request(
                    "GET",
                    httpcore.URL(
                        scheme=b"http",
                        host=self._host.encode(),
                        port=self._port,
                        target=f"{path}?{urlencode(query)}".encode(),
                    ),
                    headers=[(b"host", self._authority)],
                    extensions={"timeout": {"read": timeout_s, "write": timeout_s}},
                )
            )
            body = bytearray()
            async for chunk in response.stream:
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise ConfigServiceUnavailable("the answer is too large")
            await response.aclose()
            is_complete = True
        finally:
            if not is_complete:
                with anyio.CancelScope(shield=True):
                    await connection.http.aclose()
            await self._connections.release(connection)
        _check_status(response.status)
        return _Answer(bytes(body), _read_era(response.headers))


def _check_status(status: int) -> None:
    if status == 410:
        raise HistoryForgotten
    if status == 429:
        raise ConfigServiceOverLimit
    if status != 200:
        raise ConfigServiceUnavailable(f"status {status}")


def _read_era(headers: list[tuple[bytes, bytes]]) -> int:
    for name, value in headers:
        if name.lower() == STORE_ERA:
            if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
                raise ConfigServiceUnavailable("the answer's era is not a number")
            return int(value)
    return 0


def _parse(kind: type[Model], body: bytes) -> Model:
    try:
        return kind.model_validate_json(body)
    except ValidationError as error:
        raise ConfigServiceUnavailable("the answer cannot be parsed") from error


def _to_published(item: _Item) -> PublishedValue | None:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None
    return PublishedValue(item.key, value, item.revision)
