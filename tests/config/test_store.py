import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.config.errors import InvalidConfig
from banyanseam.config.snapshot import (
    EMPTY_SNAPSHOT,
    CompileCache,
    Snapshot,
    Value,
    compile_snapshot,
    encode_content,
    extend_snapshot,
)
from banyanseam.config.store import ConfigStore
from banyanseam.config.versions import make_version
from tests.common import make_documents


def make_values(revision=1, **kwargs):
    base, overlays = make_documents(**kwargs)
    documents = {"base": base}
    documents |= {f"sites/{region}": site for region, site in overlays.items()}
    return {
        key: Value(key, revision, encode_content(document))
        for key, document in documents.items()
    }


def make_history(changes, era=0):
    """Return the snapshots as of each version; each change is (key, document)."""
    first = make_version(era, 1)
    history = [Snapshot(first, make_values(first))]
    for version, (key, document) in enumerate(changes, start=first + 1):
        value = Value(key, version, encode_content(document))
        history.append(Snapshot(version, {**history[-1].values, key: value}))
    return history


def organisation(rate):
    return {"rate_tokens_per_s": rate, "burst_tokens": 10}


def shard(name, rate):
    return (f"organisations/{name}", {name: organisation(rate)})


CHANGES = st.lists(
    st.builds(
        shard, st.sampled_from(["one", "two"]), st.sampled_from([-1, 0, 5, 6, 7])
    ),
    min_size=1,
    max_size=6,
)
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["organisations", "routes", "site", "seats", "a"]), inner
        )
    ),
    max_leaves=6,
)


def try_compile(snapshot, cache):
    try:
        return compile_snapshot(snapshot, cache)
    except InvalidConfig as error:
        return error.json_path, error.detail


def nest(levels):
    document = {}
    for _ in range(levels):
        document = {"a": document}
    return document


class SnapshotTests(unittest.TestCase):
    def test_faults_are_refused_with_their_path(self):
        acme = {"acme": organisation(5)}
        faults = [
            ("organisations/0", acme, "$.organisations.acme"),
            ("organisations/0", {"b": organisation(-1)}, "$.organisations.b"),
            ("organisations/0", [], "organisations/0"),
            ("sites/gulf", 7, "sites/gulf"),
            ("base", None, "$"),
            ("base", {"organisations": []}, "$.organisations"),
            ("others", {}, "others"),
            ("sites/gulf", nest(700), "sites/gulf"),
            ("base", {"site": nest(900)}, "base"),
        ]
        for key, document, path in faults:
            with self.subTest(key=key, path=path):
                values = make_values()
                values[key] = Value(key, 2, encode_content(document))
                with self.assertRaises(InvalidConfig) as caught:
                    compile_snapshot(Snapshot(2, values))
                self.assertTrue(caught.exception.json_path.startswith(path))

    @given(st.sampled_from(["base", "organisations/0", "sites/gulf"]), JSON)
    def test_any_value_compiles_or_is_refused(self, key, document):
        values = make_values() | {key: Value(key, 2, encode_content(document))}
        try:
            compile_snapshot(Snapshot(2, values))
        except InvalidConfig:
            return

    def test_shards_are_merged_and_removed(self):
        history = make_history([shard("one", 5), ("organisations/one", None)])
        self.assertIn("one", compile_snapshot(history[1]).organisations)
        self.assertNotIn("one", compile_snapshot(history[2]).organisations)

    def test_cached_parts_equal_recompiled_parts(self):
        base, overlays = make_documents()
        keyed = {
            "two": organisation(5) | {"keys": base["organisations"]["acme"]["keys"]}
        }
        ruled = base | {"residency": {"near": {"regions": ["gulf"]}}}
        homed = {"one": organisation(5) | {"residency": "near"}}
        patched = base | {"site": {"policy": {"queue_patience_ms": 7}}}
        smaller = overlays["gulf"] | {"policy": {"queue_patience_ms": 8}}
        changes = [
            shard("one", 5),
            shard("two", 6),
            ("base", ruled),
            ("organisations/one", homed),
            ("organisations/two", keyed),
            ("organisations/two", homed),
            ("base", patched),
            ("organisations/one", None),
            ("organisations/two", None),
            ("sites/gulf", smaller),
            ("sites/delta", None),
            shard("two", 5),
        ]
        cache = CompileCache()
        for snapshot in make_history(changes):
            with self.subTest(version=snapshot.version):
                self.assertEqual(
                    try_compile(snapshot, cache), try_compile(snapshot, None)
                )

    def test_listing_since_any_version_gives_the_same_snapshot(self):
        history = make_history([shard("one", 5), shard("two", 5), shard("one", 6)])
        for known in [EMPTY_SNAPSHOT, *history[:-1]]:
            with self.subTest(known=known.version):
                listing = history[-1].list_after(known.version)
                values = [history[-1].values[key] for key in listing.changed]
                self.assertEqual(extend_snapshot(known, listing, values), history[-1])


class StoreTests(unittest.TestCase):
    def test_invalid_version_leaves_the_last_valid_one_in_force(self):
        history = make_history([shard("one", 5), shard("one", -1), shard("two", 5)])
        store = ConfigStore()
        for snapshot in history:
            store.try_adopt(snapshot)
        self.assertEqual(store.config.version, 2)
        self.assertEqual(store.newest.version, 4)
        self.assertIn("$.organisations.one", str(store.rejection))
        corrected = make_history(
            [shard("one", 5), shard("one", -1), shard("two", 5), shard("one", 6)]
        )
        store.try_adopt(corrected[-1])
        self.assertEqual(store.config.version, 5)
        self.assertIsNone(store.rejection)

    def test_last_valid_version_is_adopted_after_a_newer_invalid_one(self):
        history = make_history([shard("one", 5), shard("one", -1)])
        store = ConfigStore()
        store.try_adopt(history[2])
        self.assertIsNone(store.config)
        store.try_adopt(history[1])
        self.assertEqual(store.config.version, 2)

    @given(CHANGES, CHANGES, st.data())
    def test_out_of_order_versions_never_revert_and_converge(
        self, changes, later, data
    ):
        history = make_history(changes) + make_history(later, era=1)
        stores = [ConfigStore() for _ in range(3)]
        versions = st.lists(st.sampled_from(history), max_size=5)
        for store in stores:
            last = 0
            for snapshot in data.draw(versions):
                store.try_adopt(snapshot)
                self.assertGreaterEqual(store.in_force.version, last)
                last = store.in_force.version
        for store in stores:
            for other in stores:
                store.try_adopt(other.newest)
                store.try_adopt(other.in_force)
        for store in stores:
            self.assertEqual(store.in_force, stores[0].in_force)
            self.assertEqual(store.newest, stores[0].newest)
