import unittest

import cbor2

from banyanseam.entry.messages import (
    Gossip,
    decode_gossip,
    encode_gossip,
    from_software_row,
    from_upstream_rows,
    make_load_tag,
    pack_ip,
    to_heartbeat_row,
    to_member_row,
    to_software_row,
    to_upstream_row,
    unpack_ip,
)
from banyanseam.entry.models import UpstreamState
from banyanseam.entry.relay_log import Direction
from banyanseam.peers.errors import InvalidPeerMessage
from tests.entry.common import make_member, make_upstream


class GossipMessageTests(unittest.TestCase):
    def test_a_heartbeat_survives_a_round_trip(self):
        leaving = make_upstream("e1", state=UpstreamState.LEAVING, remaining_ms=5)
        gossip = Gossip(
            sender="10.1.0.1",
            members=[to_member_row(make_member())],
            beats=[to_heartbeat_row(make_member("10.1.0.2"))],
            direction=Direction.ACROSS,
            loads={make_load_tag(make_upstream("e1")): (1, 2, 3, 4)},
            peer_loads={
                pack_ip("10.1.0.2"): {make_load_tag(make_upstream("e2")): (1, 2, 3, 4)}
            },
            part_uses=[("e1", "h1", 100)],
            spent_names=["acme"],
            spent=[(pack_ip("10.1.0.1"), 7, 3, True, [0, 5])],
            relayed={"delta": ({"pool": []}, ["h1"])},
            upstreams=[to_upstream_row(leaving)],
            upstreams_software=to_software_row([leaving.software]),
        )
        received = decode_gossip(encode_gossip(gossip))
        self.assertEqual(received, gossip)
        found = from_upstream_rows(received.upstreams, received.upstreams_software)
        self.assertEqual(found, [leaving])
        self.assertEqual(unpack_ip(received.beats[0][0]), "10.1.0.2")

    def test_the_software_of_upstreams_arrives_in_their_order(self):
        for versions in ([], ["v1"], ["v1"] * 3, ["v1", "v2", "v1"], ["v1", None]):
            with self.subTest(versions):
                row = to_software_row(versions)
                self.assertEqual(from_software_row(row, len(versions)), versions)

    def test_software_that_a_peer_does_not_tell_is_not_known(self):
        """The release before sends none; a malformed row names too few."""
        for row in (None, ([], []), (["v1", "v2"], []), (["v1"], [1, 7])):
            with self.subTest(row):
                self.assertEqual(from_software_row(row, 2), [None, None])

    def test_malformed_heartbeats_are_rejected(self):
        row = list(to_member_row(make_member()))
        valid = {"sender": "10.1.0.1", "members": [row]}
        for name, data in (
            ("no bytes", b""),
            ("no CBOR", b"\xff\xff"),
            ("no map", cbor2.dumps([1])),
            ("no sender", cbor2.dumps({"members": [row]})),
            ("another protocol", cbor2.dumps(valid | {"protocol": 99})),
            ("a short row", cbor2.dumps(valid | {"members": [row[:3]]})),
            (
                "a heartbeat row without a number",
                cbor2.dumps(valid | {"beats": [row[:2]]}),
            ),
            (
                "an address that is too large",
                cbor2.dumps(valid | {"beats": [(2**32, 1, 1, 1)]}),
            ),
            ("an unknown direction", cbor2.dumps(valid | {"direction": 9})),
            ("loads of another type", cbor2.dumps(valid | {"loads": 3})),
            (
                "an age that no float holds",
                cbor2.dumps(valid | {"starts": [["e1", 1, 2, 10**400]]}),
            ),
        ):
            with self.subTest(name), self.assertRaises(InvalidPeerMessage):
                decode_gossip(data)


if __name__ == "__main__":
    unittest.main()
