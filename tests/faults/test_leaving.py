"""Guards against new requests to an upstream that is leaving.

Under load, one engine is marked as leaving in the configuration, another reports it
itself and a third is listed as leaving by the platform, whose list lags.
"""

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
WARM_UP_S = 14
OBSERVED_S = 4
# The platform's list of VMs lags by this.
VM_LIST_LAG_MS = 1000
LEAVING_BY_CONFIGURATION = "gulf-engine-1"
LEAVING_BY_REPORT = "piedmont-engine-1"
LEAVING_BY_LIST = "delta-engine-1"


class LeavingTests(unittest.TestCase):
    def test_each_source_alone_keeps_new_work_from_a_leaving_upstream(self):
        async def scenario():
            platform = VmList(lag_ms=VM_LIST_LAG_MS)
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
                        await anyio.sleep(WARM_UP_S)
                        upstreams = fleet.overlays["gulf"]["upstreams"]
                        upstreams[LEAVING_BY_CONFIGURATION]["leaving"] = True
                        await fleet.publish()
                        await fleet.set_upstream_faults(
                            LEAVING_BY_REPORT, reports_leaving=True
                        )
                        platform.set_state(LEAVING_BY_LIST, "leaving")
                        leaving_since_s = anyio.current_time()
                        await anyio.sleep(PROPAGATION_LIMIT_S + OBSERVED_S)
                        traffic.stopping = True
                    await collect_runs(fleet, records)
            for name in (LEAVING_BY_CONFIGURATION, LEAVING_BY_REPORT, LEAVING_BY_LIST):
                with self.subTest(name):
                    starts = [0, *(run["started"] for run in records.engine_runs[name])]
                    self.assertLess(
                        leaving_since_s - 2,
                        max(starts),
                        "no request started shortly before it was leaving",
                    )
                    records.leaving_since_s = {name: leaving_since_s}
                    self.assertEqual(check_leaving(records), [])
            unserved = [attempt for attempt in records.attempts if not attempt.is_whole]
            self.assertEqual(unserved, [])

        anyio.run(scenario)
