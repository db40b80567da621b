"""Guards against partial answers without a length that look whole to callers."""

import socket
import threading
import unittest
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from itertools import count

import anyio
import httpcore

from banyanseam.entry.const import MAX_BUFFERED_ANSWER_BYTES
from standins.callers import Caller
from standins.fleet import Fleet, FleetPlan, start_fleet
from standins.platform_fleet import PlatformFleet, start_platform_fleet
from tests.faults.test_platform import USAGE
from tests.upstreams.test_unframed_answers import (
    HEAD,
    PART,
    Script,
    end_and_reset_later,
    end_early_and_read_on,
    read_and_end,
    read_and_reset,
)

# Status and body of an answer; no body if it was visibly broken.
Outcome = tuple[int, bytes | None]

# More than the upstream's kernel takes unread, but little enough to be forwarded.
BODY_BYTES = 96 * 1024
RECEIVE_BYTES = 16 * 1024
SOUND: tuple[Script, ...] = (read_and_end, end_early_and_read_on)
BROKEN: tuple[Script, ...] = (read_and_reset, end_and_reset_later)
LONG_PART = b"y" * (MAX_BUFFERED_ANSWER_BYTES + 2**20)


# No two requests are alike: one that breaks often is refused.
bodies = (str(number).zfill(BODY_BYTES).encode() for number in count())


def end_long_part_and_reset(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + LONG_PART)
    end_and_reset_later(connection, 0)


async def ask_until_run(ask: Callable[[], Awaitable[Outcome]]) -> bytes | None:
    """Repeat a request while it is refused; return a whole answer's body or None."""
    with anyio.fail_after(15):
        while True:
            status, body = await ask()
            if status != 503:
                return body if status == 200 else None
            await anyio.sleep(0.05)


class RawUpstream:
    """Answers every request by a script, on connections of its own."""

    def __init__(self) -> None:
        self.script: Script = read_and_end

    @contextmanager
    def serve(self) -> Iterator[str]:
        """Serve while the context is open and yield the address."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            threading.Thread(target=self._accept, args=(listener,)).start()
            try:
                yield f"127.0.0.1:{listener.getsockname()[1]}"
            finally:
                listener.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=self._answer, args=(connection,)).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            if connection.recv(3, socket.MSG_PEEK) == b"GET":
                connection.sendall(b"HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n")
                return
            self.script(connection, BODY_BYTES)


class EntryTests(unittest.TestCase):
    def test_a_part_before_a_reset_looks_whole_to_no_caller(self):
        async def scenario():
            upstream = RawUpstream()
            with upstream.serve() as address:
                regions = {"gulf": 1, "delta": 1}
                async with start_platform_fleet(regions, {}) as fleet:
                    for service in ("desk", "pool"):
                        fleet.register(service, address, service=service)
                    await self.check_fleet(fleet, upstream)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    async def check_fleet(self, fleet: PlatformFleet, upstream: RawUpstream) -> None:
        # The VM of the other region forwards its requests.
        for vm in fleet.vms:
            for path in ("/book/x", "/summary/x"):

                async def ask(vm: str = vm, path: str = path) -> Outcome:
                    answer = await fleet.ask(vm, path, headers=USAGE, body=next(bodies))
                    return answer.status, None if answer.broken else answer.body

                is_buffered = path == "/book/x"
                long_part = (end_long_part_and_reset,) if is_buffered else ()
                for script in SOUND + BROKEN + long_part:
                    upstream.script = script
                    with self.subTest(script.__name__, vm=vm, path=path):
                        expected = PART if script in SOUND else None
                        self.assertEqual(await ask_until_run(ask), expected)


class DaemonTests(unittest.TestCase):
    def test_a_part_before_a_reset_looks_whole_to_no_caller(self):
        async def scenario():
            upstream = RawUpstream()
            with upstream.serve() as address:
                async with (
                    start_fleet(FleetPlan(seats=1)) as fleet,
                    Caller(fleet.keys["acme"]) as caller,
                ):
                    await self.move_desk(fleet, address)
                    for seat in ("gulf-1", "delta-1"):
                        await self.check_seat(fleet, caller, upstream, seat)

        anyio.run(scenario)

    async def move_desk(self, fleet: Fleet, address: str) -> None:
        """Publish a single upstream of the desk, in gulf."""
        for region, overlay in fleet.overlays.items():
            upstreams = overlay["upstreams"]
            for name in [name for name in upstreams if "engine" not in name]:
                if region == "gulf":
                    upstreams[name]["address"] = address
                else:
                    del upstreams[name]
        await fleet.publish()

    async def check_seat(
        self, fleet: Fleet, caller: Caller, upstream: RawUpstream, seat: str
    ) -> None:
        async def ask() -> Outcome:
            address = fleet.daemons[seat].callers_address
            try:
                answer = await caller.request(
                    "POST", address, "/desk/x", body=next(bodies)
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return 0, None
            return answer.status, answer.content

        for script in SOUND + BROKEN + (end_long_part_and_reset,):
            upstream.script = script
            expected = PART if script in SOUND else None
            with self.subTest(script.__name__, seat=seat):
                self.assertEqual(await ask_until_run(ask), expected)


if __name__ == "__main__":
    unittest.main()
