"""Guards against partial answers without a length that are taken as whole.

Upstreams in trouble answer early, end or reset the connection, or send odd statuses.
"""

import socket
import struct
import threading
import time
import unittest
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import anyio

from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.sending import OutgoingRequest
from banyanseam.entry.sending import send as send_from_entry
from banyanseam.upstreams.client import UpstreamClient
from banyanseam.upstreams.errors import UpstreamFailed
from tests.common import make_config
from tests.upstreams.test_client import make_request

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"upstream-signature: d1.s\r\n\r\n"
)
PART = b"id: 1\ndata: a\n\n"
SIZES = (100, 2**20, 2**23)
PAUSE_S = 0.05
GIVE_UP_S = 10.0
# How long an answer that must not end is waited for.
NO_END_S = 0.5
# What the upstream's kernel takes of a request that is not read.
RECEIVE_BYTES = 64 * 1024

# Set once the request has ended.
has_ended = threading.Event()

Script = Callable[[socket.socket, int], None]


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def read_request(connection: socket.socket, size_bytes: int) -> None:
    """Read the rest of a request with a body of this size."""
    left_bytes = size_bytes
    while b"\r\n\r\n" not in (data := connection.recv(4096, socket.MSG_PEEK)):
        pass
    left_bytes += data.index(b"\r\n\r\n") + 4
    while left_bytes:
        left_bytes -= len(connection.recv(min(left_bytes, 2**20)))


def reset_at_once(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + PART)
    reset(connection)


def reset_later(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + PART)
    time.sleep(PAUSE_S)
    reset(connection)


def end_and_reset_at_once(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + PART)
    connection.shutdown(socket.SHUT_WR)
    reset(connection)


def end_and_reset_later(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + PART)
    connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)
    reset(connection)


def end_and_read_nothing(connection: socket.socket, _: int) -> None:
    connection.sendall(HEAD + PART)
    connection.shutdown(socket.SHUT_WR)
    has_ended.wait(GIVE_UP_S)


def read_and_reset(connection: socket.socket, size_bytes: int) -> None:
    read_request(connection, size_bytes)
    connection.sendall(HEAD + PART)
    reset(connection)


def read_and_end(connection: socket.socket, size_bytes: int) -> None:
    read_request(connection, size_bytes)
    connection.sendall(HEAD + PART)
    connection.close()


def answer_early_and_read_on(connection: socket.socket, size_bytes: int) -> None:
    connection.sendall(HEAD + PART)
    time.sleep(PAUSE_S)
    read_request(connection, size_bytes)
    connection.close()


def end_early_and_read_on(connection: socket.socket, size_bytes: int) -> None:
    connection.sendall(HEAD + PART)
    connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)
    read_request(connection, size_bytes)
    connection.close()


def answer_with(answer: bytes) -> Script:
    """Return a script that reads a request and sends these bytes."""

    def script(connection: socket.socket, size_bytes: int) -> None:
        read_request(connection, size_bytes)
        connection.sendall(answer)
        connection.close()

    return script


def run_upstream(listener: socket.socket, script: Script, size_bytes: int) -> None:
    """Accept one connection and answer it by the script."""
    connection, _ = listener.accept()
    # Callers that give up reset the connection.
    with connection, suppress(OSError):
        connection.recv(1, socket.MSG_PEEK)
        script(connection, size_bytes)


async def ask_from_entry(port: int, body: bytes) -> bytes:
    """Return the whole answer as an entry daemon gets it."""
    outgoing = OutgoingRequest(
        f"127.0.0.1:{port}", "POST", b"/x", [(b"host", b"a")], body, 1.0, GIVE_UP_S
    )
    async with send_from_entry(outgoing, lambda: None) as incoming:
        return b"".join([chunk async for chunk in incoming.body])


async def ask_from_daemon(port: int, body: bytes) -> bytes:
    """Return the whole answer as a daemon with published seats gets it."""
    engine = make_config().upstreams["gulf-engine-1"]
    upstream = replace(engine, address=f"127.0.0.1:{port}")
    request = replace(make_request(read_timeout_s=GIVE_UP_S), body=body)
    client = UpstreamClient()
    try:
        async with client.open(upstream, request, lambda: None) as answer:
            return b"".join([chunk async for chunk in answer.body])
    finally:
        await client.aclose()


class UnframedAnswerTests(unittest.TestCase):
    def check_all(
        self,
        scripts: dict[str, tuple[Script, tuple[int, ...]]],
        expected: bytes | str,
        give_up_s: float = GIVE_UP_S,
    ) -> None:
        """Check an outcome for both daemons, on both event loops."""
        for ask in (ask_from_entry, ask_from_daemon):
            for use_uvloop in (True, False):
                for name, (script, sizes) in scripts.items():
                    for size_bytes in sizes:
                        with self.subTest(
                            name,
                            ask=ask.__name__,
                            use_uvloop=use_uvloop,
                            size_bytes=size_bytes,
                        ):
                            found = self.find_outcome(
                                ask, script, size_bytes, use_uvloop, give_up_s
                            )
                            self.assertEqual(found, expected)

    def find_outcome(
        self,
        ask: Callable,
        script: Script,
        size_bytes: int,
        use_uvloop: bool,
        give_up_s: float,
    ) -> bytes | str:
        """Return an answer that counts as whole, else "broken" or "no end"."""

        async def run(port: int) -> bytes | str:
            try:
                with anyio.fail_after(give_up_s):
                    return await ask(port, b"x" * size_bytes)
            except (ConnectionBroken, UpstreamFailed):
                return "broken"
            except TimeoutError:
                return "no end"

        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            arguments = (listener, script, size_bytes)
            upstream = threading.Thread(target=run_upstream, args=arguments)
            has_ended.clear()
            upstream.start()
            port = listener.getsockname()[1]
            try:
                return anyio.run(run, port, backend_options={"use_uvloop": use_uvloop})
            finally:
                has_ended.set()
                upstream.join()

    def test_a_reset_that_follows_a_part_ends_no_answer(self):
        self.check_all(
            {
                "at once": (reset_at_once, SIZES),
                "later": (reset_later, SIZES),
                "after the request": (read_and_reset, SIZES),
            },
            "broken",
        )

    # An end of stream hid the reset that followed while the request was being sent.
    def test_an_end_of_stream_hides_no_reset(self):
        self.check_all(
            {
                "at once": (end_and_reset_at_once, SIZES[1:]),
                "later": (end_and_reset_later, SIZES[1:]),
            },
            "broken",
        )

    def test_an_answer_has_no_end_before_its_request_has_arrived(self):
        scripts = {"unread": (end_and_read_nothing, SIZES[1:])}
        self.check_all(scripts, "no end", NO_END_S)

    def test_sound_answers_end_with_their_connection(self):
        self.check_all(
            {
                "late": (read_and_end, SIZES),
                "early": (answer_early_and_read_on, SIZES),
                "early and ended": (end_early_and_read_on, SIZES),
            },
            PART,
        )

    def test_only_statuses_from_200_to_599_are_answers(self):
        scripts = {
            status: (answer_with(b"HTTP/1.1 %s\r\n\r\nbody" % status), SIZES[:1])
            for status in (
                *(b"000 x", b"099 x", b"100 x", b"101 x", b"199 x", b"600 x"),
                *(b"999 x", b"1000 x", b"20 x", b"-1 x", b"2 00 x", b" x", b""),
            )
        }
        self.check_all(scripts, "broken")


if __name__ == "__main__":
    unittest.main()
