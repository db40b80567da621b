"""Entry daemons on loopback addresses with stand-ins of the users' platform."""

import json
import signal
import tempfile
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpcore

from standins.platform_store import PlatformStore
from standins.platform_upstream import (
    HEALTH_TARGET,
    USUAL_SOFTWARE,
    PlatformUpstream,
)
from standins.ports import PORTS_PER_LANE, find_free_ports
from standins.processes import ROOT, Child, Children
from standins.serving import serve

HOST = "a.example"
KEY = "key-of-acme"
START_TIMEOUT_S = 20.0

# Called with a VM's name at each of its starts; returns the root of the build to start.
ChooseRoot = Callable[[str], Path]


def choose_this_build(_vm: str) -> Path:
    """Return the root of this build."""
    return ROOT


@dataclass(slots=True)
class Answer:
    """What a caller received; `broken` names the error that broke the answer off."""

    status: int
    headers: dict[str, str]
    body: bytes
    broken: str | None = None


@dataclass(slots=True)
class EntryVm:
    """One entry daemon's process and its ports."""

    name: str
    ip: str
    region: str
    child: Child | None = None


@dataclass(slots=True)
class PlatformFleet:
    """The processes and stand-ins of one test."""

    folder: Path
    children: Children
    ports: dict[str, int]
    store: PlatformStore = field(default_factory=PlatformStore)
    store_address: str = ""
    vms: dict[str, EntryVm] = field(default_factory=dict)
    upstreams: dict[str, PlatformUpstream] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    config: dict[str, Any] = field(default_factory=dict)
    # Limits that the settings give each VM.
    memory_mb: int = 300
    max_fds: int = 4100
    # How long a planned stop may take.
    grace_s: int = 8
    choose_root: ChooseRoot = choose_this_build
    # Ends the stand-ins with the test.
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    def publish(self, **changes: Any) -> None:
        """Publish the next version of the configuration."""
        self.config |= changes
        self.config["version"] = self.config.get("version", 0) + 1
        self.store.put("op/config", self.config)

    async def add_upstream(
        self,
        upstream_id: str,
        service: str,
        region: str,
        software: str = USUAL_SOFTWARE,
    ) -> PlatformUpstream:
        """Start an upstream of a software and register it."""
        is_stream = service == "pool"
        upstream = PlatformUpstream(upstream_id, is_stream, software=software)
        address = await self.stack.enter_async_context(upstream.serve())
        self.upstreams[upstream_id] = upstream
        self.addresses[upstream_id] = address
        zone = f"{region}-a"
        self.register(upstream_id, address, service=service, zone=zone)
        return upstream

    def register(self, upstream_id: str, address: str, **fields: Any) -> None:
        """Write an upstream's registration to the store."""
        upstream = self.upstreams.get(upstream_id)
        defaults = {
            "service": "pool",
            "address": address,
            "zone": "gulf-a",
            "version": USUAL_SOFTWARE if upstream is None else upstream.software,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1 if upstream is None else upstream.started_ms,
        }
        self.store.put(f"servers/{upstream_id}", defaults | fields)

    def start_vm(self, name: str) -> None:
        """Start the process of a VM."""
        vm = self.vms[name]
        path = self.folder / f"{name}.toml"
        path.write_text(self._render_settings(vm))
        command = ("banyanseam.entry", "--settings", str(path))
        root = self.choose_root(name)
        vm.child = self.children.start(name, *command, log_output=True, root=root)

    async def wait_ready(self, *names: str) -> None:
        """Return once the VMs report that they are ready; raise TimeoutError."""
        with anyio.fail_after(START_TIMEOUT_S):
            waiting = list(names or self.vms)
            while True:
                waiting = [name for name in waiting if not await self.is_ready(name)]
                if not waiting:
                    return
                await anyio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Return whether a VM reports that it is ready."""
        address = f"{self.vms[name].ip}:{self.ports['ready']}"
        answer = await call(address, "GET", "/v1/ready")
        return answer.status == 200

    async def resolve(self, name: str, region: str) -> list[str]:
        """Return the addresses that a VM's directory gives to callers of a region."""
        address = f"{self.vms[name].ip}:{self.ports['directory']}"
        query = f"name={HOST}&region={region}&zone={region}-a"
        answer = await call(address, "GET", f"/v1/resolve?{query}")
        return json.loads(answer.body).get("addresses", [])

    async def ask(self, name: str, path: str, **options: Any) -> Answer:
        """Send a caller's request to a VM."""
        address = f"{self.vms[name].ip}:{self.ports['front']}"
        headers = {
            "host": HOST,
            "request-id": uuid.uuid4().hex[:16],
            "request-deadline": "4000",
            "authorization": f"Bearer {KEY}",
        } | options.pop("headers", {})
        headers = {name: value for name, value in headers.items() if value is not None}
        method = options.pop("method", "POST")
        return await call(address, method, path, headers=headers, **options)

    def list_logs(self) -> list[str]:
        """Return the paths of the log files of all VMs."""
        return [str(vm.child.log_path) for vm in self.vms.values() if vm.child]

    def stop(self, name: str, number: int = signal.SIGTERM) -> None:
        """Send a signal to a VM's process."""
        self.vms[name].child.signal(number)

    def _render_settings(self, vm: EntryVm) -> str:
        # Connections on loopback all come from one address, which must therefore be
        # among the seeds so that the peers' port accepts it.
        seeds = [f"{each.ip}:{self.ports['control']}" for each in self.vms.values()]
        listed = ", ".join(f'"{seed}"' for seed in ["127.0.0.1:1", *seeds[:2]])
        regions = {f"{each.region}-a": each.region for each in self.vms.values()}
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in regions.items())
        listen = "\n".join(
            f'{role} = "{vm.ip}:{self.ports[role]}"'
            for role in ("front", "ready", "control", "directory")
        )
        return (
            f'node = "{vm.name}"\nip = "{vm.ip}"\nzone = "{vm.region}-a"\n'
            f'region = "{vm.region}"\n'
            f"port_range = [{self.ports['peers']}, {self.ports['peers']}]\n"
            f"seeds = [{listed}]\n[zones]\n{zones}\n[listen]\n{listen}\n"
            f"[limits]\nmemory_mb = {self.memory_mb}\nmax_fds = {self.max_fds}\n"
            f"[bounds]\ngrace_s = {self.grace_s}\n"
            f'quota_slack = 0\n[platform]\naddress = "{self.store_address}"\n'
        )


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 8.0,
) -> Answer:
    """Send a request on its own connection and return everything received."""
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    raw = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
    if not headers:
        raw = [(b"host", address.encode())]
    raw += [(b"connection", b"close"), (b"content-length", str(len(body)).encode())]
    status, seen, received = 0, {}, bytearray()
    try:
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream(
                method,
                f"http://{address}{path}",
                headers=raw,
                content=body,
                extensions={"timeout": timeouts},
            ) as response,
        ):
            status = response.status
            seen = {
                name.decode().lower(): value.decode()
                for name, value in response.headers
            }
            async for chunk in response.stream:
                received += chunk
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        return Answer(status, seen, bytes(received), type(error).__name__)
    return Answer(status, seen, bytes(received))


