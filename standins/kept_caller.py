"""A caller that uses its open connection to an entry VM until the process is gone."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

TIMEOUT_S: Final = 15.0
RECONNECT_S: Final = 0.1
# How an attempt ended: with a whole answer, with a part of one, with nothing at all, or
# before it could be sent.
WHOLE: Final = "whole"
BROKEN: Final = "broken off"
UNANSWERED: Final = "unanswered"


@dataclass(slots=True)
class Attempt:
    """A request that was sent to a VM, and what came back."""

    request_id: str
    vm: str
    path: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = UNANSWERED


class KeptCaller:
    """Sends one request after the other on a connection that it keeps."""

    def __init__(self, vm: str, ip: str, port: int, headers: dict[str, str]) -> None:
        """Store the VM's address and the headers of every request."""
        self.attempts: list[Attempt] = []
        self._vm, self._ip, self._port = vm, ip, port
        self._headers = headers
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self._connection = None

    async def run(
        self, choose_path: Callable[[], str], is_ended: Callable[[], bool]
    ) -> None:
        """Send requests until `is_ended`; connect again whenever that is needed."""
        try:
            while not is_ended():
                if self._connection is None and not await self._connect():
                    await asyncio.sleep(RECONNECT_S)
                    continue
                await self._ask(choose_path())
        finally:
            self._close()

    async def _connect(self) -> bool:
        try:
            self._connection = await asyncio.open_connection(self._ip, self._port)
        except OSError:
            return False
        return True

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
        self._connection = None

    async def _ask(self, path: str) -> None:
        loop = asyncio.get_running_loop()
        attempt = Attempt(uuid.uuid4().hex[:16], self._vm, path, loop.time())
        self.attempts.append(attempt)
        fields = self._headers | {
            "request-id": attempt.request_id,
            "content-length": "0",
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        reader, writer = self._connection
        try:
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                await writer.drain()
                await _read_answer(reader, attempt)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self._close()
        attempt.ended_s = loop.time()
        if attempt.headers.get("connection") == "close":
            self._close()


async def _read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> None:
    """Read an answer with a length or in chunks; raise where it breaks off."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    attempt.headers = {name.lower(): value.strip() for name, value in pairs}
    attempt.status = int(first.split(" ")[1])
    attempt.end = BROKEN
    if attempt.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            attempt.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        length = int(attempt.headers.get("content-length", "0"))
        attempt.body = await reader.readexactly(length)
    attempt.end = WHOLE
