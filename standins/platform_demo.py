"""A demonstration on stand-ins of the users' platform: regions, a kill, a story.

Four daemons in two regions read their configuration and upstreams from a store that
nobody writes but the operators and the upstreams.
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
USAGE = {"model": "m", "token-usage": "400,40", "prompt-prefix": "a1:92,b2:308"}
SETTLE_TIMEOUT_S = 10.0
LOG_S = 0.3


async def wait_known(fleet: PlatformFleet) -> None:
    """Return once each VM names all of a region; raise TimeoutError."""
    with anyio.fail_after(SETTLE_TIMEOUT_S):
        waiting = list(fleet.vms)
        while True:
            named = {name: await fleet.resolve(name, "gulf") for name in waiting}
            waiting = [name for name in waiting if len(named[name]) < REGIONS["gulf"]]
            if not waiting:
                return
            await anyio.sleep(0.1)


async def ask(fleet: PlatformFleet, vm: str, what: str, path: str, want: int) -> bool:
    """Send a request, print its end and return whether that was the expected one."""
    headers = {"request-id": f"demo-{path.split('/')[1]}-{vm}"}
    if path.startswith("/query"):
        headers |= USAGE
    started_s = time.monotonic()
    answer = await fleet.ask(vm, path, headers=headers)
    took_ms = (time.monotonic() - started_s) * 1000
    print(f"{what}: status {answer.status}, {len(answer.body)} B, {took_ms:.0f} ms")
    return answer.status == want and answer.broken is None


async def kill_one(fleet: PlatformFleet) -> bool:
    """Kill a VM and wait until callers are no longer sent to it."""
    before = await fleet.resolve("gulf-1", "gulf")
    fleet.stop("gulf-2", signal.SIGKILL)
    started_s = time.monotonic()
    with anyio.move_on_after(SETTLE_TIMEOUT_S):
        while True:
            named = await fleet.resolve("gulf-1", "gulf")
            if len(named) < len(before):
                break
            await anyio.sleep(0.1)
    took_s = time.monotonic() - started_s
    print(f"gulf-2 is killed: named {len(before)}, {len(named)} after {took_s:.1f} s")
    return len(named) < len(before)


def tell_story(fleet: PlatformFleet, request_id: str) -> bool:
    """Print what the logs of all VMs say of a request."""
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


async def show(fleet: PlatformFleet) -> bool:
    """Send requests of several kinds, kill a VM, fail a booking and tell its story."""
    good = await ask(fleet, "gulf-1", "a stream in gulf", "/query/x", 200)
    good &= await ask(fleet, "gulf-2", "a booking in gulf", "/book/x", 200)
    good &= await ask(fleet, "piedmont-1", "a booking in piedmont", "/book/x", 200)
    runs = len(fleet.upstreams["desk-1"].runs)
    print(f"the desk ran {runs} bookings")
    good &= runs == 2
    good &= await kill_one(fleet)
    good &= await ask(fleet, "gulf-1", "a stream beside it", "/query/x", 200)
    fleet.upstreams["desk-1"].faults[:] = ["no answer"]
    what = "a booking whose answer is lost"
    good &= await ask(fleet, "piedmont-2", what, "/book/x", 502)
    # A VM writes of the end of a request just after the answer is out.
    await anyio.sleep(LOG_S)
    good &= tell_story(fleet, "demo-book-piedmont-2")
    return good


async def run_demo() -> bool:
    """Start the fleet, show it, end it."""
    started_s = time.monotonic()
    async with start_platform_fleet(REGIONS, UPSTREAMS) as fleet:
        print(f"4 daemons ready after {time.monotonic() - started_s:.1f} s")
        await wait_known(fleet)
        return await show(fleet)


if __name__ == "__main__":
    sys.exit(0 if anyio.run(run_demo) else 1)
