import unittest

from banyanseam.entry.region_grid import Neighbours, choose_neighbours

# Processes by data centre.
SIZES = (
    (10,),
    (9, 14),
    (33, 32),
    (30, 35),
    (36, 27),
    (57, 57),
    (3, 40),
    (1, 9),
    (171,),
)
LARGE_SIZES = SIZES[2:6]


def make_ips(sizes: tuple[int, ...]) -> dict[str, list[str]]:
    return {
        f"dc-{place}": [f"10.{place}.0.{number}" for number in range(size)]
        for place, size in enumerate(sizes)
    }


def choose_all(ips: dict[str, list[str]]) -> dict[str, Neighbours]:
    return {
        ip: choose_neighbours(ip, data_centre, ips)
        for data_centre, found in ips.items()
        for ip in found
    }


def list_reached(source: str, grid: dict[str, Neighbours], turn: int = 0) -> set[str]:
    """Return who receives a heartbeat: the row, its columns, and those across."""
    seen = {source, *grid[source].row}
    for ip in list(seen):
        seen.update(grid[ip].column)
        for other in grid[ip].list_across(turn):
            seen.update((other, *grid[other].column))
    return seen


class RegionGridTests(unittest.TestCase):
    def test_a_heartbeat_reaches_the_whole_region(self):
        for sizes in SIZES:
            ips = make_ips(sizes)
            grid = choose_all(ips)
            for turn in (0, 3):
                for source in grid:
                    with self.subTest(sizes=sizes, source=source, turn=turn):
                        self.assertEqual(list_reached(source, grid, turn), set(grid))

    def test_peers_grow_with_the_square_root_of_the_data_centre(self):
        for sizes in LARGE_SIZES:
            for ip, found in choose_all(make_ips(sizes)).items():
                with self.subTest(sizes=sizes, ip=ip):
                    count = (
                        len(found.row) + len(found.column) + len(found.list_across(1))
                    )
                    self.assertLessEqual(count, 3 * max(sizes) ** 0.5)

    def test_a_view_that_lacks_one_process_still_reaches_nearly_all_others(self):
        """The process with the old view sends to other peers than they expect."""
        ips = make_ips((33, 32))
        grid = choose_all(ips)
        source = ips["dc-0"][14]
        for missing in (ips["dc-0"][0], ips["dc-0"][16], ips["dc-1"][31]):
            view = {
                name: [ip for ip in found if ip != missing]
                for name, found in ips.items()
            }
            shifted = grid | {source: choose_neighbours(source, "dc-0", view)}
            with self.subTest(missing=missing):
                self.assertGreaterEqual(len(list_reached(source, shifted)), 53)

    def test_a_silent_process_delays_its_row_across_by_one_turn(self):
        grid = choose_all(make_ips((33, 32)))
        source, silent = "10.0.0.14", "10.0.0.13"
        self.assertIn(silent, grid[source].row)
        rest = {
            ip: found if ip != silent else Neighbours([], [], [], [])
            for ip, found in grid.items()
        }
        reached = list_reached(source, rest, 0) | list_reached(source, rest, 1)
        # In its own data centre, its column reaches the missing ones by their rows.
        other_data_centre = {ip for ip in grid if ip.startswith("10.1.")}
        self.assertLessEqual(other_data_centre, reached)

    def test_a_process_is_not_silent_in_another_data_centre_after_one_lost_message(
        self,
    ):
        grid = choose_all(make_ips((33, 32)))
        other_data_centre = {ip for ip in grid if ip.startswith("10.1.")}
        for source in set(grid) - other_data_centre:
            for turn in (0, 3, 8):
                paths = [
                    {
                        each
                        for ip in (source, *ips)
                        for each in grid[ip].list_across(turn)
                    }
                    for ips in (grid[source].row, grid[source].column)
                ]
                with self.subTest(source=source, turn=turn):
                    for receivers in paths:
                        columns = [{ip, *grid[ip].column} for ip in receivers]
                        self.assertLessEqual(other_data_centre, set().union(*columns))
                    own = set(grid[source].list_across(turn))
                    self.assertLessEqual(paths[0] & paths[1], own)

    def test_neighbours_are_mutual(self):
        grid = choose_all(make_ips((33, 32)))
        for ip, found in grid.items():
            for other in found.row:
                self.assertIn(ip, grid[other].row)
            for other in found.column:
                self.assertIn(ip, grid[other].column)


if __name__ == "__main__":
    unittest.main()
