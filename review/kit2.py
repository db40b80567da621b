"""Stand-ins for the second review: a store, replicas, clients and a fleet.

They need nothing but the standard library. The daemons are started with the command
of the deploy file, on loopback addresses and the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self
from urllib.parse import parse_qsl, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
HOST: Final = "a.example"
KEY: Final = "key-of-acme"
HEARTBEAT_S: Final = 1.2
CONTACT_S: Final = 5.0
START_TIMEOUT_S: Final = 30.0
ROLES: Final = ("front", "ready", "control", "directory", "peers")
HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


def has_trouble() -> bool:
    """Return whether the script makes the disruption of its case."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty file."""
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the beginning, here and on the screen."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


@dataclass(slots=True)
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: Headers
    body: bytes


async def read_head(reader: Reader) -> tuple[str, Headers]:
    """Return the first line and the headers, by their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


async def read_request(reader: Reader) -> Request:
    """Return the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def render_head(status: str, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {headers[name]}" for name in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def render(status: str, body: bytes, headers: Headers | None = None) -> bytes:
    """Return a whole answer."""
    length = {"content-length": str(len(body))}
    return render_head(status, (headers or {}) | length) + body


class Store:
    """The platform's store: listings and watches of values with one revision."""

    def __init__(self) -> None:
        """Start empty."""
        self.address = ""
        # While it is down it answers every call with 503.
        self.is_down = False
        self._items: dict[str, tuple[bytes | None, int]] = {}
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: dict[str, Any] | None) -> int:
        """Write a value, None to remove it; return the revision."""
        self._revision += 1
        data = None if value is None else json.dumps(value).encode()
        self._items[key] = data, self._revision
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        ends = OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        with contextlib.suppress(*ends):
            while True:
                request = await read_request(reader)
                if self.is_down:
                    writer.write(render("503 Service Unavailable", b"{}"))
                    continue
                url = urlsplit(request.target)
                query = dict(parse_qsl(url.query))
                if url.path == "/v1/kv-range":
                    answer = self._list(query["path_prefix"])
                elif url.path == "/v1/kv-watch":
                    answer = await self._watch(query)
                else:
                    writer.write(render("404 Not Found", b"{}"))
                    continue
                kind = {"content-type": "application/json"}
                writer.write(render("200 OK", json.dumps(answer).encode(), kind))
                await writer.drain()
        writer.close()

    def _list(self, prefix: str) -> dict[str, Any]:
        found = [
            self._describe(key)
            for key in sorted(self._items)
            if key.startswith(prefix) and self._items[key][0] is not None
        ]
        return {"items": found, "has_more": False, "at": self._revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["path_prefix"], int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                self._describe(key)
                for key, (_, revision) in self._items.items()
                if key.startswith(prefix) and revision > after
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _describe(self, key: str) -> dict[str, Any]:
        value, revision = self._items[key]
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "created": revision,
            "lease": 0,
        }


@dataclass(slots=True)
class Run:
    """One execution of a request at a replica."""

    request_id: str
    replica: str
    target: str
    headers: Headers
    began_s: float
    ended_s: float | None = None
    # "whole", or "closed" if the caller closed the connection first.
    end: str = ""


# Answers a request: writes to the connection until it returns.
Behaviour = Callable[["Replica", Run, Request, Writer], Awaitable[None]]


