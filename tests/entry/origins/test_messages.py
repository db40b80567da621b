"""Checks what messages about the origins of streams are accepted from peers."""

import unittest

import cbor2

from banyanseam.entry.origins.messages import (
    OriginMessage,
    decode_origins,
    encode_origins,
    from_origin_row,
    is_origins,
)
from banyanseam.peers.errors import InvalidPeerMessage

ROW = (1, "pool", "v1", "engine-1", 1_700_000_000_000, 250)
# More than a float holds.
HUGE = 10**400


def encode_row(row: tuple) -> bytes:
    """Return the datagram of one stream that began."""
    return cbor2.dumps([{"begun": [row]}])


class MessageTests(unittest.TestCase):
    def test_a_message_is_decoded_as_it_was_encoded(self):
        message = OriginMessage(begun=[ROW])
        data = encode_origins(message)
        self.assertTrue(is_origins(data))
        self.assertEqual(decode_origins(data), message)
        record = from_origin_row(decode_origins(data).begun[0], 10.0)
        self.assertEqual(record.begun_s, 9.75)

    def test_rows_that_no_peer_sends_are_dropped(self):
        for number, value in (
            (0, -1),
            (0, 2**64),
            (1, 1),
            (3, "engine 1"),
            (3, "engine\r\nx-banyanseam-trial: 1"),
            (3, "e" * 1000),
            (4, -1),
            (4, HUGE),
            (5, -1),
            (5, HUGE),
        ):
            row = (*ROW[:number], value, *ROW[number + 1 :])
            with self.subTest(row=str(row)[:80]), self.assertRaises(InvalidPeerMessage):
                decode_origins(encode_row(row))

    def test_bytes_that_are_no_message_are_dropped(self):
        for data in (
            b"",
            b"\x80",
            b"\x82\x00\x00",
            b"\x81" * 50_000 + b"\x00",
            b"\x9b" + (2**40).to_bytes(8) + b"\x00",
            b"\xd8\x1c\x81\xd8\x1d\x00",
            cbor2.dumps([None]),
            cbor2.dumps([{"question": {"key": -1, "services": []}}]),
        ):
            with self.subTest(data[:20]), self.assertRaises(InvalidPeerMessage):
                decode_origins(data)


if __name__ == "__main__":
    unittest.main()
