import hashlib
import json
import unittest
from copy import deepcopy

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanseam.config.compile import compile_config
from banyanseam.config.errors import InvalidConfig
from tests.common import KEY, digest, make_documents

GULF = "$.sites.gulf"


def change(*path, to):
    """Return a function that sets or deletes a value, creating missing parents."""

    def apply(documents):
        node = documents
        for part in path[:-1]:
            node = node.setdefault(part, {})
        if to is None:
            del node[path[-1]]
        else:
            node[path[-1]] = to

    return apply


def key(text, label):
    return {"sha256_hex": digest(text), "label": label}


ACME = ("base", "organisations", "acme")
CHAT = ("base", "routes", "chat")
CLINIC = ("base", "routes", "clinic")
ENGINE = ("gulf", "upstreams", "gulf-engine-1")
OTHER_ROUTE = {"path_prefix": "/v1/", "kind": "model", "request_class": "long"}
MAPLE = {"models": {"maple": {"version": 1, "weight_bytes": 1}}}
BIRCH = {"rate_tokens_per_s": 1, "burst_tokens": 1}

# The fault, the change that causes it, and the JSON path that must be reported.
REFUSALS = [
    ("field of base", change("base", "limits", to={}), "$.limits"),
    ("field of site", change("gulf", "speed", to=1), f"{GULF}.speed"),
    (
        "field of upstream",
        change(*ENGINE, "gpu", to=1),
        f"{GULF}.upstreams.gulf-engine-1.gpu",
    ),
    ("number as text", change(*ACME, "weight", to="2"), "$.organisations.acme.weight"),
    (
        "infinite rate",
        change(*ENGINE, "decode_tokens_per_s", to=float("inf")),
        f"{GULF}.upstreams.gulf-engine-1.decode_tokens_per_s",
    ),
    ("desired without a store", change(*ENGINE, "desired", to=MAPLE), "$.weight_store"),
    (
        "desired models without the served one",
        lambda documents: (
            change("base", "weight_store", to={"rate_bytes_per_s": 1})(documents),
            change(*ENGINE, "desired", to=MAPLE)(documents),
        ),
        f"{GULF}.upstreams.gulf-engine-1.desired.models",
    ),
    (
        "overlapping routes",
        change("base", "routes", "all", to=OTHER_ROUTE),
        "$.routes.all.path_prefix",
    ),
    (
        "reserved path",
        change(*CLINIC, "path_prefix", to="/v1/tickets/"),
        "$.routes.clinic.path_prefix",
    ),
    (
        "dots in a path",
        change(*CLINIC, "path_prefix", to="/clinic/../v2/"),
        "$.routes.clinic.path_prefix",
    ),
    (
        "daemon as upstream",
        change(*ENGINE, "address", to="127.0.0.1:10101"),
        f"{GULF}.upstreams.gulf-engine-1.address",
    ),
    (
        "daemon as upstream, with a leading zero in the port",
        change(*ENGINE, "address", to="127.0.0.1:010101"),
        f"{GULF}.upstreams.gulf-engine-1.address",
    ),
    (
        "address twice",
        change(*ENGINE, "address", to="127.0.0.1:11200"),
        "$.sites.piedmont.upstreams.piedmont-engine-1.address",
    ),
    (
        "seat's address twice",
        change("gulf", "seats", "gulf-1", "peers_address", to="127.0.0.1:10102"),
        f"{GULF}.seats.gulf-2.peers_address",
    ),
    (
        "not an IP",
        change(*ENGINE, "address", to="300.1.1.1:80"),
        f"{GULF}.upstreams.gulf-engine-1.address",
    ),
    (
        "port zero",
        change(*ENGINE, "address", to="10.0.0.1:0"),
        f"{GULF}.upstreams.gulf-engine-1.address",
    ),
    (
        "unspecified address",
        change(*ENGINE, "address", to="0.0.0.0:80"),
        f"{GULF}.upstreams.gulf-engine-1.address",
    ),
    (
        "parts that sum to more than 1",
        change(*ACME, "regional_parts", to={"gulf": 0.7, "delta": 0.4}),
        "$.organisations.acme.regional_parts",
    ),
    (
        "parts that are all 0",
        change(*ACME, "regional_parts", to={"gulf": 0.0}),
        "$.organisations.acme.regional_parts",
    ),
    (
        "part for an unknown region",
        change(*ACME, "regional_parts", to={"atlantis": 0.5}),
        "$.organisations.acme.regional_parts.atlantis",
    ),
    (
        "rule with an unknown region",
        change("base", "residency", "home", to={"regions": ["atlantis"]}),
        "$.residency.home.regions",
    ),
    (
        "rule without regions",
        change("base", "residency", "home", to={"regions": []}),
        "$.residency.home.regions",
    ),
    ("unknown rule", change(*CHAT, "residency", to="home"), "$.routes.chat.residency"),
    (
        "service route without service",
        change(*CLINIC, "service", to=None),
        "$.routes.clinic.service",
    ),
    (
        "model route with service",
        change(*CHAT, "service", to="clinic"),
        "$.routes.chat.service",
    ),
    (
        "request class of a model route",
        change(*CHAT, "request_class", to="service"),
        "$.routes.chat.request_class",
    ),
    (
        "service without upstream",
        change(*CLINIC, "service", to="desk"),
        "$.routes.clinic.service",
    ),
    (
        "model upstream for a service",
        change(*ENGINE, "serves", to=["clinic"]),
        f"{GULF}.upstreams.gulf-engine-1.kind",
    ),
    (
        "key twice",
        change(*ACME, "keys", to=[key("a", "one"), key("a", "two")]),
        "$.organisations.acme.keys[1].sha256_hex",
    ),
    (
        "label twice",
        change(*ACME, "keys", to=[key("a", "one"), key("b", "one")]),
        "$.organisations.acme.keys[1].label",
    ),
    (
        "key of another organisation",
        change("base", "organisations", "birch", to=BIRCH | {"keys": [key(KEY, "x")]}),
        "$.organisations.birch.keys[0].sha256_hex",
    ),
    (
        "empty key",
        change(*ACME, "keys", to=[key("", "one")]),
        "$.organisations.acme.keys[0].sha256_hex",
    ),
    ("region without seats", change("gulf", "seats", to={}), f"{GULF}.seats"),
    ("region's name", change("The Gulf", to={}), "$.sites.The Gulf"),
    ("site that is a list", change("gulf", to=[]), GULF),
    ("base that is a list", change("base", to=[]), "$"),
]


