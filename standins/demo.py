"""Demo: three regions of three daemons each and three requests of a caller."""

import json
import sys
import time

import anyio

from standins.callers import Caller, ChatResult
from standins.fleet import Fleet, FleetPlan, start_fleet

REGIONS = ("gulf", "piedmont", "delta")
ONE_WAY_DELAY_MS = 55
LINK_BYTES_PER_S = 8_750_000
SETTLE_TIMEOUT_S = 20
EXAMPLE_CHAT = {
    "path": "/v1/chat/completions",
    "organisation": "acme",
    "model": "oak",
    "max_output_tokens": 40,
}


def remove_delta_engines(base: dict, overlays: dict[str, dict]) -> None:
    """Remove delta's engines, so that another region must answer its chats."""
    upstreams = overlays["delta"]["upstreams"]
    for name in [name for name in upstreams if "engine" in name]:
        del upstreams[name]


def print_chat(label: str, result: ChatResult) -> bool:
    """Print one chat's figures and return whether the answer is complete."""
    print(f"{label}: status {result.status}, {len(result.words)} tokens")
    if result.first_token_s is not None:
        print(f"  first token after {result.first_token_s * 1000:.0f} ms")
    print(f"  completed after {result.duration_s * 1000:.0f} ms: {result.is_whole}")
    if result.problem or result.broken:
        print(f"  {result.problem or result.broken}")
    return result.is_whole


async def explain(fleet: Fleet, seat: str) -> dict[str, dict]:
    """Return what each filter of a daemon would do with a chat, by filter name."""
    address = fleet.daemons[seat].operators_address
    body = json.dumps(EXAMPLE_CHAT).encode()
    reply = await fleet.client.request("POST", address, "/explain", body=body)
    return {step["filter"]: step for step in reply.value["steps"]}


async def wait_for_quota(fleet: Fleet) -> None:
    """Wait until the quota filter passes a chat; print why it did not at once."""
    started_s = time.monotonic()
    reason = ""
    with anyio.fail_after(SETTLE_TIMEOUT_S):
        while True:
            step = (await explain(fleet, "gulf-1"))["quota"]
            if step["verdict"] == "pass":
                break
            reason = reason or step["reason"]
            await anyio.sleep(0.1)
    waited_s = time.monotonic() - started_s
    print(f"quota ready {waited_s:.1f} s later, as a whole fleet is starting: {reason}")


async def send_requests(fleet: Fleet) -> bool:
    """Send the three requests, print the results and return whether all succeeded."""
    await wait_for_quota(fleet)
    gulf = fleet.daemons["gulf-1"].callers_address
    delta = fleet.daemons["delta-2"].callers_address
    async with Caller(fleet.keys["acme"]) as caller:
        entries = await caller.request("GET", gulf, "/v1/entries")
        names = [entry["seat"] for entry in entries.value["entries"]]
        print(f"entries, best first: {', '.join(names)}")
        succeeded = print_chat("a chat in gulf", await caller.chat(gulf, max_tokens=40))
        queue_reason = (await explain(fleet, "delta-2"))["queue"]["reason"]
        print(f"explain of a chat in delta: {queue_reason}")
        remote = await caller.chat(delta, max_tokens=40)
        succeeded &= print_chat("a chat in delta, answered elsewhere", remote)
        key = "demo-booking-1"
        ticket = await caller.request("POST", gulf, "/v1/tickets")
        if ticket.status == 200:
            key = ticket.value["ticket"]
        booked = [
            await caller.book(gulf, "/desk/book", b'{"slot": 9}', idempotency_key=key)
            for _ in range(2)
        ]
        runs = 0
        for region in REGIONS:
            recorded = await fleet.list_runs(f"{region}-service-1")
            runs += sum(recorded["by_body"].values())
        print(f"a booking, sent twice: status {booked[0].status}, ran {runs} time(s)")
        succeeded &= booked[0].status == 201 and runs == 1
    return succeeded


async def run_demo() -> bool:
    """Start the fleet, send the requests and stop the fleet."""
    plan = FleetPlan(
        regions=REGIONS,
        delay_ms=ONE_WAY_DELAY_MS,
        link_bytes_per_s=LINK_BYTES_PER_S,
        edit_documents=remove_delta_engines,
    )
    started_s = time.monotonic()
    async with start_fleet(plan) as fleet:
        ready_s = time.monotonic() - started_s
        print(f"{len(fleet.daemons)} daemons ready after {ready_s:.1f} s")
        return await send_requests(fleet)


if __name__ == "__main__":
    sys.exit(0 if anyio.run(run_demo) else 1)