def make_config() -> dict[str, Any]:
    """Return a configuration with every kind of route."""

    def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        defaults = {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
            "resumable": False,
            "home_regions": [],
        }
        return defaults | fields

    engine = {"slots": 64, "kv_tokens": 294902}
    return {
        "version": 0,
        "routes": [
            route("query", "streaming", "pool", resumable=True),
            route("summary", "streaming", "pool", max_attempts=1),
            route("kept", "streaming", "pool", home_regions=["gulf"]),
            route("book", "unsafe", "desk", max_attempts=1),
            route("read", "safe", "desk"),
            route("open", "safe", "desk", public=True),
        ],
        "services": [
            {"name": "pool", "max_connections": 370, "engine": engine},
            {"name": "desk", "max_connections": 110, "health_path": HEALTH_TARGET},
        ],
        "limits": {},
        "tenants": [
            {
                "name": "acme",
                "api_keys": [KEY],
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 100_000,
                "burst": 100_000,
                "home_regions": [],
            }
        ],
    }


@asynccontextmanager
async def start_platform_fleet(
    regions: dict[str, int],
    upstreams: dict[str, tuple[str, ...]],
    choose_root: ChooseRoot = choose_this_build,
    **limits: int,
) -> AsyncIterator[PlatformFleet]:
    """Start `regions` (region to VM count) and `upstreams`.

    These are ids with service, region and, unless it is the usual one, software.
    `choose_root` chooses the build at each start of a VM. `limits` are the VMs'
    `memory_mb`, `max_fds` and `grace_s`.
    """
    names = ("front", "ready", "control", "directory", "peers")
    ports = dict(zip(names, find_free_ports("127.0.0.1", len(names)), strict=True))
    with tempfile.TemporaryDirectory() as folder:
        fleet = PlatformFleet(
            Path(folder),
            Children(Path(folder)),
            ports,
            choose_root=choose_root,
            **limits,
        )
        fleet.config = make_config()
        # One address per VM, distinct from those of a fleet that runs concurrently:
        # all daemons use the same port for metrics.
        lane = 100 + ports["front"] // PORTS_PER_LANE
        first = 10 * (ports["front"] // len(names) % 20) + 1
        for index, (region, count) in enumerate(regions.items()):
            for number in range(1, count + 1):
                name = f"{region}-{number}"
                ip = f"127.{lane}.{first + index}.{number}"
                fleet.vms[name] = EntryVm(name, ip, region)
        async with fleet.stack as stack:
            address = await stack.enter_async_context(serve(fleet.store.handle))
            fleet.store_address = address
            for upstream_id, placement in upstreams.items():
                await fleet.add_upstream(upstream_id, *placement)
            fleet.publish()
            try:
                for name in fleet.vms:
                    fleet.start_vm(name)
                await fleet.wait_ready()
                yield fleet
            finally:
                fleet.children.close()
                fleet.store.close()
