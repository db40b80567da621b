import unittest

from banyanseam.entry.directory import MAX_ADDRESSES, choose_entries
from tests.entry.common import make_member

HOMES = [frozenset({"gulf", "piedmont"}), frozenset({"gulf"}), frozenset({"gulf", "x"})]


class DirectoryTests(unittest.TestCase):
    def test_callers_get_vms_of_their_own_region(self):
        members = [make_member("10.1.0.1"), make_member("10.2.0.1", "piedmont")]
        chosen = choose_entries(members, "piedmont", "piedmont-a")
        self.assertEqual([each.ip for each in chosen], ["10.2.0.1"])

    def test_vms_of_the_own_data_centre_are_preferred(self):
        members = [
            make_member("10.1.0.1", data_centre="gulf-a"),
            make_member("10.1.0.2", data_centre="gulf-b"),
        ]
        chosen = choose_entries(members, "gulf", "gulf-b")
        self.assertEqual([each.ip for each in chosen], ["10.1.0.2"])
        self.assertEqual(len(choose_entries(members, "gulf", "gulf-c")), 2)

    def test_leaving_vms_are_returned_only_if_a_region_has_no_others(self):
        leaving = make_member("10.1.0.1", is_serving=False)
        serving = make_member("10.1.0.2")
        self.assertEqual(choose_entries([leaving, serving], "gulf", ""), [serving])
        # Found by a randomised run: during a rolling stop all VMs of a region were
        # leaving at once, and its callers were sent to VMs outside their home regions.
        elsewhere = make_member("10.3.0.1", "delta")
        self.assertEqual(choose_entries([leaving, elsewhere], "gulf", ""), [leaving])

    def test_a_region_without_vms_falls_back_to_the_home_of_most_routes(self):
        members = [
            make_member("10.2.0.1", "piedmont"),
            make_member("10.3.0.1", "delta"),
            make_member("10.1.0.1", "gulf"),
        ]
        chosen = choose_entries(members[:2], "gulf", "gulf-a", HOMES)
        self.assertEqual([each.ip for each in chosen], ["10.2.0.1"])
        chosen = choose_entries(members, "x", "x-a", HOMES)
        self.assertEqual([each.ip for each in chosen], ["10.1.0.1"])

    def test_no_members_give_an_empty_answer(self):
        self.assertEqual(choose_entries([], "gulf", "gulf-a", HOMES), [])

    def test_the_answer_is_limited_to_the_maximum_of_addresses(self):
        members = [make_member(f"10.1.0.{number}") for number in range(200)]
        chosen = choose_entries(members, "gulf", "gulf-a")
        self.assertEqual(len(chosen), MAX_ADDRESSES)


if __name__ == "__main__":
    unittest.main()
