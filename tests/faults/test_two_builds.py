"""Guards against releases that break promises while two builds serve together."""

import subprocess
import tempfile
import unittest
from pathlib import Path

import anyio

from standins.builds import (
    DOWN,
    MIXED,
    ORDERS,
    THIS_BUILD,
    UP,
    choose_builds,
    extract_build,
    make_choice,
)
from standins.processes import ROOT, Children
from tests.faults.entry_soak import (
    Process,
    Records,
    describe_violations,
    find_unproven_builds,
    find_violations,
    run_soak,
)

# Landing 14.
OLDER = "79043ef"
SEED = 20261207
DURATION_S = 2.0
VMS = 4


async def run_orders() -> dict[str, Records]:
    """Run a fleet for each order, all at once."""
    found: dict[str, Records] = {}

    async def run_order(order: str) -> None:
        with choose_builds(order, OLDER) as choose_root:
            builds = (OLDER, THIS_BUILD)
            found[order] = await run_soak(SEED, DURATION_S, VMS, choose_root, builds)

    async with anyio.create_task_group() as tasks:
        for order in ORDERS:
            tasks.start_soon(run_order, order)
    return found


class TwoBuildsTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        """Replace all VMs in each order, under traffic and with random steps."""
        print(f"soak seed {SEED}")
        options = {"use_uvloop": True}
        cls.records = anyio.run(run_orders, backend_options=options)

    def check_order(self, order: str) -> Records:
        records = self.records[order]
        print(f"{order}: {len(records.attempts)} requests, {records.describe_builds()}")
        print(f"stood still for {records.longest_pause_s:.2f} s at the longest")
        self.assertGreater(len(records.list_gone_on()), 0)
        self.assertTrue(records.exits)
        violations = find_violations(records)
        known = "\n".join(describe_violations(records, violations))
        self.assertEqual(violations, [], known)
        return records

    def list_builds(self, records: Records) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for process in records.processes:
            found.setdefault(process.vm, []).append(process.build)
        return found

    def test_replacing_the_older_build_by_this_one_breaks_no_promise(self):
        found = self.list_builds(self.check_order(UP))
        for first, *later in found.values():
            self.assertEqual(first, OLDER)
            self.assertEqual(set(later), {THIS_BUILD})

    def test_going_back_to_the_older_build_breaks_no_promise(self):
        found = self.list_builds(self.check_order(DOWN))
        for first, *later in found.values():
            self.assertEqual(first, THIS_BUILD)
            self.assertEqual(set(later), {OLDER})

    def test_vms_that_stay_at_the_older_build_break_no_promise(self):
        found = self.list_builds(self.check_order(MIXED))
        for number, builds in enumerate(found.values()):
            self.assertEqual(set(builds), {THIS_BUILD if number % 2 else OLDER})


class BuildTests(unittest.TestCase):
    """Checks that what counts as a process of the older build is one."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.children = Children(self.folder)
        self.addCleanup(self.children.close)

    def start(self, root: Path) -> list[str]:
        """Start the entry daemon's module without settings; return what it printed."""
        child = self.children.start("vm", "banyanseam.entry", root=root)
        self.assertEqual(child.read_root(), root)
        printed, _ = child.popen.communicate(timeout=20)
        return printed.decode().splitlines()

    def test_a_process_does_not_import_this_build_for_the_older_one(self):
        # A module that imports from elsewhere would not print the line added here.
        root = extract_build(OLDER, self.folder)
        with (root / "banyanseam/entry/app.py").open("a") as file:
            file.write("\nprint(__file__)\n")
        path = "banyanseam/entry/app.py"
        self.assertIn(str(root / path), self.start(root))
        self.assertNotIn(str(ROOT / path), self.start(ROOT))

    def test_an_extracted_build_is_not_the_work_in_progress(self):
        root = extract_build(OLDER, self.folder)
        for name in ("app.py", "messages.py"):
            path = f"banyanseam/entry/{name}"
            shown = subprocess.run(
                ["git", "show", f"{OLDER}:{path}"],
                cwd=ROOT,
                capture_output=True,
                check=True,
            )
            self.assertEqual((root / path).read_bytes(), shown.stdout)

    def test_a_commit_that_the_history_lacks_is_an_error(self):
        with self.assertRaisesRegex(LookupError, "0000000 is not in the history"):
            extract_build("0000000", self.folder)

    def test_a_process_whose_path_and_folder_differ_is_not_counted(self):
        popen = subprocess.Popen(
            ["sleep", "60"], cwd=self.folder, env={"PYTHONPATH": str(ROOT)}
        )
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        child = self.children.start("vm", "banyanseam.entry")
        child.popen.communicate(timeout=20)
        child.popen = popen
        with self.assertRaisesRegex(RuntimeError, "another PYTHONPATH"):
            child.read_root()

    def test_each_start_is_counted_for_its_own_vm(self):
        older = self.folder
        for order, expected in (
            (UP, (older, older, ROOT, ROOT, ROOT)),
            (DOWN, (ROOT, ROOT, older, older, older)),
            (MIXED, (older, ROOT, ROOT, older, ROOT)),
        ):
            with self.subTest(order=order):
                choose_root = make_choice(order, older)
                names = ("vm-1", "vm-2", "vm-2", "vm-1", "vm-2")
                self.assertEqual(tuple(map(choose_root, names)), expected)


class UnprovenBuildsTests(unittest.TestCase):
    def make(self, *, served: bool, replaced: bool) -> Records:
        processes = [Process("vm-1", OLDER, 1.0, True)]
        if replaced:
            processes.append(Process("vm-1", THIS_BUILD, 2.0, served))
        return Records(processes=processes, builds=(OLDER, THIS_BUILD))

    def test_a_run_in_which_a_build_did_not_serve_is_found(self):
        self.assertEqual(
            find_unproven_builds(self.make(served=False, replaced=True)),
            [f"no process of {THIS_BUILD} served"],
        )

    def test_a_vm_that_was_not_replaced_is_found(self):
        self.assertEqual(
            find_unproven_builds(self.make(served=False, replaced=False)),
            [f"no process of {THIS_BUILD} served", "vm-1 was not replaced"],
        )

    def test_a_run_of_both_builds_on_a_replaced_vm_is_in_order(self):
        records = self.make(served=True, replaced=True)
        self.assertEqual(find_violations(records), [])


if __name__ == "__main__":
    unittest.main()
