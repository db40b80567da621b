"""An upstream of the users' platform: signed answers, event streams and faults.

It writes the raw bytes of its answers, since most of its faults are answers that no
HTTP library would send.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

EVENTS: Final = 6
EVENT_PAUSE_S: Final = 0.01
# Silence of a stalled stream: longer than an answer may take to be in time.
STALL_S: Final = 1.6
REPORT_TARGET: Final = "/v1/report"
HEALTH_TARGET: Final = "/healthz"
# The software whose events don't name it.
USUAL_SOFTWARE: Final = "v1"
_OK: Final = b"HTTP/1.1 200 OK\r\nupstream-signature: d1.s\r\n"
# Faults of an answer that never ends: its beginning, and what is repeated after it.
ENDLESS: Final = {
    "endless head": (_OK, b"a: b\r\n" * 2000),
    "endless body": (_OK + b"\r\n", b"x" * 64 * 1024),
}


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformUpstream:
    """One upstream; each request consumes the first of `faults`."""

    upstream_id: str
    is_stream: bool = False
    # As registered by default.
    started_ms: int = 1
    software: str = USUAL_SOFTWARE
    pause_s: float = EVENT_PAUSE_S
    # Follows the usual body of answers that are no streams.
    padding: bytes = b""
    faults: list[str] = field(default_factory=list)
    # Every request whose execution began.
    runs: list[ReceivedRequest] = field(default_factory=list)
    # Called with each request whose execution begins.
    on_run: Callable[[ReceivedRequest], None] = lambda _: None
    # Number of runs cancelled because the caller disconnected.
    cancelled: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve while the context is open and yield the address."""
        server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield f"127.0.0.1:{port}"
        finally:
            server.close()

    def restart(self, software: str) -> None:
        """Break all connections and go on as the next incarnation, of a software."""
        self.started_ms += 1
        self.software = software
        for writer in self._writers:
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            request = await _read_request(reader)
            disconnected = asyncio.ensure_future(reader.read(1))
            run = asyncio.ensure_future(self._answer(request, writer))
            await asyncio.wait({disconnected, run}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                self.cancelled += 1
                run.cancel()
            disconnected.cancel()
            await asyncio.gather(run, disconnected, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == REPORT_TARGET:
            await _write_report(writer, self.started_ms)
            return
        if request.target == HEALTH_TARGET:
            await _write_health(writer, self.upstream_id)
            return
        fault = self.faults.pop(0) if self.faults else ""
        expected = request.headers.get("expect-instance")
        own_id = f"request-id: {request.headers['request-id']}\r\n"
        if expected not in (None, self.upstream_id):
            await _write_refusal(writer, "421 Misdirected", own_id)
            return
        if fault == "full":
            await _write_refusal(writer, "503 Full", f"not-executed: 1\r\n{own_id}")
            return
        self.runs.append(request)
        self.on_run(request)
        if fault == "no answer":
            return
        if fault == "hang":
            await asyncio.sleep(60)
        if fault == "garbage":
            writer.write(b"this is no answer\r\n\r\n")
            await writer.drain()
            return
        if fault in ENDLESS:
            await _write_endlessly(writer, *ENDLESS[fault])
        await self._write_answer(request, writer, fault)

    async def _write_answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, fault: str
    ) -> None:
        status = "500 Failed" if fault == "error" else "200 OK"
        request_id = "other" if fault == "crossed" else request.headers["request-id"]
        head = [f"HTTP/1.1 {status}", f"request-id: {request_id}"]
        if fault != "unsigned":
            head.append(f"upstream-signature: {self.upstream_id}.s")
        if fault == "encoded":
            head.append("content-encoding: gzip")
        if self.is_stream and status.startswith("200"):
            await self._write_stream(request, writer, head, fault)
            return
        body = b"answer to " + request.headers["request-id"].encode() + self.padding
        if fault != "unframed":
            head.append(f"content-length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        if fault == "truncated":
            writer.write(body[:4])
            await writer.drain()
            writer.transport.abort()
            return
        await asyncio.sleep(self.pause_s)
        writer.write(body)
        if fault == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore")
        await writer.drain()

    async def _write_stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        head: list[str],
        fault: str,
    ) -> None:
        head += ["content-type: text/event-stream", "transfer-encoding: chunked"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        # The connection breaks before the software changes.
        software = self.software
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.pause_s)
            event = _make_event(number, software)
            if fault == "stall" and number == 3:
                await asyncio.sleep(STALL_S)
            if fault == "cut" and number == 3:
                writer.write(_chunk(event[:7]))
                await writer.drain()
                writer.transport.abort()
                return
            if fault == "skip" and number == 3:
                continue
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def complete_stream_body(software: str = USUAL_SOFTWARE, after_event: int = 0) -> bytes:
    """Return the body of a complete stream, or of its rest after an event."""
    numbers = range(after_event + 1, EVENTS + 1)
    return b"".join(_make_event(number, software) for number in numbers)


def _make_event(number: int, software: str) -> bytes:
    author = "" if software == USUAL_SOFTWARE else f" by {software}"
    return f"id: {number}\ndata: word {number}{author}\n\n".encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _write_report(writer: asyncio.StreamWriter, started_ms: int) -> None:
    body = json.dumps({"born": started_ms}).encode()
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()


async def _write_health(writer: asyncio.StreamWriter, upstream_id: str) -> None:
    head = f"HTTP/1.1 200 OK\r\nserved-by: {upstream_id}\r\ncontent-length: 0\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()


async def _write_refusal(
    writer: asyncio.StreamWriter, status: str, headers: str
) -> None:
    head = f"HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()


async def _write_endlessly(
    writer: asyncio.StreamWriter, start: bytes, rest: bytes
) -> None:
    writer.write(start)
    while True:
        writer.write(rest)
        await writer.drain()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)
