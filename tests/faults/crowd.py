"""Clients outside the limits: endless bytes, requests ahead, unread answers."""

import asyncio
import socket
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from standins.platform_fleet import HOST, KEY
from standins.processes import Child

SENDERS = 40
BYTES_PER_SENDER = 6_000_000
PIECE_BYTES = 64 * 1024
# A crowd has sent what is taken from it once nothing has moved for so long.
QUIET_S = 1.0
POLL_S = 0.05
SENDING_LIMIT_S = 20.0


@dataclass(frozen=True, slots=True)
class Stream:
    """What one client sends: a start, then the same bytes without end."""

    start: bytes
    repeated: bytes


def _head(*lines: str, method: str = "GET", path: str = "/read/x") -> bytes:
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""]).encode()


_OPEN_HEAD = _head(f"host: {HOST}")[:-2]
_CHUNKED = _head(f"host: {HOST}", "transfer-encoding: chunked", method="POST")
_ENDLESS_LENGTH = "content-length: 99999999999"
_KEYED = (f"host: {HOST}", f"authorization: Bearer {KEY}", "request-id: crowd-1")

BYTES_WITHOUT_END = {
    "header value": Stream(_OPEN_HEAD + b"x: ", b"a"),
    "header name": Stream(_OPEN_HEAD, b"a"),
    "target": Stream(b"GET /", b"a"),
    "headers": Stream(_OPEN_HEAD, b"x: b\r\n"),
    "trailer value": Stream(_CHUNKED + b"1\r\na\r\n0\r\nx: ", b"a"),
    "trailers": Stream(_CHUNKED + b"1\r\na\r\n0\r\n", b"x: b\r\n"),
    "chunk extension": Stream(_CHUNKED + b"1;", b"a"),
    "chunks": Stream(_CHUNKED, b"1\r\na\r\n"),
    "body": Stream(_head(f"host: {HOST}", _ENDLESS_LENGTH, method="POST"), b"a"),
    "empty lines": Stream(b"", b"\r\n"),
}
REQUESTS_AHEAD = {
    "without a key": Stream(b"", _head(f"host: {HOST}")),
    "with a key": Stream(b"", _head(*_KEYED)),
    "with bodies": Stream(
        b"", _head(*_KEYED, "content-length: 2000", method="POST") + b"a" * 2000
    ),
    "without a host": Stream(b"", _head()),
}


class Crowd:
    """Clients that send until the process takes no more, and read nothing."""

    def __init__(self, address: str, child: Child) -> None:
        """Aim at an address of a process."""
        host, port = address.rsplit(":", 1)
        self.target = (host, int(port))
        self.child = child
        self.sent_bytes = 0
        self._sockets: list[socket.socket] = []

    async def open(self, count: int) -> None:
        """Open connections, as many as the process accepts."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            connection = socket.socket()
            # The answers stay in the process instead of in the kernel.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            self._sockets.append(connection)
            with suppress(OSError, TimeoutError):
                await asyncio.wait_for(loop.sock_connect(connection, self.target), 1.0)

    async def send(self, streams: Sequence[Stream], limit_bytes: int) -> None:
        """Send until nothing moves, or the process has more memory than the limit."""
        tasks = [
            asyncio.create_task(self._send_one(each, streams[index % len(streams)]))
            for index, each in enumerate(self._sockets)
        ]
        loop = asyncio.get_running_loop()
        began_s = moved_s = loop.time()
        seen_bytes = 0
        while not all(task.done() for task in tasks):
            await asyncio.sleep(POLL_S)
            now_s = loop.time()
            if self.sent_bytes > seen_bytes:
                seen_bytes, moved_s = self.sent_bytes, now_s
            is_quiet = now_s - moved_s > QUIET_S
            if is_quiet or now_s - began_s > SENDING_LIMIT_S:
                break
            if not self.child.is_running or read_peak_bytes(self.child) > limit_bytes:
                break
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_one(self, connection: socket.socket, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_sendall(connection, stream.start)
            if not stream.repeated:
                return
            piece = stream.repeated * (PIECE_BYTES // len(stream.repeated))
            for _ in range(BYTES_PER_SENDER // len(piece)):
                await loop.sock_sendall(connection, piece)
                self.sent_bytes += len(piece)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()


def read_peak_bytes(child: Child) -> int:
    """Return the most memory that a process has had resident."""
    for line in Path(f"/proc/{child.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmHWM")


def count_descriptors(child: Child) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{child.pid}/fd").iterdir()))
