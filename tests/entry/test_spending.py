import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.spending import Spending, Spendings, from_table, to_table

NAMES = st.sampled_from(["acme", "birch", "cedar"])
SPENDINGS = st.lists(
    st.builds(
        Spending,
        st.sampled_from(["10.0.0.1", "10.0.0.2"]),
        st.integers(1, 3),
        st.integers(1, 50),
        st.dictionaries(NAMES, st.integers(0, 10**9)),
    ),
    max_size=8,
)


class SpendingTests(unittest.TestCase):
    @given(SPENDINGS)
    def test_a_table_says_what_was_put_in(self, spendings):
        heard = from_table(*to_table(spendings))
        self.assertEqual(len(heard), len(spendings))
        for said, spending in zip(heard, spendings, strict=True):
            self.assertEqual(
                (said.ip, said.incarnation, said.beat),
                (spending.ip, spending.incarnation, spending.beat),
            )
            spent = {name: total for name, total in said.totals.items() if total}
            expected = {name: total for name, total in spending.totals.items() if total}
            self.assertEqual(spent, expected)

    def test_a_short_row_says_nothing_of_the_rest(self):
        (heard,) = from_table(["acme", "birch"], [("10.0.0.1", 1, 1, [5])])
        self.assertEqual(heard.totals, {"acme": 5})

    def test_only_newer_words_are_kept_and_told(self):
        spendings = Spendings()
        new = Spending("10.0.0.1", 1, 5, {"acme": 50})
        self.assertTrue(spendings.take(new))
        self.assertFalse(spendings.take(Spending("10.0.0.1", 1, 4, {"acme": 40})))
        self.assertFalse(spendings.take(new))
        self.assertEqual(spendings.list_of(["10.0.0.1", "10.0.0.2"]), [new])
        restarted = Spending("10.0.0.1", 2, 1, {"acme": 0})
        self.assertTrue(spendings.take(restarted))
        self.assertEqual(spendings.list_of(["10.0.0.1"]), [restarted])


if __name__ == "__main__":
    unittest.main()
