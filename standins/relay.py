"""Relay between regions: adds delay, limits bandwidth, partitions and resets.

A link is one direction between two locations; a leg is a listening port whose
connections go from one location to a target in another, over both directions.
"""

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import anyio
import click
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from standins.serving import Request, announce, run_process, serve

CHUNK_BYTES = 65_536
QUEUED_CHUNKS = 256
# A sender blocks once the link is reserved this far ahead, as with a full buffer.
MAX_BACKLOG_S = 0.1

# A socket closed with this option sends a reset instead of an orderly close.
NO_LINGER = struct.pack("ii", 1, 0)

TimedChunk = tuple[float, bytes]


@dataclass(slots=True)
class Link:
    """One direction between two locations."""

    delay_ms: float = 0
    bytes_per_s: float | None = None
    cut: bool = False
    carried_bytes: int = 0
    free_at_s: float = 0
    healed: anyio.Event = field(default_factory=anyio.Event)

    def configure(self, **changes: Any) -> None:
        """Set the given options and leave the others unchanged."""
        for name, value in changes.items():
            if name not in ("delay_ms", "bytes_per_s", "cut"):
                raise ValueError(f"unknown link option {name}")
            setattr(self, name, value)
        if not self.cut:
            self.healed.set()
            self.healed = anyio.Event()

    def describe(self) -> dict[str, Any]:
        """Return the link as JSON."""
        return {
            "delay_ms": self.delay_ms,
            "bytes_per_s": self.bytes_per_s,
            "cut": self.cut,
            "carried_bytes": self.carried_bytes,
        }

    async def wait_healed(self) -> None:
        """Wait while the link is partitioned."""
        while self.cut:
            await self.healed.wait()

    async def reserve(self, size_bytes: int) -> float:
        """Reserve the link's time for a chunk and return when the chunk arrives."""
        now_s = anyio.current_time()
        start_s = max(now_s, self.free_at_s)
        if self.bytes_per_s:
            self.free_at_s = start_s + size_bytes / self.bytes_per_s
            start_s = self.free_at_s
            await anyio.sleep(max(0, start_s - now_s - MAX_BACKLOG_S))
        self.carried_bytes += size_bytes
        return start_s + self.delay_ms / 1000


