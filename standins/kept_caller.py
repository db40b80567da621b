"""A caller that uses its open connection to an entry VM until the process is gone."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

TIMEOUT_S: Final = 15.0
RECONNECT_S: Final = 0.1
# How an attempt ended: with a whole answer, with a part of one, by its caller when it
# had the events that it wanted, with nothing at all, or before it could be sent.
WHOLE: Final = "whole"
BROKEN: Final = "broken off"
LEFT: Final = "left"
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
    # Of a stream that is taken up: the attempt that brought its first event, and the
    # last event that its caller has.
    begun_as: str | None = None
    after_event: int = 0


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
        attempt = Attempt(uuid.uuid4().hex[:16], self._vm, path, 0.0)
        self.attempts.append(attempt)
        if not await ask(self._connection, attempt, self._headers):
            self._close()
        if attempt.headers.get("connection") == "close":
            self._close()


async def ask(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    attempt: Attempt,
    headers: dict[str, str],
    leaves_after: int | None = None,
) -> bool:
    """Send a request and record its answer; return whether all of it was received.

    Stop reading after `leaves_after` events of a stream.
    """
    loop = asyncio.get_running_loop()
    attempt.sent_s = loop.time()
    fields = headers | {"request-id": attempt.request_id, "content-length": "0"}
    if attempt.begun_as is not None:
        fields["resumes"] = attempt.begun_as
        fields["last-event-id"] = str(attempt.after_event)
    lines = [f"POST {attempt.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    reader, writer = connection
    try:
        async with asyncio.timeout(TIMEOUT_S):
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            await writer.drain()
            await read_answer(reader, attempt, leaves_after)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    attempt.ended_s = loop.time()
    return attempt.end == WHOLE


async def read_answer(
    reader: asyncio.StreamReader, attempt: Attempt, leaves_after: int | None
) -> None:
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
            if leaves_after and attempt.body.count(b"\n\n") >= leaves_after:
                attempt.end = LEFT
                return
        await reader.readexactly(2)
    else:
        length = int(attempt.headers.get("content-length", "0"))
        attempt.body = await reader.readexactly(length)
    attempt.end = WHOLE
