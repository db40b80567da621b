"""Guards against logs from which the cause of a failed request cannot be found.

Each test makes a request fail, or be slow, and finds the cause by its request id with
`explain-log` on the logs of all VMs, as docs/OPERATIONS.md describes.
"""

import json
import unittest

import anyio
from click.testing import CliRunner

from banyanseam.cli.main import main
from standins.platform_fleet import START_TIMEOUT_S, PlatformFleet, start_platform_fleet
from tests.faults.test_platform import ONE_REGION, USAGE, run

END_EVENTS = (3001, 3002)


async def explain(fleet: PlatformFleet, request_id: str) -> list[dict]:
    """Return the steps of an ended request, from the logs of all VMs.

    A VM logs the end after it has sent the answer, so the line may be written late.
    """
    arguments = ["explain-log", *fleet.list_logs(), "--request", request_id, "--json"]
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            result = CliRunner().invoke(main, arguments)
            if result.exit_code == 0:
                steps = json.loads(result.stdout)["steps"]
                if steps[-1]["depth"] == 0 and steps[-1]["event"] in END_EVENTS:
                    return steps
            await anyio.sleep(0.05)


def find_step(steps: list[dict], event: int) -> dict:
    return next(step for step in steps if step["event"] == event)


def index_beliefs_by_message(step: dict) -> dict[str, dict]:
    return {belief["message"]: belief for belief in step["beliefs"]}


class ExplainTests(unittest.TestCase):
    def test_a_refusal_by_the_rate_limit_is_explained(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                heavy = USAGE | {"token-usage": "30000,70000"}
                await fleet.ask("gulf-1", "/query/x", headers=heavy)
                answer = await fleet.ask(
                    "gulf-1", "/query/x", headers=heavy | {"request-id": "refused"}
                )
                self.assertEqual(answer.status, 429)
                (step,) = await explain(fleet, "refused")
                self.assertEqual(step["fields"]["code"], "quota.exceeded")
                for part in ("100000", "needed", "1.00 of the fleet reachable"):
                    self.assertIn(part, step["fields"]["detail"])
                belief = index_beliefs_by_message(step)["A configuration is in force"]
                self.assertEqual(belief["fields"]["version"], 1)
                self.assertGreaterEqual(belief["age_ms"], 0)

        run(scenario)

    def test_a_slow_stream_is_explained(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                for name in ("e1", "e2"):
                    fleet.upstreams[name].pause_s = 0.3
                headers = USAGE | {"request-id": "late"}
                answer = await fleet.ask("gulf-1", "/summary/x", headers=headers)
                self.assertEqual(answer.status, 200)
                steps = await explain(fleet, "late")
                chosen, ended = find_step(steps, 3010), find_step(steps, 3001)
                # The engine was expected to begin at once, but was slow.
                self.assertLess(chosen["fields"]["wait_ms"], 200)
                self.assertLess(chosen["fields"]["waited_ms"], 200)
                self.assertGreater(ended["fields"]["took_ms"], 1000)
                self.assertIn(
                    "An upstream is registered", index_beliefs_by_message(chosen)
                )

        run(scenario)

    def test_a_forwarded_booking_with_an_unknown_outcome_is_explained(self):
        async def scenario():
            regions = {"gulf": 1, "piedmont": 1}
            async with start_platform_fleet(regions, ONE_REGION) as fleet:
                # Wait until the two VMs have discovered each other.
                with anyio.fail_after(START_TIMEOUT_S):
                    while True:
                        answer = await fleet.ask("piedmont-1", "/read/x")
                        if answer.status == 200:
                            break
                        await anyio.sleep(0.05)
                fleet.upstreams["d1"].faults[:] = ["no answer"]
                answer = await fleet.ask(
                    "piedmont-1", "/book/x", headers={"request-id": "unknown"}
                )
                self.assertEqual(answer.status, 502)
                steps = await explain(fleet, "unknown")
                logged = [(each["vm"], each["event"], each["depth"]) for each in steps]
                expected = [
                    ("piedmont-1", 3010, 0),
                    ("piedmont-1", 3012, 0),
                    ("gulf-1", 3010, 1),
                    ("gulf-1", 3013, 1),
                    ("gulf-1", 3011, 1),
                    ("gulf-1", 3002, 1),
                    ("piedmont-1", 3011, 0),
                    ("piedmont-1", 3002, 0),
                ]
                self.assertEqual(logged, expected)
                failed = find_step(steps, 3011)["fields"]
                self.assertEqual(failed["upstream"], "d1")
                self.assertTrue(failed["may_have_run"])
                (seen,) = [
                    each
                    for each in fleet.upstreams["d1"].runs
                    if each.headers["request-id"] == "unknown"
                ]
                self.assertEqual(seen.method, "POST")

        run(scenario)


if __name__ == "__main__":
    unittest.main()
