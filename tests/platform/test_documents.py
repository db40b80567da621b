import json
import unittest

from banyanseam.config.errors import InvalidConfig
from banyanseam.entry.models import PublishedValue, UpstreamState
from banyanseam.platform.documents import (
    DEFAULT_MAX_PAUSE_MS,
    decode_config,
    decode_evacuated,
    decode_upstream,
    digest_key,
)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "short",
            "host": "A.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "gap_aim_ms": 300,
            "priority": 0,
            "service": "pool",
            "max_attempts": 2,
            "resumable": True,
            "home_regions": ["gulf", "piedmont"],
        },
        {
            "name": "long",
            "host": "a.example",
            "path_prefix": "/a/b/",
            "kind": "unsafe",
            "timeout_ms": 2000,
            "traffic_split": [
                {"service": "pool", "weight": 90},
                {"service": "desk", "weight": 0},
            ],
        },
        {
            "name": "read",
            "host": "a.example",
            "path_prefix": "/r/",
            "kind": "safe",
            "timeout_ms": 2000,
            "service": "desk",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "pool",
            "max_connections": 370,
            "warmup_s": 3.0,
            "cold_per_s": 4.5,
            "engine": {"slots": 64, "kv_tokens": 294902, "most": 12},
        },
        {"name": "desk", "max_connections": 110},
    ],
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["one", "two"],
            "unit": "token_stream",
            "plain_tokens": 200,
            "rate_per_s": 10,
            "burst": 20,
            "home_regions": ["gulf"],
        }
    ],
    "something_new": True,
}
SERVER = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "gulf-a",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 17,
}


def add_field(field):
    """Return a registration with a field that json.dumps would not write."""
    return json.dumps(SERVER)[:-1] + "," + field + "}"


INVALID_SERVERS = {
    "no json": b"\xff\x00",
    "no object": b"[]",
    "no service": json.dumps({**SERVER, "service": None}),
    "service of another type": json.dumps({**SERVER, "service": 5}),
    "no address": json.dumps({k: v for k, v in SERVER.items() if k != "address"}),
    "address without a port": json.dumps({**SERVER, "address": "10.0.0.1"}),
    "address with a name": json.dumps({**SERVER, "address": "example:80"}),
    "unknown state": json.dumps({**SERVER, "state": "asleep"}),
    "slots of another type": json.dumps({**SERVER, "slots": "many"}),
    "no slots at all": json.dumps({**SERVER, "slots": 0}),
    "negative cold time": json.dumps({**SERVER, "cold_remaining_ms": -1}),
    "start of another type": json.dumps({**SERVER, "born": "today"}),
    "nothing": b"",
    "cold time of another type": json.dumps({**SERVER, "cold_remaining_ms": "5"}),
    "deeply nested": b"[" * 100_000,
    "deeply nested beside the fields": add_field('"x":' + "[" * 9999 + "]" * 9999),
    "endless cold time": add_field('"cold_remaining_ms":1e999'),
    "cold time beyond any float": add_field('"cold_remaining_ms":' + "9" * 400),
    "endless remaining time": add_field('"remaining_ms":Infinity'),
    "remaining time that is no number": add_field('"remaining_ms":NaN'),
    "start beyond 64 bits": add_field('"born":' + "9" * 400),
    "slots beyond 64 bits": add_field('"slots":' + "9" * 400),
    "port out of range": json.dumps({**SERVER, "address": "10.0.0.1:99999"}),
    "port zero": json.dumps({**SERVER, "address": "10.0.0.1:0"}),
    "octet out of range": json.dumps({**SERVER, "address": "10.0.0.999:80"}),
    "digits of another script": json.dumps({**SERVER, "address": "10.0.0.1:\u0668"}),
    "unspecified address": json.dumps({**SERVER, "address": "0.0.0.0:80"}),
}
# An id is sent in a header.
INVALID_IDS = ("", "two words", "line\r\nbreak", "\u1234")


