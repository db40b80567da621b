"""Starts entry daemons on loopback with stand-ins of the platform and its servers.

Only the standard library is used. The daemons are started with the command of the
deploy file, from the tree that its build lays out.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "clinic.example"
KEY = "key-of-acme"
PORT_NAMES = ("front", "ready", "control", "directory", "peers")
START_TIMEOUT_S = 30.0
BROKEN, HELD, NOT_RUN = 1, 0, 2

Headers = dict[str, str]


def has_trouble() -> bool:
    """Return whether the case shall cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began_s:9.3f} s  {text}\n")
        self._file.flush()


@dataclass(slots=True)
class HttpMessage:
    """A request, or the head of an answer with what was read of its body."""

    first: str
    headers: Headers
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a start line and headers; raise IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return HttpMessage(first, {name.lower(): value.strip() for name, value in pairs})


async def read_request(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a request whose body has a length."""
    message = await read_head(reader)
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


def render_head(first: str, headers: Headers) -> bytes:
    """Return a start line and headers as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: ranges and watches of items."""

    def __init__(self) -> None:
        """Start empty, above revision 0."""
        self.revision = 1
        self.address = ""
        self._items: dict[str, tuple[int, bytes | None]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def put(self, key: str, value: Any) -> None:
        """Write an item; None deletes it."""
        async with self._changed:
            self.revision += 1
            data = None if value is None else json.dumps(value).encode()
            self._items[key] = self.revision, data
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                path, _, query = request.first.split(" ")[1].partition("?")
                answer = await self._answer(path, _parse_query(query))
                body = json.dumps(answer).encode()
                head = {"Content-Type": "application/json"}
                head["Content-Length"] = str(len(body))
                writer.write(render_head("HTTP/1.1 200 OK", head) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: Headers) -> dict[str, Any]:
        prefix = query.get("path_prefix", "")
        if path == "/v1/kv-range":
            found = [
                self._describe(key)
                for key, (_, data) in sorted(self._items.items())
                if key.startswith(prefix) and data is not None
            ]
            return {"items": found, "has_more": False, "at": self.revision}
        after = int(query.get("after", "0"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                async with self._changed:
                    while not self._list_changes(prefix, after):
                        await self._changed.wait()
        events = self._list_changes(prefix, after)
        return {"events": events, "at": self.revision}

    def _list_changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        changed = sorted(
            (revision, key)
            for key, (revision, _) in self._items.items()
            if key.startswith(prefix) and revision > after
        )
        return [self._describe(key) for _, key in changed]

    def _describe(self, key: str) -> dict[str, Any]:
        revision, data = self._items[key]
        if data is None:
            return {"key": key, "revision": revision, "deleted": True}
        value = base64.b64encode(data).decode()
        item = {"key": key, "value": value, "revision": revision}
        return item | {"created": revision, "lease": 0}


def _parse_query(query: str) -> Headers:
    pairs = (part.partition("=") for part in query.split("&") if part)
    return {name: value.replace("%2F", "/") for name, _, value in pairs}


@dataclass(slots=True)
class Run:
    """One run at a server."""

    server: str
    request_id: str
    tenant: str
    body_bytes: int
    began_s: float
    ended_s: float | None = None
    is_whole: bool = False


@dataclass(slots=True)
class Server:
    """A server of a service: it answers whole bodies, or streams of events.

    It drops a request when its connection closes.
    """

    server_id: str
    record: Record
    work_s: float = 0.05
    body_bytes: int = 800
    events: int = 0
    address: str = ""
    runs: list[Run] = field(default_factory=list)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_request(reader)
            expected = request.headers.get("expect-instance", self.server_id)
            if expected != self.server_id:
                echo = {"Request-Id": request.headers["request-id"]}
                echo["Content-Length"] = "0"
                writer.write(render_head("HTTP/1.1 421 Misdirected", echo))
                await writer.drain()
                return
            closed = asyncio.ensure_future(reader.read(1))
            answering = asyncio.ensure_future(self._run(request, writer))
            await asyncio.wait({closed, answering}, return_when=asyncio.FIRST_COMPLETED)
            for task in (closed, answering):
                task.cancel()
            await asyncio.gather(closed, answering, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["request-id"]
        tenant = request.headers.get("tenant-id", "-")
        run = Run(
            self.server_id, request_id, tenant, len(request.body), time.monotonic()
        )
        self.runs.append(run)
        self.record.note(f"{self.server_id} runs {request_id}")
        try:
            head = {
                "Request-Id": request_id,
                "Upstream-Signature": f"{self.server_id}.{request_id}",
            }
            if self.events:
                await self._stream(head, writer)
            else:
                await asyncio.sleep(self.work_s)
                head["Content-Length"] = str(self.body_bytes)
                body = make_body(request_id, self.body_bytes)
                writer.write(render_head("HTTP/1.1 200 OK", head) + body)
                await writer.drain()
            run.is_whole = True
        finally:
            run.ended_s = time.monotonic()
            end = "whole" if run.is_whole else "dropped, its connection was closed"
            self.record.note(f"{self.server_id} ends {request_id}: {end}")

    async def _stream(self, head: Headers, writer: asyncio.StreamWriter) -> None:
        head["Content-Type"] = "text/event-stream"
        head["Transfer-Encoding"] = "chunked"
        writer.write(render_head("HTTP/1.1 200 OK", head))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s / self.events)
            event = b"id: %d\ndata: word %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def make_body(request_id: str, size_bytes: int) -> bytes:
    """Return the body that a server gives to a request."""
    line = f"answer to {request_id}\n".encode()
    return (line * (size_bytes // len(line) + 1))[:size_bytes]


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route below a path prefix of its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
        "home_regions": [],
    } | fields


@dataclass(slots=True)
class Vm:
    """A machine of the system and its process."""

    name: str
    ip: str
    region: str
    process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Machines, servers and the store of one case."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Choose ports that are free."""
        self.record = record
        self.store = Store()
        self.vms: dict[str, Vm] = {}
        self.servers: dict[str, Server] = {}
        self.ports = dict(zip(PORT_NAMES, find_free_ports(), strict=True))
        self.seeds: list[str] = []
        self.bounds: dict[str, Any] = {}
        self.version = 0
        self._folder = folder
        self._block = random.randrange(16, 240)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split(" ")

    def add_vms(self, region: str, count: int) -> None:
        """Add machines in a region of one zone."""
        index = len({vm.region for vm in self.vms.values()} | {region})
        for number in range(1, count + 1):
            name = f"front-{region}-a-{number}"
            self.vms[name] = Vm(name, f"127.{self._block}.{index}.{number}", region)

    async def add_server(
        self, server: Server, service: str, region: str, slots: int = 64
    ) -> None:
        """Start a server and register it."""
        await server.start()
        self.servers[server.server_id] = server
        await self.store.put(
            f"servers/{server.server_id}",
            {
                "service": service,
                "address": server.address,
                "zone": f"{region}-a",
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": int(time.time() * 1000),
            },
        )

    async def publish(self, **fields: Any) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        document = {"version": self.version, "limits": limits} | fields
        await self.store.put("op/config", document)
        self.record.note(f"the operator publishes version {self.version}")

    def start(self, name: str) -> None:
        """Start a machine's process with the command of the deploy file."""
        vm = self.vms[name]
        path = self._folder / f"{name}.toml"
        path.write_text(self._render_settings(vm))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BANYANSEAM_BOOT": str(path),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            vm.process = subprocess.Popen(  # noqa: S603 the deploy file's own command
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"{name} starts")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a machine's process, if it still runs."""
        process = self.vms[name].process
        is_running = process is not None and process.poll() is None
        label = signal.Signals(number).name
        self.record.note(f"{name} gets {label}{'' if is_running else ' (not running)'}")
        if is_running:
            process.send_signal(number)

    def read_log(self, name: str) -> str:
        """Return what a machine's process has written."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def wait_ended(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code of a machine's process, None if it still runs."""
        process = self.vms[name].process
        end_s = time.monotonic() + timeout_s
        while True:
            if process.poll() is not None or time.monotonic() >= end_s:
                return process.poll()
            await asyncio.sleep(0.02)

    async def wait_ready(self, *names: str) -> None:
        """Return once machines answer that they are ready; raise TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or self.vms:
                await self._wait_for_ready(name)
                self.record.note(f"{name} is ready")

    async def _wait_for_ready(self, name: str) -> None:
        while True:
            if await self.ask_ready(name) == 200:
                return
            await asyncio.sleep(0.05)

    async def ask_ready(self, name: str) -> int:
        """Return the status of a machine's readiness, 0 without an answer."""
        vm = self.vms[name]
        caller = Caller(self.record)
        answer = await caller.send(vm.ip, self.ports["ready"], "GET", "/v1/ready")
        return answer.status

    def close(self) -> None:
        """Kill the processes that still run."""
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait()

    def _render_settings(self, vm: Vm) -> str:
        # Connections on loopback come from this address, whichever machine opens them.
        seeds = [
            f"{ip}:{self.ports['control']}"
            for ip in ["127.0.0.1", *(self.vms[name].ip for name in self.seeds)]
        ]
        zones = {f"{each.region}-a": each.region for each in self.vms.values()}
        bounds = {"grace_s": 8, "ttl_max_s": 5, "quota_slack": 190000} | self.bounds
        ports = self.ports
        lines = [
            f'node = "{vm.name}"',
            'role = "entry"',
            'machine_class = "front"',
            'serves = ["front", "control", "directory"]',
            f'ip = "{vm.ip}"',
            f'zone = "{vm.region}-a"',
            f'region = "{vm.region}"',
            f"port_range = [{ports['peers']}, {ports['peers']}]",
            f"seeds = {json.dumps(seeds)}",
            "[zones]",
            *(f'{zone} = "{region}"' for zone, region in zones.items()),
            "[listen]",
            *(f'{role} = "{vm.ip}:{ports[role]}"' for role in PORT_NAMES[:4]),
            "[limits]",
            "memory_mb = 300",
            "max_fds = 4100",
            "[bounds]",
            *(f"{name} = {value}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{self.store.address}"',
        ]
        return "\n".join(lines) + "\n"


def find_free_ports() -> list[int]:
    """Return ports that are free on loopback, for TCP and UDP."""
    found: list[int] = []
    while len(found) < len(PORT_NAMES):
        port = random.randrange(12000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


@dataclass(slots=True)
class Answer:
    """What a caller got: `end` is whole, or how the connection ended."""

    request_id: str
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    end: str = "no connection"
    sent_s: float = 0.0
    ended_s: float = 0.0

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.end == "whole"


class Caller:
    """A client that sends requests to the machines' front addresses."""

    def __init__(self, record: Record, key: str = KEY) -> None:
        """Store the key to present."""
        self._record = record
        self._key = key

    async def ask(self, fleet: Fleet, name: str, path: str, **options: Any) -> Answer:
        """Send a request to a machine, and record it and its answer."""
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": str(options.pop("deadline_ms", 5000)),
            "Authorization": f"Bearer {self._key}",
        } | options.pop("headers", {})
        self._record.note(f"client sends {request_id} ({path}) to {name}")
        answer = await self.send(
            fleet.vms[name].ip,
            fleet.ports["front"],
            options.pop("method", "POST"),
            path,
            headers,
            **options,
        )
        answer.request_id = request_id
        self._record.note(
            f"client has {request_id}: status {answer.status}, {len(answer.body)} "
            f"bytes of the body, end: {answer.end}"
        )
        return answer

    async def send(
        self,
        ip: str,
        port: int,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        leave_after_s: float = 30.0,
    ) -> Answer:
        """Send a request on its own connection; leave when the time is over."""
        answer = Answer("-")
        writer = None
        try:
            async with asyncio.timeout(leave_after_s):
                reader, writer = await asyncio.open_connection(ip, port)
                fields = dict(headers or {"Host": "machine"})
                if body or method == "POST":
                    fields["Content-Length"] = str(len(body))
                answer.sent_s = time.monotonic()
                answer.end = "no answer"
                head = render_head(f"{method} {path} HTTP/1.1", fields)
                writer.write(head + body)
                await writer.drain()
                message = await read_head(reader)
                answer.status = int(message.first.split(" ")[1])
                answer.headers = message.headers
                answer.end = "broken off"
                await read_whole_body(reader, answer)
                answer.end = "whole"
        except TimeoutError:
            answer.end = "the client left"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            answer.end += f" ({type(error).__name__})"
        finally:
            answer.ended_s = time.monotonic()
            if writer is not None:
                writer.transport.abort()
        return answer


async def read_whole_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a body with a length or in chunks; raise IncompleteReadError."""
    if answer.headers.get("transfer-encoding") != "chunked":
        length = int(answer.headers.get("content-length", "0"))
        while length > len(answer.body):
            await _read_some(reader, answer, length - len(answer.body))
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        answer.body += chunk[:-2]


async def _read_some(
    reader: asyncio.StreamReader, answer: Answer, most_bytes: int
) -> None:
    data = await reader.read(most_bytes)
    if not data:
        raise asyncio.IncompleteReadError(b"", most_bytes)
    answer.body += data


@contextlib.asynccontextmanager
async def open_fleet(record: Record) -> AsyncIterator[Fleet]:
    """Provide a fleet without machines; end all its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), record)
        await fleet.store.start()
        try:
            yield fleet
        finally:
            fleet.close()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)


def run_case(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Run a case, which returns whether the rule was broken; return the exit code."""
    record = Record(folder / "record.txt")
    record.note("with its disruption" if has_trouble() else "without its disruption")
    try:
        is_broken = asyncio.run(case(record))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        return NOT_RUN
    record.note("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
