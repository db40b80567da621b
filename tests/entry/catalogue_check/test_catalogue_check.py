import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.config.errors import InvalidConfig
from banyanseam.entry.catalogue_check.changes import list_changes
from banyanseam.entry.catalogue_check.limits import list_contradictions
from banyanseam.entry.catalogue_check.matching import list_unservable
from banyanseam.platform.check import list_errors
from banyanseam.platform.documents import decode_config
from standins.platform_fleet import make_config

REGIONS = frozenset({"gulf", "delta"})


def decode(config: dict[str, Any]):
    return decode_config(json.dumps(config).encode())


def change(section: str, index: int, **fields: Any) -> dict[str, Any]:
    config = make_config()
    config[section][index] |= fields
    return config


class WarningTests(unittest.TestCase):
    def test_a_sound_configuration_has_no_warnings(self):
        catalogue = decode(make_config())
        self.assertEqual(list(list_unservable(catalogue, REGIONS)), [])
        self.assertEqual(list(list_contradictions(catalogue)), [])

    def test_entries_that_never_match_or_are_never_served(self):
        in_delta = change("tenants", 0, home_regions=["delta"])
        spare = make_config()
        spare["services"].append({"name": "spare"})
        keyless = change("tenants", 0, api_keys=[])
        cases = {
            "summary never matches: route query": change(
                "routes", 1, path_prefix="/query/"
            ),
            "does not begin with a slash": change("routes", 1, path_prefix="x/"),
            "query has no service": change("routes", 0, service=None),
            "names the unknown service no": change("routes", 0, service="no"),
            "service spare has no route": spare,
            "organisation acme has no key": keyless,
            "query admits nobody": keyless,
            "acme is always refused on route kept": in_delta,
            "query names unknown home regions: moon": change(
                "routes", 0, home_regions=["moon"]
            ),
        }
        for expected, config in cases.items():
            with self.subTest(expected):
                found = "\n".join(list_unservable(decode(config), REGIONS))
                self.assertIn(expected, found)

    def test_limits_that_contradict_one_another(self):
        cases = {
            "query ends requests after 500 ms": change("routes", 0, timeout_ms=500),
            "query allows pauses of 9000 ms": change("routes", 0, gap_aim_ms=9000),
            "pool allows 9 connections": change("services", 0, max_connections=9),
            "acme has a burst of 10": change("tenants", 0, burst=10),
            "burst that is never refilled": change("tenants", 0, rate_per_s=0),
            "pool has routes with targets from 800 to 5000": change(
                "routes", 1, target_latency_ms=5000, timeout_ms=9000
            ),
        }
        for expected, config in cases.items():
            with self.subTest(expected):
                self.assertIn(expected, "\n".join(list_contradictions(decode(config))))


class ChangeTests(unittest.TestCase):
    def list(self, config: dict[str, Any]) -> list[str]:
        return list(list_changes(decode(make_config()), decode(config)))

    def test_only_a_newer_version_is_no_change(self):
        self.assertEqual(self.list(make_config() | {"version": 5}), [])

    def test_a_version_that_is_not_newer_is_said(self):
        self.assertIn("version 0 is not newer than 0", self.list(make_config())[0])

    def test_routes_of_one_name_are_told_apart(self):
        before, after = make_config(), make_config()
        for config in (before, after):
            config["routes"][1]["name"] = "query"
        after["routes"][0]["timeout_ms"] = 4000
        found = list(list_changes(decode(before), decode(after | {"version": 1})))
        self.assertEqual(len(found), 1)
        self.assertIn("query (a.example/query/): timeout_ms 3000 becomes", found[0])

    def test_each_difference_is_named_with_its_effect(self):
        config = change("routes", 0, timeout_ms=4000) | {"version": 2}
        removed = config["routes"].pop(3)
        config["tenants"][0]["api_keys"] = ["another-key"]
        config["limits"] = {"idle_timeout_ms": 9000}
        found = "\n".join(self.list(config))
        for expected in (
            "route query: timeout_ms 3000 becomes 4000",
            f"route {removed['name']} is removed",
            "is withdrawn; requests with it are answered with 401",
            "organisation acme: key",
            "limit idle_timeout_ms: 15000 becomes 9000",
        ):
            with self.subTest(expected):
                self.assertIn(expected, found)
        # Keys are never printed.
        self.assertNotIn("another-key", found)
        self.assertNotIn("key-of-acme", found)


class ErrorTests(unittest.TestCase):
    def test_all_errors_are_listed(self):
        config = change("routes", 2, timeout_ms=0)
        config["routes"][0]["host"] = 7
        del config["version"]
        found = "\n".join(list_errors(json.dumps(config).encode()))
        for where in ("routes.2.timeout_ms", "routes.0.host", "version"):
            self.assertIn(where, found)

    @given(
        st.sampled_from(["routes", "services", "tenants", "limits", "version"]),
        st.sampled_from(["name", "kind", "timeout_ms", "priority", "burst", "engine"]),
        st.one_of(st.none(), st.integers(-5, 5), st.text(max_size=3), st.booleans()),
    )
    def test_errors_are_what_a_daemon_refuses(self, section, name, value):
        config = make_config()
        if isinstance(config[section], list):
            config[section][0][name] = value
        else:
            config[section] = value
        data = json.dumps(config).encode()
        try:
            decode_config(data)
        except InvalidConfig:
            self.assertNotEqual(list_errors(data), [])
        else:
            self.assertEqual(list_errors(data), [])


if __name__ == "__main__":
    unittest.main()