def publish(value, key="servers/i-1"):
    data = value if isinstance(value, bytes) else value.encode()
    return PublishedValue(key, data, 9)


class ConfigTests(unittest.TestCase):
    def setUp(self):
        self.catalogue = decode_config(json.dumps(CONFIG).encode())

    def test_a_route_declares_the_longest_pause_of_its_streams(self):
        routes = decode_config(json.dumps(CONFIG).encode()).routes["a.example"]
        pauses = {route.name: route.max_pause_ms for route in routes}
        self.assertEqual(pauses["short"], 300)
        self.assertEqual(pauses["long"], DEFAULT_MAX_PAUSE_MS)

    def test_the_longest_prefix_of_the_host_wins(self):
        find = self.catalogue.find_route
        self.assertEqual(find("a.example", "/a/x").name, "short")
        self.assertEqual(find("a.example", "/a/b/x").name, "long")
        self.assertIsNone(find("a.example", "/c/"))
        self.assertIsNone(find("b.example", "/a/x"))

    def test_idempotent_and_resumable_routes(self):
        routes = {r.name: r for r in self.catalogue.routes["a.example"]}
        self.assertTrue(routes["short"].is_idempotent)
        self.assertTrue(routes["short"].is_resumable)
        self.assertFalse(routes["long"].is_idempotent)
        self.assertTrue(routes["read"].is_idempotent)
        self.assertFalse(routes["read"].is_resumable)
        self.assertEqual(routes["long"].services, (("pool", 90.0),))

    def test_keys_are_stored_as_digests(self):
        keys = self.catalogue.organisations_by_key
        self.assertEqual(keys[digest_key(b"two")].name, "acme")
        self.assertNotIn("two", repr(self.catalogue))
        self.assertTrue(keys[digest_key(b"one")].counts_tokens)

    def test_engines_and_plain_services(self):
        self.assertEqual(self.catalogue.services["pool"].engine.memory_tokens, 294902)
        self.assertIsNone(self.catalogue.services["desk"].engine)

    def test_an_invalid_configuration_is_refused_with_its_field(self):
        for name, change in (
            ("timeout", {"timeout_ms": 0}),
            ("host", {"host": None}),
        ):
            broken = {**CONFIG, "routes": [{**CONFIG["routes"][0], **change}]}
            with self.subTest(name), self.assertRaises(InvalidConfig) as caught:
                decode_config(json.dumps(broken).encode())
            self.assertIn("routes.0", caught.exception.detail)
        with self.assertRaises(InvalidConfig):
            decode_config(b"\xff")


class UpstreamTests(unittest.TestCase):
    def test_a_registration(self):
        upstream = decode_upstream(publish(json.dumps(SERVER)))
        self.assertEqual(upstream.upstream_id, "i-1")
        self.assertEqual(upstream.state, UpstreamState.READY)
        self.assertEqual(upstream.started_ms, 17)
        leaving = {**SERVER, "state": "draining", "remaining_ms": 1500.5}
        upstream = decode_upstream(publish(json.dumps(leaving)))
        self.assertEqual(upstream.state, UpstreamState.LEAVING)
        self.assertEqual(upstream.remaining_ms, 1500)

    def test_invalid_registrations_yield_no_upstream(self):
        for name, value in INVALID_SERVERS.items():
            with self.subTest(name):
                self.assertIsNone(decode_upstream(publish(value)))

    def test_an_id_that_no_header_can_carry_names_no_upstream(self):
        for upstream_id in INVALID_IDS:
            with self.subTest(upstream_id):
                item = publish(json.dumps(SERVER), f"servers/{upstream_id}")
                self.assertIsNone(decode_upstream(item))

    def test_evacuations(self):
        self.assertEqual(decode_evacuated("op/evacuate/gulf-a"), "gulf-a")
        self.assertIsNone(decode_evacuated("op/config"))


if __name__ == "__main__":
    unittest.main()
