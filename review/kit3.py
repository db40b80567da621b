"""Stand-ins and a judge's tools for the scripts of the third review.

Only the standard library is used. The gateway's processes are started with the command
of the deploy file; store, replicas and clients run in the script's own process.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs

ROOT: Final = Path(__file__).resolve().parent.parent
HOST: Final = "a.example"
KEY: Final = "k3y-of-acme"
TENANT: Final = "acme"
HEARTBEAT_S: Final = 1.2
BROKEN, HELD, NOT_RUN = 1, 0, 2

Headers = dict[str, str]


class CannotRun(Exception):
    """The case could not run; nothing is said about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **fields: Any) -> None:
        """Write one line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {rest}\n")

    def close(self) -> None:
        """End the record."""
        self._file.close()


@dataclass(slots=True)
class Request:
    """A request as a server received it."""

    method: str
    target: str
    headers: Headers
    body: bytes
    # The machine that it comes from, if that is looked up.
    owner: str = "-"

    @property
    def request_id(self) -> str:
        """Return the client attempt's id."""
        return self.headers.get("request-id", "-")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def make_head(status: str, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [
        f"HTTP/1.1 {status}",
        *(f"{name}: {each}" for name, each in headers.items()),
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def make_answer(status: str, headers: Headers, body: bytes) -> bytes:
    """Return a whole answer with a length."""
    return make_head(status, headers | {"Content-Length": str(len(body))}) + body


class Store:
    """The platform's store, as far as the gateway reads it."""

    def __init__(self) -> None:
        """Begin empty."""
        self.address = ""
        self.is_down = False
        self._items: dict[str, tuple[bytes | None, int]] = {}
        self._revision = 1
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: Any) -> bool:
        """Write a value; return whether the store has accepted it."""
        if self.is_down:
            return False
        self._write(key, json.dumps(value).encode())
        return True

    def delete(self, key: str) -> None:
        """Delete a value."""
        self._write(key, None)

    def set_down(self, *, is_down: bool) -> None:
        """Begin or end an outage: connections are reset, nothing is accepted."""
        self.is_down = is_down
        if is_down:
            for writer in self._writers:
                writer.transport.abort()

    def _write(self, key: str, data: bytes | None) -> None:
        self._revision += 1
        self._items[key] = data, self._revision
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve_calls(reader, writer)

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                if self.is_down:
                    writer.transport.abort()
                    break
                status, value = await self._answer(request)
                body = json.dumps(value).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(make_answer(status, headers, body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: Request) -> tuple[str, dict[str, Any]]:
        path, _, text = request.target.partition("?")
        query = {name: found[0] for name, found in parse_qs(text).items()}
        prefix = query.get("path_prefix", "")
        if path == "/v1/kv-range":
            items = [
                self._describe(key)
                for key in sorted(self._items)
                if key.startswith(prefix)
                and key > query.get("after", "")
                and self._items[key][0] is not None
            ]
            return "200 OK", {"items": items, "has_more": False, "at": self._revision}
        if path != "/v1/kv-watch":
            return "404 Not Found", {}
        after = int(query["after"])
        ends_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while not (found := self._find(prefix, after)):
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return "200 OK", {"events": found, "at": self._revision}

    def _find(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            self._describe(key)
            for key, (_, revision) in sorted(
                self._items.items(), key=lambda item: item[1][1]
            )
            if key.startswith(prefix) and revision > after
        ]

    def _describe(self, key: str) -> dict[str, Any]:
        data, revision = self._items[key]
        if data is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }


class Replica:
    """A model replica: streams of numbered events, a report and a health answer.

    `serve` answers a request that begins to run; by default it does so soundly.
    """

    def __init__(
        self, store: Store, record: Record, replica_id: str, zone: str, **fields: Any
    ) -> None:
        """Prepare a replica; `fields` replace those of its registration."""
        self.replica_id = replica_id
        self.address = ""
        self.born = int(time.time() * 1000) - 3_600_000
        self.fields = {
            "service": "banyan-pool",
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
        } | fields
        # Headers of all its answers.
        self.extra: Headers = {}
        # Returns whose connection comes from a port; those that it refuses are reset.
        self.find_owner: Callable[[int], str] = lambda _: "-"
        self.refused: set[str] = set()
        self.is_down = False
        # While it is silent, everything that it gets waits.
        self.silent: asyncio.Event | None = None
        # Until when it is cold.
        self.cold_until_s = 0.0
        # Whether its next chance to spoil an answer is taken.
        self.may_spoil = False
        self.runs: list[tuple[float, Request]] = []
        self.serve: Callable[[Request, Answer], Awaitable[None]] = serve_soundly
        self._store = store
        self._record = record
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, and register with heartbeats."""
        await self._listen()
        self.register()
        self._keep(self._beat())

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._connect, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    def register(self, **changes: Any) -> bool:
        """Write the entry anew; return whether the store has accepted it."""
        self.fields |= changes
        self._sequence += 1
        entry = self.fields | {
            "cold_remaining_ms": self.find_cold_ms(),
            "address": self.address,
            "sequence": self._sequence,
            "born": self.born,
        }
        return self._store.put(f"servers/{self.replica_id}", entry)

    async def register_soon(self, **changes: Any) -> None:
        """Write the entry anew as soon as the store takes it."""
        while True:
            if self.register(**changes):
                return
            await asyncio.sleep(0.2)

    def find_cold_ms(self) -> int:
        """Return for how much longer it is cold."""
        return max(0, int((self.cold_until_s - self._record.now_s()) * 1000))

    def crash(self, down_s: float) -> None:
        """Reset all connections, and be back under the same id after a time."""
        if self.is_down:
            return
        self.is_down = True
        self._record.add("crash", replica=self.replica_id)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._keep(self._come_back(down_s))

    async def _come_back(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self._listen()
        self.is_down = False
        self.register()
        self._record.add("back", replica=self.replica_id)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_down:
                self.register()

    def _keep(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        owner = self.find_owner(writer.get_extra_info("peername")[1])
        if owner in self.refused:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            request = await read_request(reader)
            if request is None or self.is_down:
                return
            request.owner = owner
            gone = asyncio.ensure_future(reader.read(1))
            work = asyncio.ensure_future(self._handle(request, writer))
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self._record.add("left", replica=self.replica_id, id=request.request_id)
            for each in (gone, work):
                each.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        answer = Answer(self, request, writer)
        if self.silent is not None:
            await self.silent.wait()
        if request.target == "/v1/report":
            body = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": len(self._writers) - 1,
                "kv_used": 0,
                "kv_total": 294902,
                "handles": 0,
                "born": self.born,
            }
            await answer.send("200 OK", json.dumps(body).encode(), is_signed=False)
            return
        if request.target == "/healthz":
            cold_ms = self.find_cold_ms()
            if cold_ms:
                answer.headers["Warmup-Remaining"] = str(cold_ms)
            await answer.send("200 OK", b"", is_signed=False)
            return
        if request.headers.get("expect-instance") != self.replica_id:
            answer.headers["Not-Executed"] = "1"
            await answer.send("421 Misdirected Request", b"")
            return
        self.runs.append((self._record.now_s(), request))
        self._record.add(
            "run",
            replica=self.replica_id,
            id=request.request_id,
            owner=request.owner,
            after=request.headers.get("last-event-id", "-"),
        )
        await self.serve(request, answer)


def make_event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """Writes one answer of a replica."""

    def __init__(
        self, replica: Replica, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Begin with the headers that all answers of the replica have."""
        self.replica = replica
        self.request = request
        self.headers: Headers = {
            "Request-Id": request.request_id,
            "Served-By": replica.replica_id,
        } | replica.extra
        self.writer = writer

    async def send(self, status: str, body: bytes, *, is_signed: bool = True) -> None:
        """Send a whole answer."""
        if is_signed:
            self._sign()
        self.writer.write(make_answer(status, self.headers, body))
        await self.writer.drain()

    async def begin_stream(self) -> None:
        """Send the head of a stream in chunks."""
        self._sign()
        self.headers["Content-Type"] = "text/event-stream"
        self.headers["Transfer-Encoding"] = "chunked"
        self.writer.write(make_head("200 OK", self.headers))
        await self.writer.drain()

    def write_event(self, number: int) -> None:
        """Write one event into the stream."""
        self.writer.write(make_chunk(make_event(number)))

    def write_last_chunk(self, data: bytes) -> None:
        """Write bytes and the stream's end in one piece."""
        self.writer.write(make_chunk(data) + b"0\r\n\r\n")

    async def end_stream(self) -> None:
        """Write the stream's end."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def _sign(self) -> None:
        self.headers["Upstream-Signature"] = f"{self.replica.replica_id}.0"


EVENTS: Final = 9


def find_first(request: Request) -> int:
    """Return the number of the event that a run begins with."""
    return int(request.headers.get("last-event-id", "0")) + 1


async def serve_soundly(request: Request, answer: Answer) -> None:
    """Answer a stream with all its events, and another request with a body."""
    if "token-usage" not in request.headers:
        await asyncio.sleep(0.03)
        await answer.send("200 OK", b"answer to " + request.request_id.encode())
        return
    await asyncio.sleep(0.05)
    await answer.begin_stream()
    for number in range(find_first(request), EVENTS + 1):
        answer.write_event(number)
        await answer.writer.drain()
        await asyncio.sleep(0.02)
    await answer.end_stream()


@dataclass(slots=True)
class Received:
    """What a client got for one attempt."""

    request_id: str
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    # Whether the answer was complete in the protocol.
    is_whole: bool = False

    def list_events(self) -> list[int]:
        """Return the numbers of the events, in order."""
        return [
            int(line[3:])
            for line in self.body.decode().split("\n")
            if line.startswith("id:")
        ]


async def ask(
    record: Record,
    address: str,
    path: str,
    headers: Headers | None = None,
    *,
    method: str = "POST",
    deadline_ms: int = 4000,
    body: bytes = b"x",
    sent_s: dict[str, float] | None = None,
) -> Received:
    """Send one attempt on a connection of its own, and return what came back.

    `sent_s` gets the time of the sending by the attempt's id.
    """
    received = Received(uuid.uuid4().hex[:16])
    if sent_s is not None:
        sent_s[received.request_id] = record.now_s()
    sent = {
        "Host": HOST,
        "Request-Id": received.request_id,
        "Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
    } | (headers or {})
    host, port = address.split(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    record.add("send", id=received.request_id, path=path, at=address)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _receive(reader, received)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.add("broken", id=received.request_id, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()
    record.add(
        "got",
        id=received.request_id,
        status=received.status,
        whole=received.is_whole,
        events=received.list_events() if "token-usage" in _lower(sent) else "-",
    )
    return received


def _lower(headers: Headers) -> set[str]:
    return {name.lower() for name in headers}


async def _receive(reader: asyncio.StreamReader, received: Received) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    received.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        received.headers[name.lower()] = value.strip()
    if received.headers.get("transfer-encoding", "") == "chunked":
        while size := int(await reader.readline(), 16):
            received.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        length = int(received.headers.get("content-length", "0"))
        received.body = await reader.readexactly(length)
    received.is_whole = True


@dataclass(slots=True)
class Vm:
    """One machine of the gateway."""

    name: str
    ip: str
    zone: str
    region: str
    process: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class Deployment:
    """Store, replicas and machines of one script."""

    folder: Path
    record: Record
    store: Store
    # Zones with their region and number of machines.
    zones: dict[str, tuple[str, int]]
    ports: dict[str, int] = field(default_factory=dict)
    vms: list[Vm] = field(default_factory=list)
    replicas: dict[str, Replica] = field(default_factory=dict)
    config: dict[str, Any] = field(default_factory=dict)

    async def start(self) -> None:
        """Start all machines and wait until they are ready."""
        names = ("front", "ready", "control", "directory", "peers")
        self.ports = dict(zip(names, find_ports(len(names)), strict=True))
        pid = os.getpid()
        net = f"127.{100 + pid % 100}.{1 + pid // 100 % 200}"
        for zone, (region, count) in self.zones.items():
            for _ in range(count):
                number = len(self.vms) + 1
                vm = Vm(f"front-{zone}-{number}", f"{net}.{number}", zone, region)
                self.vms.append(vm)
        for vm in self.vms:
            self.start_vm(vm, is_first=True)
        await self.wait_ready(self.vms)

    def start_vm(self, vm: Vm, *, is_first: bool = False) -> None:
        """Start a machine's process with the command of the deploy file."""
        path = self.folder / f"{vm.name}.toml"
        path.write_text(self._make_settings(vm, is_first=is_first))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            "BANYANSEAM_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(  # noqa: S603
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, vms: list[Vm]) -> None:
        """Wait until machines are ready; raise CannotRun."""
        for vm in vms:
            for _ in range(300):
                if vm.process.poll() is not None:
                    raise CannotRun(f"{vm.name} has ended")
                if await self.is_ready(vm):
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{vm.name} isn't ready")

    async def is_ready(self, vm: Vm) -> bool:
        """Ask a machine whether it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    vm.ip, self.ports["ready"]
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def find_owner(self, port: int) -> str:
        """Return the machine whose process has the other end of a connection."""
        local = f"0100007F:{port:04X}"
        lines = Path("/proc/net/tcp").read_text().split("\n")[1:]
        found = [fields for line in lines if len(fields := line.split()) > 9]
        sockets = {f"socket:[{each[9]}]" for each in found if each[1] == local}
        for vm in self.vms:
            with contextlib.suppress(OSError):
                for each in Path(f"/proc/{vm.process.pid}/fd").iterdir():
                    with contextlib.suppress(OSError):
                        if str(each.readlink()) in sockets:
                            return vm.name
        return "-"

    def find_front(self, vm: Vm) -> str:
        """Return a machine's address for clients."""
        return f"{vm.ip}:{self.ports['front']}"

    async def add_replica(self, replica_id: str, zone: str, **fields: Any) -> Replica:
        """Start a replica and register it."""
        replica = Replica(self.store, self.record, replica_id, zone, **fields)
        await replica.start()
        self.replicas[replica_id] = replica
        return replica

    def publish(self, **changes: Any) -> None:
        """Write the next version of the configuration."""
        self.config |= changes
        self.config["version"] = self.config.get("version", 0) + 1
        self.store.put("op/config", self.config)

    def close(self) -> None:
        """End the processes that were started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()

    def _make_settings(self, vm: Vm, *, is_first: bool) -> str:
        # Connections on loopback come from one address, which the peers' port must
        # know. It listens nowhere, as a stale seed.
        seeds = ["127.0.0.1:1"]
        seeds += [f"{each.ip}:{self.ports['control']}" for each in self.vms[:2]]
        listen = "\n".join(
            f'{name} = "{vm.ip}:{self.ports[name]}"'
            for name in ("front", "ready", "control", "directory")
        )
        zones = "\n".join(f'{zone} = "{each[0]}"' for zone, each in self.zones.items())
        peers = self.ports["peers"]
        return SETTINGS.format(
            name=vm.name,
            ip=vm.ip,
            zone=vm.zone,
            region=vm.region,
            peers=peers,
            seeds=json.dumps(seeds),
            is_first=str(is_first).lower(),
            zones=zones,
            listen=listen,
            store=self.store.address,
        )


SETTINGS: Final = """\
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peers},{peers}]
seeds = {seeds}
bootstrap = {is_first}
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
contact_ms = 5000
drain_ms = 3000
grace_s = 8
config_apply_ms = 3000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
quota_window_s = 8
quota_over = 0.25
quota_slack = 190000
cold_over = 1.5
cold_slack = 3
evac_ms = 5000
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
reads_per_s = 2000
history_s = 20
"""


def make_config() -> dict[str, Any]:
    """Return a configuration like that of the first site."""

    def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "max_attempts": 2,
            "public": False,
            "resumable": False,
            "sticky": kind == "streaming",
            "home_regions": [],
        } | fields

    return {
        "routes": [
            route("query", "streaming", "banyan-pool", resumable=True, gap_aim_ms=400),
            route(
                "summary",
                "streaming",
                "banyan-pool",
                gap_aim_ms=400,
                max_attempts=1,
                timeout_ms=8000,
                target_latency_ms=1200,
            ),
        ],
        "services": [
            {
                "name": "banyan-pool",
                "max_connections": 370,
                "health_path": "/healthz",
                "warmup_s": 3,
                "cold_per_s": 4.5,
                "engine": {"slots": 64, "kv_tokens": 294902},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 1_000_000,
                "burst": 1_000_000,
            }
        ],
    }


def make_prompt(*parts: tuple[str, int], out: int = 45) -> Headers:
    """Return the headers that tell the parts of a prompt."""
    tokens = sum(each for _, each in parts)
    return {
        "Model": "m",
        "Token-Usage": f"{tokens},{out}",
        "Prompt-Prefix": ",".join(f"{name}:{each}" for name, each in parts),
    }


def find_ports(count: int) -> list[int]:
    """Return free ports."""
    with contextlib.ExitStack() as stack:
        found = [
            stack.enter_context(contextlib.closing(socket.socket()))
            for _ in range(count)
        ]
        for each in found:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in found]


@contextlib.contextmanager
def temporary_folder() -> Iterator[Path]:
    """Provide a folder that is removed at the end."""
    folder = Path(tempfile.mkdtemp())
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


Case = Callable[[Deployment, bool], Awaitable[str | None]]


def main(
    script: str, zones: dict[str, tuple[str, int]], case: Case, limit_s: float = 110
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    The case gets whether there is to be trouble, and returns how the rule was broken.
    """
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).resolve().parent / "record.txt")

    async def run(folder: Path) -> str | None:
        store = Store()
        await store.start()
        deployment = Deployment(folder, record, store, zones)
        deployment.config = make_config()
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment, is_trouble)
        finally:
            deployment.close()
            if keep := os.environ.get("KEEP_LOGS"):
                shutil.copytree(folder, keep, dirs_exist_ok=True)

    # Ends the processes of the case also if it is ended itself.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        with temporary_folder() as folder:
            broken = asyncio.run(run(folder))
    except (CannotRun, TimeoutError) as error:
        record.add("not run", why=repr(error))
        print(f"not run: {error!r}")
        code = NOT_RUN
    else:
        code = HELD if broken is None else BROKEN
        record.add("end", trouble=is_trouble, broken=broken)
        print("held" if broken is None else f"broken: {broken}")
    record.close()
    sys.exit(code)