@dataclass(slots=True)
class Replica:
    """A replica that registers itself, and stops work when its caller has closed."""

    store: Store
    service: str
    zone: str
    behaviour: Behaviour
    slots: int = 64
    version: str = "v1"
    cold_until_s: float = 0.0
    # Further headers of all answers.
    extra: Headers = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    instance: str = ""
    born_ms: int = 0
    address: str = ""
    sequence: int = 0
    _server: asyncio.Server | None = None
    _heartbeats: asyncio.Task[None] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[Writer] = field(default_factory=set)

    async def start(self) -> None:
        """Start a new incarnation at a free port."""
        self.instance = f"i-{uuid.uuid4().hex[:8]}"
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._heartbeats = asyncio.create_task(self._beat())

    async def restart(self, version: str, down_s: float) -> None:
        """Start again in place, with a version of the software.

        The id and the address stay; the new entry is written at once, if the store
        takes it.
        """
        self.crash()
        await asyncio.sleep(down_s)
        self.version = version
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End at once: all connections are reset, nothing listens, no more beats."""
        self._server.close()
        self._heartbeats.cancel()
        for writer in list(self._writers):
            reset(writer)

    def become_cold(self, for_s: float) -> None:
        """Become cold for a time, and say so at once."""
        self.cold_until_s = time.monotonic() + for_s
        self.register()

    def register(self) -> None:
        """Write the entry in the store, unless that is down."""
        if self.store.is_down:
            return
        self.sequence += 1
        cold_s = max(0.0, self.cold_until_s - time.monotonic())
        self.store.put(
            f"servers/{self.instance}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": round(cold_s * 1000),
                "sequence": self.sequence,
                "born": self.born_ms,
            },
        )

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            request = await read_request(reader)
            gone = asyncio.ensure_future(reader.read(1))
            work = asyncio.ensure_future(self._answer(request, writer))
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            work.cancel()
            gone.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: Writer) -> None:
        if request.target == "/v1/report":
            report = {"stage": "both", "models": [], "born": self.born_ms}
            writer.write(render("200 OK", json.dumps(report).encode()))
            await writer.drain()
            return
        if request.target == "/healthz":
            writer.write(render("200 OK", b"", {"served-by": self.instance}))
            await writer.drain()
            return
        request_id = request.headers["request-id"]
        own = {"request-id": request_id} | self.extra
        if request.headers.get("expect-instance", self.instance) != self.instance:
            writer.write(render("421 Misdirected Request", b"", own))
            await writer.drain()
            return
        run = Run(
            request_id,
            self.instance,
            request.target,
            request.headers,
            time.monotonic(),
        )
        self.runs.append(run)
        run.end = "closed"
        try:
            await self.behaviour(self, run, request, writer)
            run.end = "whole"
        finally:
            run.ended_s = time.monotonic()

    def sign(self, run: Run) -> Headers:
        """Return the headers of a successful answer."""
        signed = {"upstream-signature": f"{self.instance}.s"}
        return {"request-id": run.request_id} | signed | self.extra

    async def write_plain(self, run: Run, writer: Writer) -> None:
        """Write a whole plain answer."""
        writer.write(
            render("200 OK", b"done " + run.request_id.encode(), self.sign(run))
        )
        await writer.drain()

    async def write_stream(
        self, run: Run, writer: Writer, pauses_s: list[float]
    ) -> None:
        """Write a stream with one event after each pause."""
        kind = {"content-type": "text/event-stream", "transfer-encoding": "chunked"}
        writer.write(render_head("200 OK", self.sign(run) | kind))
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, len(pauses_s) + 1):
            await asyncio.sleep(pauses_s[number - 1])
            event = f"id: {number}\ndata: {number} by {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def reset(writer: Writer) -> None:
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        linger = b"\1\0\0\0\0\0\0\0"
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclass(slots=True)
class Answer:
    """What a client received; status 0 if there was no answer."""

    request_id: str
    sent_s: float
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0


def render_request(
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    deadline_ms: int = 4000,
) -> tuple[str, bytes]:
    """Return a client's request and its id."""
    request_id = uuid.uuid4().hex[:16]
    fields = {
        "host": HOST,
        "request-id": request_id,
        "request-deadline": str(deadline_ms),
        "authorization": f"Bearer {KEY}",
    } | (headers or {})
    if body or method == "POST":
        fields["content-length"] = str(len(body))
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{name}: {fields[name]}" for name in fields),
    ]
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader: Reader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True


@dataclass(slots=True)
class Vm:
    """One entry daemon."""

    name: str
    ip: str
    region: str
    process: asyncio.subprocess.Process | None = None


