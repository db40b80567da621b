"""A relay between regions: adds delay, limits bandwidth, cuts and resets.

A link is one direction between two places; a leg is a listening port whose
connections go from one place to a target in another, over both directions.
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
# A sender waits once this much of the link's time is taken, as with a full buffer.
MAX_BACKLOG_S = 0.1

# A socket closed with this option sends a reset instead of an orderly end.
NO_LINGER = struct.pack("ii", 1, 0)

Piece = tuple[float, bytes]


@dataclass(slots=True)
class Link:
    """One direction between two places."""

    delay_ms: float = 0
    bytes_per_s: float | None = None
    cut: bool = False
    carried_bytes: int = 0
    free_at_s: float = 0
    healed: anyio.Event = field(default_factory=anyio.Event)

    def configure(self, **changes: Any) -> None:
        """Change what is named and leave the rest."""
        for name, value in changes.items():
            if name not in ("delay_ms", "bytes_per_s", "cut"):
                raise ValueError(f"a link has no {name}")
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
        """Wait while the link is cut."""
        while self.cut:
            await self.healed.wait()

    async def book(self, size_bytes: int) -> float:
        """Take the link's time for a piece and return when it arrives."""
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

    def __init__(self, near: SocketStream) -> None:
        """Take over what was accepted."""
        self.near = near
        self.far: SocketStream | None = None
        self.scope = anyio.CancelScope()
        # A stream that closed by itself no longer tells its socket.
        self._sockets: list[Any] = []
        self.keep(near)

    def keep(self, stream: SocketStream) -> None:
        """Break this side too when the connection is reset."""
        with suppress(OSError, AttributeError):
            self._sockets.append(stream.extra(SocketAttribute.raw_socket))

    def reset(self) -> None:
        """Break both sides at once, so that their peers see a reset."""
        for raw in self._sockets:
            # A side that is closed already has nothing left to break.
            with suppress(OSError, ValueError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.scope.cancel()


@dataclass(slots=True)
class Leg:
    """A listening port and where its connections go."""

    name: str
    target: str
    forward: Link
    back: Link
    places: tuple[str, str]
    address: str = ""
    connections: set["Connection"] = field(default_factory=set)


class Relay:
    """All links and legs of one relay process."""

    def __init__(self, tasks: TaskGroup) -> None:
        """Start without links; the legs' tasks run in the group."""
        self.tasks = tasks
        self.links: dict[tuple[str, str], Link] = {}
        self.legs: dict[str, Leg] = {}

    def find_link(self, origin: str, destination: str) -> Link:
        """Return a direction, made on first use."""
        return self.links.setdefault((origin, destination), Link())

    async def open_leg(
        self, name: str, target: str, origin: str, destination: str
    ) -> Leg:
        """Listen for connections from one place to a target in another."""
        if name in self.legs:
            self.legs[name].target = target
            return self.legs[name]
        leg = Leg(
            name=name,
            target=target,
            forward=self.find_link(origin, destination),
            back=self.find_link(destination, origin),
            places=(origin, destination),
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=1024)
        port = listener.extra(SocketAttribute.local_port)
        leg.address = f"127.0.0.1:{port}"

        async def carry(stream: SocketStream) -> None:
            await self._carry(leg, stream)

        self.tasks.start_soon(listener.serve, carry)
        self.legs[name] = leg
        return leg

    def reset(self, origin: str, destination: str) -> int:
        """Break every connection between two places and return how many."""
        count = 0
        for leg in self.legs.values():
            if set(leg.places) != {origin, destination}:
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

    async def _carry(self, leg: Leg, near: SocketStream) -> None:
        connection = Connection(near)
        leg.connections.add(connection)
        try:
            with connection.scope:
                async with near:
                    await _dial_and_join(leg, connection)
        finally:
            leg.connections.discard(connection)


async def _dial_and_join(leg: Leg, connection: Connection) -> None:
    await leg.forward.wait_healed()
    await leg.back.wait_healed()
    await anyio.sleep((leg.forward.delay_ms + leg.back.delay_ms) / 1000)
    host, port = leg.target.rsplit(":", 1)
    try:
        far = await anyio.connect_tcp(host, int(port))
    except OSError:
        connection.reset()
        return
    connection.far = far
    connection.keep(far)
    async with far, anyio.create_task_group() as tasks:
        tasks.start_soon(_carry, connection, connection.near, far, leg.forward)
        tasks.start_soon(_carry, connection, far, connection.near, leg.back)


async def _carry(
    connection: Connection, source: SocketStream, sink: SocketStream, link: Link
) -> None:
    try:
        await _pump(source, sink, link)
    except* (
        OSError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        # What uvloop raises when a side closed just before it is told to end.
        RuntimeError,
    ):
        connection.reset()


async def _pump(source: SocketStream, sink: SocketStream, link: Link) -> None:
    send, receive = anyio.create_memory_object_stream[Piece](QUEUED_CHUNKS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_deliver, receive, sink, link)
        async with send:
            while True:
                try:
                    data = await source.receive(CHUNK_BYTES)
                except anyio.EndOfStream:
                    return
                await send.send((await link.book(len(data)), data))


async def _deliver(receive: Any, sink: SocketStream, link: Link) -> None:
    async with receive:
        async for arrives_s, data in receive:
            await anyio.sleep_until(arrives_s)
            # TCP sends again what a cut swallowed, so nothing is lost, only late.
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
    """Run a relay without legs; its control port opens them."""
    run_process(_main, name, port)


if __name__ == "__main__":
    main()
