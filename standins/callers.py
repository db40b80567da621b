"""HTTP client of demos, tests and benches: chats, streamed or not, and bookings."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore

CHAT_PATH = "/v1/chat/completions"
TIMEOUT_S = 60.0
LINE_END = b"\n\n"

Headers = dict[str, str]


@dataclass(slots=True)
class ChatResult:
    """What a caller received for one chat request."""

    status: int
    headers: Headers
    words: list[str] = field(default_factory=list)
    chunk_ids: set[str] = field(default_factory=set)
    is_done: bool = False
    usage: dict[str, int] | None = None
    problem: dict[str, Any] | None = None
    first_token_s: float | None = None
    duration_s: float = 0.0
    broken: str | None = None

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete, with each word once and in order."""
        expected = [f"w{number}" for number in range(1, len(self.words) + 1)]
        return self.status == 200 and self.is_done and self.words == expected

    @property
    def code(self) -> str | None:
        """Return the stable error code of a refused request."""
        return self.problem and self.problem.get("code")


@dataclass(slots=True)
class PlainResult:
    """What a caller received for one plain request."""

    status: int
    headers: Headers
    content: bytes

    @property
    def value(self) -> Any:
        """Return the content as JSON."""
        return json.loads(self.content)

    @property
    def code(self) -> str | None:
        """Return the stable error code of a refused request."""
        return self.value.get("code") if self.status >= 400 else None


class Caller:
    """One caller with its own connection pool; close the pool or use `async with`."""

    def __init__(self, key: str | None = None, timeout_s: float = TIMEOUT_S) -> None:
        """Store the API key to send with each request and create the pool."""
        self.key = key
        self.timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000, keepalive_expiry=60
        )

    async def __aenter__(self) -> "Caller":
        """Open the pool."""
        await self.pool.__aenter__()
        return self

    async def __aexit__(self, *details: Any) -> None:
        """Close every connection."""
        await self.pool.__aexit__(*details)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
    ) -> PlainResult:
        """Send one request and read the complete answer; raise httpcore's errors."""
        response = await self.pool.request(
            method,
            f"http://{address}{path}",
            headers=self._headers(headers),
            content=body,
            extensions={"timeout": self.timeouts},
        )
        return PlainResult(response.status, _decode_headers(response), response.content)

    async def chat(
        self,
        address: str,
        content: str = "hello",
        *,
        max_tokens: int = 8,
        model: str = "oak",
        stream: bool = True,
        headers: Headers | None = None,
        read_pause_s: float = 0.0,
    ) -> ChatResult:
        """Send a chat and read the answer; the result records a broken connection."""
        body = json.dumps(
            {
                "model": model,
                "messages": [{"role": "user", "content": content}],
                "max_tokens": max_tokens,
                "stream": stream,
            }
        ).encode()
        started_s = anyio.current_time()
        result = ChatResult(0, {})
        try:
            async with self.pool.stream(
                "POST",
                f"http://{address}{CHAT_PATH}",
                headers=self._headers({"content-type": "application/json"}, headers),
                content=body,
                extensions={"timeout": self.timeouts},
            ) as response:
                result.status = response.status
                result.headers = _decode_headers(response)
                if stream and response.status == 200:
                    await _read_stream(response, result, started_s, read_pause_s)
                else:
                    _parse_complete_answer(await response.aread(), result)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            result.broken = f"{type(error).__name__}: {error}"
        result.duration_s = anyio.current_time() - started_s
        return result

    async def book(
        self,
        address: str,
        path: str,
        body: bytes,
        *,
        idempotency_key: str | None = None,
        headers: Headers | None = None,
    ) -> PlainResult:
        """Post a booking; a resend with the same key is the same booking."""
        key_header = {"idempotency-key": idempotency_key} if idempotency_key else {}
        return await self.request(
            "POST", address, path, body=body, headers=key_header | (headers or {})
        )

    def _headers(self, *header_sets: Headers | None) -> list[tuple[bytes, bytes]]:
        merged = {"authorization": f"Bearer {self.key}"} if self.key else {}
        for header_set in header_sets:
            merged |= header_set or {}
        return [(name.encode(), value.encode()) for name, value in merged.items()]


def _decode_headers(response: httpcore.Response) -> Headers:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _parse_complete_answer(content: bytes, result: ChatResult) -> None:
    value = json.loads(content)
    if result.status != 200:
        result.problem = value
        return
    result.chunk_ids.add(value["id"])
    result.words = value["choices"][0]["message"]["content"].split()
    result.usage = value.get("usage")
    result.is_done = True


async def _split_events(response: httpcore.Response) -> AsyncIterator[bytes]:
    rest = b""
    async for piece in response.aiter_stream():
        *events, rest = (rest + piece).split(LINE_END)
        for event in events:
            yield event


async def _read_stream(
    response: httpcore.Response,
    result: ChatResult,
    started_s: float,
    read_pause_s: float,
) -> None:
    async for event in _split_events(response):
        if result.first_token_s is None:
            result.first_token_s = anyio.current_time() - started_s
        for line in event.split(b"\n"):
            if line.startswith(b"data: "):
                _parse_data(line.removeprefix(b"data: "), result)
        if read_pause_s:
            await anyio.sleep(read_pause_s)


def _parse_data(data: bytes, result: ChatResult) -> None:
    if data == b"[DONE]":
        result.is_done = True
        return
    value = json.loads(data)
    if "choices" not in value:
        result.problem = value.get("error", value)
        return
    result.chunk_ids.add(value["id"])
    content = value["choices"][0]["delta"].get("content")
    if content:
        result.words += content.split()
    result.usage = value.get("usage", result.usage)
