import unittest

import anyio

from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.sending import OutgoingRequest, send

HEADS = {
    "plain": (
        b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nupstream-signature: d1.s\r\n"
        b"content-length: 16\r\n\r\n"
    ),
    "without a length": b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\n\r\n",
    "of a stream": (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    ),
    "after an interim answer": (
        b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    ),
}


class BrokenHeadTests(unittest.TestCase):
    # Reported by another operator: a 200 with an empty body, framed as whole.
    def test_a_head_that_stops_at_any_byte_is_no_answer(self):
        async def run():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            parts: list[bytes] = []

            async def answer(stream):
                async with stream:
                    await stream.receive()
                    if parts[-1]:
                        await stream.send(parts[-1])

            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer)
                for name, head in HEADS.items():
                    for end in range(len(head)):
                        parts.append(head[:end])
                        with self.subTest(name, end=end):
                            await self.check_broken(port)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def check_broken(self, port: int) -> None:
        started = []
        outgoing = OutgoingRequest(
            f"127.0.0.1:{port}", "POST", b"/x", [(b"host", b"a")], b"{}", 1.0, 5.0
        )
        with self.assertRaises(ConnectionBroken):
            async with send(outgoing, lambda: started.append(1)):
                pass
        self.assertEqual(started, [1])


if __name__ == "__main__":
    unittest.main()