class Fleet:
    """A store, replicas and entry daemons in a temporary folder."""

    def __init__(self, regions: dict[str, int], record: Record) -> None:
        """Prepare so many daemons in each region, which has one zone."""
        self.record = record
        self.store = Store()
        self.replicas: list[Replica] = []
        self.ports = dict(zip(ROLES, find_free_ports(len(ROLES)), strict=True))
        lane = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        names = [
            (f"front-{region}-{number}", region)
            for region, count in regions.items()
            for number in range(1, count + 1)
        ]
        self.vms = {
            name: Vm(name, f"{lane}.{index}", region)
            for index, (name, region) in enumerate(names, 1)
        }
        self.bounds = {
            "contact_ms": 5000,
            "drain_ms": 3000,
            "grace_s": 8,
            "config_apply_ms": 3000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 58,
            "quota_window_s": 8,
            "quota_over": 0.25,
            "quota_slack": 190000,
            "cold_over": 1.5,
            "cold_slack": 3,
            "ttl_max_s": 5,
        }
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> Self:
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Kill all daemons."""
        for vm in self.vms.values():
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        self._folder.cleanup()

    async def add(self, replica: Replica) -> Replica:
        """Start a replica."""
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def start_vm(self, vm: Vm) -> None:
        """Start a daemon with the command of the deploy file."""
        folder = Path(self._folder.name)
        path = folder / f"{vm.name}.toml"
        path.write_text(self._render_settings(vm))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with (folder / f"{vm.name}.log").open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command[1:],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BANYANSEAM_BOOT": str(path),
                },
            )

    async def start(self) -> None:
        """Start all daemons and wait until they are ready and in touch."""
        for vm in self.vms.values():
            await self.start_vm(vm)
        await self.wait_ready()
        self.record.write(f"{len(self.vms)} daemons are ready")

    async def wait_ready(self) -> None:
        """Wait until all daemons say that they are ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        waiting = list(self.vms.values())
        while waiting:
            if time.monotonic() > end_s:
                raise TimeoutError(self.read_log(waiting[0])[-2000:])
            waiting = [vm for vm in waiting if not await self.is_ready(vm)]
            await asyncio.sleep(0.02)

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether a daemon says that it is ready."""
        address = vm.ip, self.ports["ready"]
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return " 200 " in first

    async def kill_all(self) -> None:
        """Kill all daemons at the same moment and start them again."""
        for vm in self.vms.values():
            vm.process.send_signal(signal.SIGKILL)
        for vm in self.vms.values():
            await vm.process.wait()
        self.record.write("all daemons were killed")
        await asyncio.sleep(0.3)
        for vm in self.vms.values():
            await self.start_vm(vm)
        self.record.write("all daemons were started again")

    def list_ends(self) -> list[str]:
        """Return the daemons that have ended by themselves."""
        return [
            vm.name
            for vm in self.vms.values()
            if vm.process is not None and vm.process.returncode is not None
        ]

    def read_log(self, vm: Vm) -> str:
        """Return what a daemon has logged."""
        path = Path(self._folder.name) / f"{vm.name}.log"
        return path.read_text(errors="replace")

    async def connect(self, vm: Vm) -> tuple[Reader, Writer]:
        """Return a client's connection to a daemon."""
        return await asyncio.open_connection(vm.ip, self.ports["front"])

    async def ask(
        self,
        vm: Vm,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        deadline_ms: int = 4000,
    ) -> Answer:
        """Send a client's request on a connection of its own."""
        request_id, data = render_request(method, path, body, headers, deadline_ms)
        answer = Answer(request_id, time.monotonic())
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await self.connect(vm)
                try:
                    writer.write(data)
                    await read_answer(reader, answer)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        answer.took_s = time.monotonic() - answer.sent_s
        return answer

    def _render_settings(self, vm: Vm) -> str:
        # Connections between loopback addresses come from 127.0.0.1, which must be one
        # of the seeds so that the daemons take it for a machine of the fleet.
        seeds = ["127.0.0.1:1"]
        seeds += [f"{each.ip}:{self.ports['control']}" for each in self.vms.values()][
            :2
        ]
        zones = {f"{each.region}-a": each.region for each in self.vms.values()}
        lines = [
            f'node = "{vm.name}"',
            'role = "entry"',
            'machine_class = "front"',
            'serves = ["front","control","directory"]',
            f'ip = "{vm.ip}"',
            f'zone = "{vm.region}-a"',
            f'region = "{vm.region}"',
            f"port_range = [{self.ports['peers']},{self.ports['peers']}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "directory"',
            f"heartbeat_ms = {round(HEARTBEAT_S * 1000)}",
            "[zones]",
            *(f'{zone} = "{region}"' for zone, region in zones.items()),
            "[listen]",
            *(f'{role} = "{vm.ip}:{self.ports[role]}"' for role in ROLES[:4]),
            "[limits]",
            "memory_mb = 300",
            "max_fds = 4100",
            "[bounds]",
            *(f"{name} = {value}" for name, value in self.bounds.items()),
            "[platform]",
            f'address = "{self.store.address}"',
            'form = "read"',
        ]
        return "\n".join(lines) + "\n"


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing uses at this moment."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [each.getsockname()[1] for each in sockets]


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gap_aim_ms": 400,
        "home_regions": [],
    } | fields


def make_config(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], **tenant: Any
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "acme",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 10_000_000,
                "burst": 10_000_000,
                "home_regions": [],
            }
            | tenant
        ],
    }


def run_case(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it couldn't run."""
    record = Record(folder)
    try:
        is_held = asyncio.run(_limit(case, record))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write("the rule held" if is_held else "the rule was broken")
    sys.exit(HELD if is_held else BROKEN)


async def _limit(case: Callable[[Record], Awaitable[bool]], record: Record) -> bool:
    # The daemons are killed also if the script is told to end.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(110):
        return await case(record)