def compile_documents(documents):
    overlays = {name: value for name, value in documents.items() if name != "base"}
    return compile_config(1, documents["base"], overlays)


def make_all():
    base, overlays = make_documents()
    return {"base": base, **overlays}


class RefusalTests(unittest.TestCase):
    def test_invalid_documents_are_rejected_with_path_and_advice(self):
        for name, apply, json_path in REFUSALS:
            documents = make_all()
            apply(documents)
            with self.subTest(name):
                with self.assertRaises(InvalidConfig) as caught:
                    compile_documents(documents)
                self.assertEqual(caught.exception.json_path, json_path)
                self.assertGreater(len(caught.exception.detail), len(json_path) + 10)

    def test_upstreams_in_a_region_that_no_rule_allows_are_rejected(self):
        documents = make_all()
        documents["base"]["residency"] = {"home": {"regions": ["delta", "piedmont"]}}
        documents["base"]["organisations"]["acme"]["residency"] = "home"
        with self.assertRaises(InvalidConfig) as caught:
            compile_documents(documents)
        self.assertEqual(caught.exception.json_path, "$.sites.gulf.upstreams")
        documents["gulf"]["upstreams"] = {}
        self.assertIn("acme", compile_documents(documents).organisations)

    def test_organisation_rule_without_a_region_of_any_route_is_rejected(self):
        documents = make_all()
        documents["base"]["residency"] = {
            "home": {"regions": ["gulf"]},
            "away": {"regions": ["delta"]},
        }
        documents["base"]["organisations"]["acme"]["residency"] = "home"
        for route in documents["base"]["routes"].values():
            route["residency"] = "away"
        with self.assertRaises(InvalidConfig) as caught:
            compile_documents(documents)
        self.assertEqual(caught.exception.json_path, "$.organisations.acme.residency")

    def test_route_without_an_upstream_in_its_regions_is_rejected(self):
        documents = make_all()
        documents["base"]["residency"] = {"home": {"regions": ["gulf"]}}
        documents["base"]["routes"]["chat"]["residency"] = "home"
        documents["gulf"]["upstreams"] = {}
        with self.assertRaises(InvalidConfig) as caught:
            compile_documents(documents)
        self.assertEqual(caught.exception.json_path, "$.routes.chat.residency")

    def test_documents_without_sites_are_rejected(self):
        with self.assertRaises(InvalidConfig) as caught:
            compile_config(1, {}, {})
        self.assertEqual(caught.exception.json_path, "$.sites")

    def test_all_upstreams_of_a_service_may_be_leaving(self):
        documents = make_all()
        for name in ("gulf", "piedmont", "delta"):
            for upstream in documents[name]["upstreams"].values():
                upstream["leaving"] = True
        self.assertEqual(compile_documents(documents).version, 1)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["gulf", "delta", "acme", "127.0.0.1:10101", "[::1]:1", "/v1/"])
    | st.sampled_from([hashlib.sha256(b"").hexdigest(), "model", "service"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)


def list_paths(node, path=()):
    yield path
    if isinstance(node, dict):
        for name, value in node.items():
            yield from list_paths(value, (*path, name))


PATHS = [path for path in list_paths(make_all()) if path and path != ("base",)]


class PropertyTests(unittest.TestCase):
    @settings(max_examples=400)
    @given(st.lists(st.tuples(st.sampled_from(PATHS), JSON), max_size=4))
    def test_documents_compile_or_are_refused(self, changes):
        documents = deepcopy(make_all())
        for path, value in changes:
            node = documents
            for part in path[:-1]:
                node = node.get(part) if isinstance(node, dict) else None
            if isinstance(node, dict):
                node[path[-1]] = value
        self.check(
            documents["base"], {k: documents[k] for k in documents if k != "base"}
        )

    @settings(max_examples=200)
    @given(JSON, st.dictionaries(st.text(max_size=5), JSON, max_size=3))
    def test_anything_compiles_or_is_refused(self, base, overlays):
        self.check(base, overlays)

    def check(self, base, overlays):
        before = json.dumps([base, overlays])
        try:
            first = compile_config(3, base, overlays)
            self.assertEqual(first, compile_config(3, base, overlays))
            for organisation in first.organisations.values():
                parts = organisation.regional_parts
                self.assertLessEqual(sum(parts.values()), 1 + 1e-9)
                self.assertLessEqual(set(parts), first.regions)
        except InvalidConfig as error:
            self.assertTrue(error.json_path.startswith("$"))
        self.assertEqual(before, json.dumps([base, overlays]))


if __name__ == "__main__":
    unittest.main()
