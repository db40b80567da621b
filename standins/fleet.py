"""A complete fleet on one host: stand-ins, relay and daemons as processes."""

import json
import random
import secrets
import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpcore

from banyanseam.config.split import split_documents
from standins.callers import Caller
from standins.fleet_plan import (
    PLATFORM,
    Daemon,
    Documents,
    FleetPlan,
    OrganisationPlan,
    UpstreamProcess,
    make_base,
    make_overlay,
    write_settings,
)
from standins.ports import find_free_ports
from standins.processes import Child, Children

__all__ = ["Daemon", "Fleet", "FleetPlan", "OrganisationPlan", "start_fleet"]

READY_TIMEOUT_S = 30.0
POLL_S = 0.05


class Fleet:
    """The processes of one fleet; created by `start_fleet`."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Choose the seats' addresses and keys without starting any process."""
        self.plan = plan
        self.folder = folder
        self.children = Children(folder)
        self.client = Caller()
        self.keys = {name: secrets.token_urlsafe(32) for name in plan.organisations}
        self.daemons = self._choose_addresses()
        self.upstreams: dict[str, UpstreamProcess] = {}
        self.config_service: Child | None = None
        self.relay: Child | None = None
        self.base: Documents = {}
        self.overlays: dict[str, Documents] = {}
        self.published: dict[str, Documents] = {}

    @property
    def upstream_regions(self) -> dict[str, str]:
        """Return the region of each upstream by name."""
        return {name: upstream.region for name, upstream in self.upstreams.items()}

    def list_daemons(self, region: str) -> list[Daemon]:
        """Return a region's daemons in order of name."""
        return [daemon for daemon in self.daemons.values() if daemon.region == region]

    async def start(self) -> None:
        """Start everything and wait until every daemon is ready."""
        await self._start_platform()
        await self._start_upstreams()
        self.base = make_base(self.plan, self.keys)
        self.overlays = {
            region: make_overlay(
                self.plan,
                self.list_daemons(region),
                [
                    upstream
                    for upstream in self.upstreams.values()
                    if upstream.region == region
                ],
            )
            for region in self.plan.regions
        }
        if self.plan.edit_documents is not None:
            self.plan.edit_documents(self.base, self.overlays)
        await self.publish()
        await self._write_settings()
        for seat in self.daemons:
            self.spawn(seat)
        await self.wait_ready()

    async def publish(self) -> int:
        """Publish the values that differ from those published; return the revision."""
        revision = 0
        values = split_documents(self.base, self.overlays)
        deleted = dict.fromkeys(set(self.published) - set(values))
        for key, value in (values | deleted).items():
            if value is not None and self.published.get(key) == value:
                continue
            reply = await self._put(
                self.config_service.address, f"/control/values/{key}", value
            )
            revision = reply["revision"]
        self.published = json.loads(json.dumps(values))
        return revision

    async def set_config_faults(self, **faults: Any) -> Documents:
        """Set faults of the configuration service and return its counters."""
        return await self._put(self.config_service.address, "/control", faults)

    async def set_upstream_faults(self, name: str, **faults: Any) -> Documents:
        """Set faults of one upstream and return its state."""
        return await self._put(self.upstreams[name].address, "/control", faults)

    async def list_runs(self, name: str) -> Any:
        """Return the runs that one upstream recorded."""
        address = self.upstreams[name].address
        return (await self.client.request("GET", address, "/control/runs")).value

    def spawn(self, seat: str) -> Child:
        """Start a new process at a seat, without waiting for it."""
        daemon = self.daemons[seat]
        daemon.child = self.children.start(
            seat, self.plan.daemon_module, "--settings", str(daemon.settings_path)
        )
        return daemon.child

    async def wait_ready(self, *seats: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until these daemons, or all, report that they are ready."""
        async with anyio.create_task_group() as tasks:
            for seat in seats or self.daemons:
                tasks.start_soon(self._wait_daemon_ready, self.daemons[seat], timeout_s)

    def kill(self, seat: str) -> None:
        """Send SIGKILL to a daemon, which ends it as the loss of its VM would."""
        self.daemons[seat].child.signal(signal.SIGKILL)

    def suspend(self, seat: str) -> None:
        """Suspend a daemon's process."""
        self.daemons[seat].child.signal(signal.SIGSTOP)

    def resume(self, seat: str) -> None:
        """Resume a suspended process."""
        self.daemons[seat].child.signal(signal.SIGCONT)

    async def stop(self, seat: str, timeout_s: float = 60.0) -> int:
        """Send SIGTERM to a daemon and return its exit code."""
        child = self.daemons[seat].child
        child.signal(signal.SIGTERM)
        return await child.wait(timeout_s)

    async def restart(self, seat: str) -> None:
        """Kill a daemon if it runs, start a new one and wait until it is ready."""
        self.kill(seat)
        await self.daemons[seat].child.wait()
        self.spawn(seat)
        await self.wait_ready(seat)

    async def restart_upstream(self, name: str) -> None:
        """Kill an upstream if it runs and start it again on the same port."""
        old = self.upstreams[name].child
        old.signal(signal.SIGKILL)
        await old.wait()
        port = old.address.rsplit(":", 1)[1]
        child = self.children.start(name, *old.command, "--port", port)
        await child.read_announcement()
        self.upstreams[name].child = child

    async def partition(self, region: str, other: str) -> None:
        """Partition two regions: no data passes, but connections stay open."""
        await self._set_links(region, other, cut=True)

    async def heal(self, region: str, other: str) -> None:
        """Heal the partition between two regions."""
        await self._set_links(region, other, cut=False)

    async def reset(self, region: str, other: str) -> None:
        """Reset the connections between two regions."""
        await self._set_links(region, other, reset=True)

    async def isolate(self, region: str, *, with_platform: bool = False) -> None:
        """Partition a region from the others, and from the platform if requested."""
        others = [name for name in self.plan.regions if name != region]
        for other in others + ([PLATFORM] if with_platform else []):
            await self.partition(region, other)

    async def rejoin(self, region: str) -> None:
        """Undo `isolate`."""
        for other in (*self.plan.regions, PLATFORM):
            if other != region:
                await self.heal(region, other)

    async def close(self) -> None:
        """Kill every process that was started here."""
        self.children.close()
        await self.client.pool.aclose()

    async def _put(self, address: str, path: str, value: Any) -> Any:
        body = json.dumps(value).encode()
        reply = await self.client.request("PUT", address, path, body=body)
        if reply.status != 200:
            raise RuntimeError(f"{address}{path}: {reply.status} {reply.content!r}")
        return reply.value

    async def _set_links(self, region: str, other: str, **changes: Any) -> None:
        for origin, destination in ((region, other), (other, region)):
            path = f"/control/links/{origin}/{destination}"
            await self._put(self.relay.address, path, changes)

    async def _open_leg(self, origin: str, destination: str, target: str) -> str:
        name = f"{origin}-{target}"
        body = {"target": target, "from": origin, "to": destination}
        leg = await self._put(self.relay.address, f"/control/legs/{name}", body)
        return leg["address"]

    async def _wait_daemon_ready(self, daemon: Daemon, timeout_s: float) -> None:
        try:
            with anyio.fail_after(timeout_s):
                while True:
                    if await self._is_ready(daemon):
                        return
                    await anyio.sleep(POLL_S)
        except TimeoutError as error:
            log = daemon.child.read_log()[-2000:]
            raise TimeoutError(f"{daemon.seat} is not ready: {log}") from error

    async def _is_ready(self, daemon: Daemon) -> bool:
        if not daemon.child.is_running:
            log = daemon.child.read_log()[-2000:]
            raise RuntimeError(f"{daemon.seat} ended: {log}")
        try:
            reply = await self.client.request(
                "GET", daemon.operators_address, "/health/ready"
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return False
        return reply.status == 200

    def _choose_addresses(self) -> dict[str, Daemon]:
        # Each daemon has its own IP, so that no outgoing connection of another
        # process can take its port while the daemon restarts.
        prefix = f"127.{random.randint(1, 250)}.{random.randint(0, 255)}"
        daemons = {}
        for region in self.plan.regions:
            for number in range(1, self.plan.seats + 1):
                seat = f"{region}-{number}"
                addresses = _find_free_addresses(f"{prefix}.{len(daemons) + 1}", 3)
                path = self.folder / f"{seat}.json"
                data_centre = f"{region}-dc{1 + number % 2}"
                daemons[seat] = Daemon(seat, region, data_centre, *addresses, path)
        return daemons

    async def _start_platform(self) -> None:
        self.config_service = self.children.start(
            "config-service", "standins.config_service"
        )
        await self.config_service.read_announcement()
        if not self.plan.uses_relay:
            return
        self.relay = self.children.start("relay", "standins.relay")
        await self.relay.read_announcement()
        for origin in self.plan.regions:
            for destination in self.plan.regions:
                if origin != destination:
                    await self._put(
                        self.relay.address,
                        f"/control/links/{origin}/{destination}",
                        {
                            "delay_ms": self.plan.delay_ms,
                            "bytes_per_s": self.plan.link_bytes_per_s,
                        },
                    )

    async def _start_upstreams(self) -> None:
        for region in self.plan.regions:
            for number in range(1, self.plan.engines + 1):
                self._start_upstream(f"{region}-engine-{number}", region, True)
            for number in range(1, self.plan.services + 1):
                self._start_upstream(f"{region}-service-{number}", region, False)
        for upstream in self.upstreams.values():
            await upstream.child.read_announcement()

    def _start_upstream(self, name: str, region: str, is_model: bool) -> None:
        module = "standins.engine" if is_model else "standins.service"
        options = self.plan.engine_options if is_model else self.plan.service_options
        arguments = ["--name", name]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        child = self.children.start(name, module, *arguments)
        self.upstreams[name] = UpstreamProcess(name, region, is_model, child)

    async def _write_settings(self) -> None:
        secret = secrets.token_urlsafe(32)
        legs = await self._open_legs()
        for daemon in self.daemons.values():
            others = [other for other in self.daemons.values() if other is not daemon]
            write_settings(
                self.plan,
                daemon,
                others,
                self.config_service.address,
                legs.get(daemon.region, {}),
                secret,
            )

    async def _open_legs(self) -> dict[str, dict[str, str]]:
        """Return, for each region, the addresses at which it dials the others."""
        if not self.plan.uses_relay:
            return {}
        legs: dict[str, dict[str, str]] = {}
        for region in self.plan.regions:
            service = self.config_service.address
            legs[region] = {PLATFORM: await self._open_leg(region, PLATFORM, service)}
            for other in self.daemons.values():
                if other.region != region:
                    legs[region][other.seat] = await self._open_leg(
                        region, other.region, other.peers_address
                    )
        return legs


def _find_free_addresses(host: str, count: int) -> list[str]:
    return [f"{host}:{port}" for port in find_free_ports(host, count)]


@asynccontextmanager
async def start_fleet(plan: FleetPlan | None = None) -> AsyncIterator[Fleet]:
    """Start a fleet and kill all its processes when the context ends."""
    with tempfile.TemporaryDirectory(prefix="banyanseam-") as folder:
        fleet = Fleet(plan or FleetPlan(), Path(folder))
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.close()
