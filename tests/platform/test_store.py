import json
import unittest
from contextlib import suppress

import anyio

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.platform.store import PlatformStore

TIMEOUT_S = 5.0


def make_answer(body, *headers):
    data = json.dumps(body).encode()
    head = [b"HTTP/1.1 200 OK", b"content-length: %d" % len(data), *headers]
    return b"\r\n".join(head) + b"\r\n\r\n" + data


def call(answers, use):
    """Return the result of a call to a store that gives these answers in turn.

    That is None if the call fails as if the store were away.
    """
    left = list(answers)

    async def handle(stream):
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                await stream.send(left.pop(0))

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            store = PlatformStore(f"127.0.0.1:{port}")
            result = None
            with suppress(ConfigServiceUnavailable):
                result = await use(store)
            await store.aclose()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(run)


async def list_all(store):
    return await store.list_values("op/", may_be_stale=False, timeout_s=TIMEOUT_S)


async def watch(store):
    return await store.wait_for_changes("op/", 7, 0.0, TIMEOUT_S)


class StoreEraTests(unittest.TestCase):
    def test_answers_name_the_era_of_their_revision(self):
        for headers, era in (([], 0), ([b"Store-Era: 3"], 3)):
            with self.subTest(era=era):
                listing = call(
                    [make_answer({"items": [], "at": 9}, *headers)], list_all
                )
                self.assertEqual(listing.position, (era, 9))
                changes = call([make_answer({"events": [], "at": 9}, *headers)], watch)
                self.assertEqual(changes.position, (era, 9))

    def test_pages_of_two_eras_make_no_listing(self):
        pages = [
            make_answer(
                {"items": [{"key": "op/a", "revision": 4}], "has_more": True, "at": 9},
                b"store-era: 1",
            ),
            make_answer({"items": [], "at": 8}, b"store-era: 2"),
        ]
        self.assertIsNone(call(pages, list_all))

    def test_an_era_that_is_no_number_fails_the_answer(self):
        for era in (b"new", b"1" * 5000):
            with self.subTest(digits=len(era)):
                answer = make_answer({"events": [], "at": 9}, b"store-era: " + era)
                self.assertIsNone(call([answer], watch))


if __name__ == "__main__":
    unittest.main()
