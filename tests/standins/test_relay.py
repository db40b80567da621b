import unittest

import anyio

from standins.relay import Connection


class RelayTests(unittest.TestCase):
    def test_a_closed_connection_may_be_reset(self):
        async def scenario():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            stream = await anyio.connect_tcp("127.0.0.1", port)
            opened = Connection(stream)
            await stream.aclose()
            await listener.aclose()
            opened.reset()
            Connection(stream).reset()

        anyio.run(scenario)
