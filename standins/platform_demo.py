"""Demo on stand-ins of the users' platform: requests, a killed VM, a request log.

Four daemons in two regions read their configuration and upstreams from a store that
only the operators and the upstreams write to.
"""

import json
import signal
import sys
import time

import anyio
from click.testing import CliRunner

from banyanseam.cli.main import main
from standins.platform_fleet import PlatformFleet, start_platform_fleet

REGIONS = {"gulf": 2, "piedmont": 2}
UPSTREAMS = {
    "engine-1": ("pool", "gulf"),
    "engine-2": ("pool", "gulf"),
    "engine-3": ("pool", "piedmont"),
    "desk-1": ("desk", "gulf"),
}
USAGE_HEADERS = {"model": "m", "token-usage": "400,40", "prompt-prefix": "a1:92,b2:308"}
SETTLE_TIMEOUT_S = 10.0
LOG_DELAY_S = 0.3


async def wait_resolved(fleet: PlatformFleet) -> None:
    """Return once each VM resolves all VMs of gulf; raise TimeoutError."""
    with anyio.fail_after(SETTLE_TIMEOUT_S):
        waiting = list(fleet.vms)
        while True:
            resolved = {name: await fleet.resolve(name, "gulf") for name in waiting}
            waiting = [
                name for name in waiting if len(resolved[name]) < REGIONS["gulf"]
            ]
            if not waiting:
                return
            await anyio.sleep(0.1)


async def ask(
    fleet: PlatformFleet, vm: str, label: str, path: str, expected_status: int
) -> bool:
    """Send a request, print the result and return whether it was the expected one."""
    headers = {"request-id": f"demo-{path.split('/')[1]}-{vm}"}
    if path.startswith("/query"):
        headers |= USAGE_HEADERS
    started_s = time.monotonic()
    answer = await fleet.ask(vm, path, headers=headers)
    took_ms = (time.monotonic() - started_s) * 1000
    print(f"{label}: status {answer.status}, {len(answer.body)} B, {took_ms:.0f} ms")
    return answer.status == expected_status and answer.broken is None


async def kill_one(fleet: PlatformFleet) -> bool:
    """Kill a VM and wait until it is no longer resolved for callers."""
    before = await fleet.resolve("gulf-1", "gulf")
    fleet.stop("gulf-2", signal.SIGKILL)
    started_s = time.monotonic()
    with anyio.move_on_after(SETTLE_TIMEOUT_S):
        while True:
            resolved = await fleet.resolve("gulf-1", "gulf")
            if len(resolved) < len(before):
                break
            await anyio.sleep(0.1)
    took_s = time.monotonic() - started_s
    print(
        f"gulf-2 killed: {len(before)} resolved, {len(resolved)} after {took_s:.1f} s"
    )
    return len(resolved) < len(before)


def print_request_log(fleet: PlatformFleet, request_id: str) -> bool:
    """Print the steps of a request from the logs of all VMs."""
    arguments = ["explain-log", *fleet.list_logs(), "--request", request_id, "--json"]
    result = CliRunner().invoke(main, arguments)
    if result.exit_code != 0:
        print(result.stderr)
        return False
    for step in json.loads(result.stdout)["steps"]:
        indent = "  " * (step["depth"] + 1)
        code = step["fields"].get("code", "")
        print(f"{indent}{step['vm']} {step['event']} {step['message']} {code}".rstrip())
    return True


async def send_requests(fleet: PlatformFleet) -> bool:
    """Send several kinds of requests, kill a VM, fail a booking and print its log."""
    succeeded = await ask(fleet, "gulf-1", "a stream in gulf", "/query/x", 200)
    succeeded &= await ask(fleet, "gulf-2", "a booking in gulf", "/book/x", 200)
    succeeded &= await ask(fleet, "piedmont-1", "a booking in piedmont", "/book/x", 200)
    runs = len(fleet.upstreams["desk-1"].runs)
    print(f"the desk ran {runs} bookings")
    succeeded &= runs == 2
    succeeded &= await kill_one(fleet)
    succeeded &= await ask(fleet, "gulf-1", "a stream after the kill", "/query/x", 200)
    fleet.upstreams["desk-1"].faults[:] = ["no answer"]
    label = "a booking whose answer is lost"
    succeeded &= await ask(fleet, "piedmont-2", label, "/book/x", 502)
    # A VM logs the end of a request shortly after it has sent the answer.
    await anyio.sleep(LOG_DELAY_S)
    succeeded &= print_request_log(fleet, "demo-book-piedmont-2")
    return succeeded


async def run_demo() -> bool:
    """Start the fleet, send the requests and stop the fleet."""
    started_s = time.monotonic()
    async with start_platform_fleet(REGIONS, UPSTREAMS) as fleet:
        print(f"4 daemons ready after {time.monotonic() - started_s:.1f} s")
        await wait_resolved(fleet)
        return await send_requests(fleet)


if __name__ == "__main__":
    sys.exit(0 if anyio.run(run_demo) else 1)