class Connection:
    """One caller's connection and, once dialled, the one to the target."""

    def __init__(self, caller_stream: SocketStream) -> None:
        """Start with the accepted connection; the target is not dialled yet."""
        self.caller_stream = caller_stream
        self.target_stream: SocketStream | None = None
        self.scope = anyio.CancelScope()
        # Stored because a stream that has closed no longer gives access to its socket.
        self._sockets: list[Any] = []
        self.track_socket(caller_stream)

    def track_socket(self, stream: SocketStream) -> None:
        """Store this stream's socket, so that `reset` breaks its connection too."""
        with suppress(OSError, AttributeError):
            self._sockets.append(stream.extra(SocketAttribute.raw_socket))

    def reset(self) -> None:
        """Break both sides at once, so that their peers receive a reset."""
        for raw in self._sockets:
            # A side that is already closed needs no reset.
            with suppress(OSError, ValueError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.scope.cancel()


@dataclass(slots=True)
class Leg:
    """A listening port and the target to which its connections are relayed."""

    name: str
    target: str
    forward: Link
    back: Link
    locations: tuple[str, str]
    address: str = ""
    connections: set["Connection"] = field(default_factory=set)


class Relay:
    """All links and legs of one relay process."""

    def __init__(self, tasks: TaskGroup) -> None:
        """Start without links and legs; the legs' tasks run in `tasks`."""
        self.tasks = tasks
        self.links: dict[tuple[str, str], Link] = {}
        self.legs: dict[str, Leg] = {}

    def find_link(self, origin: str, destination: str) -> Link:
        """Return the link of one direction, created on first use."""
        return self.links.setdefault((origin, destination), Link())

    async def open_leg(
        self, name: str, target: str, origin: str, destination: str
    ) -> Leg:
        """Listen for connections from one location to a target in another."""
        if name in self.legs:
            self.legs[name].target = target
            return self.legs[name]
        leg = Leg(
            name=name,
            target=target,
            forward=self.find_link(origin, destination),
            back=self.find_link(destination, origin),
            locations=(origin, destination),
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1024)
        port = listener.extra(SocketAttribute.local_port)
        leg.address = f"127.0.0.1:{port}"

        async def serve_connection(stream: SocketStream) -> None:
            await self._relay_connection(leg, stream)

        self.tasks.start_soon(listener.serve, serve_connection)
        self.legs[name] = leg
        return leg

    def reset(self, origin: str, destination: str) -> int:
        """Reset every connection between two locations and return how many."""
        count = 0
        for leg in self.legs.values():
            if set(leg.locations) != {origin, destination}:
                continue
            for connection in list(leg.connections):
                connection.reset()
                count += 1
        return count

    async def handle(self, request: Request) -> None:
        """Answer one request of the control port."""
        parts = request.path.strip("/").split("/")
        if parts[:2] == ["control", "links"] and len(parts) == 4:
            changes = request.read_json()
            if changes.pop("reset", False):
                self.reset(parts[2], parts[3])
            link = self.find_link(parts[2], parts[3])
            link.configure(**changes)
            await request.answer(200, link.describe())
        elif parts[:2] == ["control", "legs"] and len(parts) == 3:
            body = request.read_json()
            leg = await self.open_leg(
                parts[2], body["target"], body["from"], body["to"]
            )
            await request.answer(200, {"name": leg.name, "address": leg.address})
        else:
            await request.answer(200, self._describe())

    def _describe(self) -> dict[str, Any]:
        return {
            "links": {
                f"{origin}>{destination}": link.describe()
                for (origin, destination), link in self.links.items()
            },
            "legs": {
                name: {
                    "address": leg.address,
                    "target": leg.target,
                    "connections": len(leg.connections),
                }
                for name, leg in self.legs.items()
            },
        }

    async def _relay_connection(self, leg: Leg, caller_stream: SocketStream) -> None:
        connection = Connection(caller_stream)
        leg.connections.add(connection)
        try:
            with connection.scope:
                async with caller_stream:
                    await _dial_and_join(leg, connection)
        finally:
            leg.connections.discard(connection)


async def _dial_and_join(leg: Leg, connection: Connection) -> None:
    await leg.forward.wait_healed()
    await leg.back.wait_healed()
    await anyio.sleep((leg.forward.delay_ms + leg.back.delay_ms) / 1000)
    host, port = leg.target.rsplit(":", 1)
    try:
        target_stream = await anyio.connect_tcp(host, int(port))
    except OSError:
        connection.reset()
        return
    connection.target_stream = target_stream
    connection.track_socket(target_stream)
    async with target_stream, anyio.create_task_group() as tasks:
        tasks.start_soon(
            _relay_data,
            connection,
            connection.caller_stream,
            target_stream,
            leg.forward,
        )
        tasks.start_soon(
            _relay_data, connection, target_stream, connection.caller_stream, leg.back
        )


async def _relay_data(
    connection: Connection, source: SocketStream, sink: SocketStream, link: Link
) -> None:
    try:
        await _pump(source, sink, link)
    except* (
        OSError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        # Raised by uvloop if a side closed just before `send_eof`.
        RuntimeError,
    ):
        connection.reset()


async def _pump(source: SocketStream, sink: SocketStream, link: Link) -> None:
    send, receive = anyio.create_memory_object_stream[TimedChunk](QUEUED_CHUNKS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_deliver, receive, sink, link)
        async with send:
            while True:
                try:
                    data = await source.receive(CHUNK_BYTES)
                except anyio.EndOfStream:
                    return
                await send.send((await link.reserve(len(data)), data))


async def _deliver(receive: Any, sink: SocketStream, link: Link) -> None:
    async with receive:
        async for arrives_s, data in receive:
            await anyio.sleep_until(arrives_s)
            # TCP retransmits after a partition, so data is delayed here and never lost.
            await link.wait_healed()
            await sink.send(data)
    await link.wait_healed()
    await sink.send_eof()


async def _main(name: str, port: int) -> None:
    async with anyio.create_task_group() as tasks:
        relay = Relay(tasks)
        async with serve(relay.handle, port) as address:
            announce(name, address)
            await anyio.sleep_forever()


@click.command()
@click.option("--port", default=0)
@click.option("--name", default="relay")
def main(port: int, name: str) -> None:
    """Run a relay without legs; open them through its control port."""
    run_process(_main, name, port)


if __name__ == "__main__":
    main()
