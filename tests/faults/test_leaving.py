import unittest

import anyio

from standins.fleet import FleetPlan, start_fleet
from standins.serving import serve
from standins.vm_list import VmList
from tests.faults.checks import check_leaving
from tests.faults.records import Records
from tests.faults.scenario import PROPAGATION_LIMIT_S, Traffic, collect_runs

CALLERS = 6
# A fresh fleet withholds every quota for ten seconds.
WARM_S = 14
AFTER_S = 4
# The platform's list lags behind.
LAG_MS = 1000
BY_CONFIGURATION = "gulf-engine-1"
BY_REPORT = "piedmont-engine-1"
BY_LIST = "delta-engine-1"


class LeavingTests(unittest.TestCase):
    def test_each_source_alone_keeps_new_work_from_a_leaving_upstream(self):
        async def scenario():
            platform = VmList(lag_ms=LAG_MS)
            async with serve(platform.handle) as vm_list:
                plan = FleetPlan(
                    seats=2, engines=2, settings={"vm_list_address": vm_list}
                )
                async with start_fleet(plan) as fleet:
                    records = Records()
                    traffic = Traffic(fleet, records, seed=1)

                    async def chat() -> None:
                        while not traffic.stopping:
                            await traffic.chat(traffic.pick_daemon())

                    async with anyio.create_task_group() as tasks:
                        for _ in range(CALLERS):
                            tasks.start_soon(chat)
                        await anyio.sleep(WARM_S)
                        upstreams = fleet.overlays["gulf"]["upstreams"]
                        upstreams[BY_CONFIGURATION]["leaving"] = True
                        await fleet.publish()
                        await fleet.set_upstream_faults(BY_REPORT, reports_leaving=True)
                        platform.set_state(BY_LIST, "leaving")
                        leaving_since_s = anyio.current_time()
                        await anyio.sleep(PROPAGATION_LIMIT_S + AFTER_S)
                        traffic.stopping = True
                    await collect_runs(fleet, records)
            for name in (BY_CONFIGURATION, BY_REPORT, BY_LIST):
                with self.subTest(name):
                    began = [0, *(run["started"] for run in records.engine_runs[name])]
                    self.assertLess(
                        leaving_since_s - 2, max(began), "had no work to lose"
                    )
                    records.leaving_since_s = {name: leaving_since_s}
                    self.assertEqual(check_leaving(records), [])
            unserved = [one for one in records.attempts if not one.is_whole]
            self.assertEqual(unserved, [])

        anyio.run(scenario)
