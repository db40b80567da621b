"""Simulates entry daemons in one process on a mocked clock, with injected faults.

The daemons run their own code; only sockets are replaced. Faults are given by name,
one for each send of a request to an upstream or a peer, in the order of the sends.
"""

import json
import math
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from contextvars import ContextVar
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any
from unittest import mock

import anyio
import httpcore
from anyio.abc import TaskGroup

from banyanseam.entry.app import Entry
from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.frontend import make_callers_app, make_peers_app
from banyanseam.entry.main import make_entry
from banyanseam.entry.messages import (
    Gossip,
    ValuesMessage,
    decode_gossip,
    encode_gossip,
)
from banyanseam.entry.models import Upstream
from banyanseam.entry.peer_connections import PeerConnections
from banyanseam.entry.sending import IncomingAnswer, OutgoingRequest, race
from banyanseam.entry.upstream_starts import make_start_key
from banyanseam.observe.events import INTERNAL_FAILURE, Event
from banyanseam.platform.wire import REPORT_PATH
from banyanseam.server.callers import AnswerAborted
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.upstreams.errors import UpstreamTimedOut, UpstreamUnreachable
from standins.platform_fleet import HOST, KEY, make_config
from tests.entry.common import make_settings, make_upstream

REGIONS = {"gulf-a": "gulf", "piedmont-a": "piedmont"}
EVENTS = 5
EVENT_PAUSE_S = 0.02
COMMENT = b": working\n\n"
STALL_S = 2.5
# How long the end of a connection takes to reach a peer.
CLOSE_S = 0.0
# Of a datagram.
LATENCY_S = 0.005
# Longer than a VM waits for a first byte if it could send the request again.
SLOW_S = 2.0
MAX_ATTEMPTS = 2
# Faults of a send to an upstream. A send with one of NOT_RUN never runs.
NOT_RUN = ("refused", "lost", "full", "pause", "misdirected")
# How long an upstream asks for no requests with the fault "pause".
PAUSE_S = 2
# How long an upstream that fell over is away.
FALLEN_S = 3.0
FAULTS = (
    *NOT_RUN,
    "error",
    "no answer",
    "silent",
    "cut",
    "stall",
    "crossed",
    "unsigned",
    "skip",
    "short",
    "leaving",
    "empty",
    "rejected",
    "error inside",
    "old refusal",
    "old misdirection",
    "refusal without id",
)
# What a VM meets at an upstream that it doesn't reach. A connection that is reset was
# accepted, and does not run what was written.
UNREACHED_FORMS = ("refused", "hang", "reset")
# The VM whose code is running.
ACTING_VM: ContextVar[str] = ContextVar("acting_vm", default="")
# Faults of a send to a peer, which serves the request unless it is unreachable.
PEER_FAULTS = ("refused", "lost", "answer lost", "cut")
# What an engine sends for a stream, instead of a fault: pauses in seconds, and what
# `_play_script` knows.
Script = tuple[str | float, ...]


@dataclass(slots=True)
class Run:
    """A request that an upstream has started to run."""

    upstream_id: str
    region: str
    headers: dict[str, str]
    at_s: float
    software: str | None = None
    # When its connection was closed.
    ended_s: float = math.inf


@dataclass(slots=True)
class Caller:
    """A caller's request and the answer that it got."""

    request_id: str
    path: str
    vm: str
    sent_s: float
    # Whether the VM knew that the key was withdrawn when the request was sent.
    is_key_withdrawn: bool = False
    method: str = "POST"
    body_sent: bytes = b""
    # The shared and own segments of the prompt, as the header names them.
    segments: bytes = b""
    deadline_ms: int = 4000
    # The organisation's home regions as the VM knew them then; empty if it has none.
    homes: frozenset[str] = frozenset()
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    # Time until the answer began.
    took_s: float = 0.0
    # The request that brought the first event of a stream that is taken up, the last
    # event that the caller has of it, and after how many events it disconnects.
    begun_as: str | None = None
    after_event: int = 0
    leaves_after: int | None = None


@dataclass(eq=False, slots=True)
class Room:
    """What an upstream runs at a time, and lets wait, before it refuses."""

    slots: int
    call_s: float
    waiting: int = 0
    # Says so in its answers, and falls over if it refuses more in a second.
    brittle_per_s: int | None = None
    may_fall: bool = True
    requests: int = 0
    refused_s: list[float] = field(default_factory=list)

    def count_refusals(self) -> int:
        """Return how many requests it refused in the last second."""
        since_s = anyio.current_time() - 1
        return sum(at_s > since_s for at_s in self.refused_s)


@dataclass(slots=True)
class Simulation:
    """Two regions, each with two VMs, two engines and a desk."""

    tasks: TaskGroup
    # For checks of upstreams.
    checks: TaskGroup
    entries: dict[str, Entry] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    config: dict[str, Any] = field(default_factory=make_config)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    callers: list[Caller] = field(default_factory=list)
    # Faults of a request's sends to upstreams and to peers, in order.
    faults: dict[str, list[str | Script]] = field(default_factory=dict)
    peer_faults: dict[str, list[str]] = field(default_factory=dict)
    # How often a request was forwarded to a peer.
    forwards: Counter[str] = field(default_factory=Counter)
    # Requests a second that upstreams name as their limit, by id.
    limits_per_s: dict[str, float] = field(default_factory=dict)
    # The rooms of upstreams that have slots, by name, and who fell over and when.
    rooms: dict[str, Room] = field(default_factory=dict)
    falls: list[tuple[str, float]] = field(default_factory=list)
    is_partitioned: bool = False
    # Upstreams that refuse connections, by name.
    down: set[str] = field(default_factory=set)
    # Registrations of upstreams that have started again since, by name.
    old_registrations: dict[str, Upstream] = field(default_factory=dict)
    # Upstreams by name that a VM doesn't reach, and what it meets there. Answers that
    # have begun go on.
    unreached: dict[str, set[str]] = field(default_factory=dict)
    unreached_form: str = "refused"
    # Requests that were written to an upstream that their VM doesn't reach, and when.
    spent: list[tuple[str, float]] = field(default_factory=list)
    # How often each VM connected to an upstream.
    connections: Counter[str] = field(default_factory=Counter)
    # VMs that no other VM reaches.
    cut_off: set[str] = field(default_factory=set)
    # VMs that don't reach the store; those that are cut off don't either.
    without_store: set[str] = field(default_factory=set)
    revision: int = 1
    # Unexpected exceptions in the daemons.
    internal_failures: list[str] = field(default_factory=list)

    def start(self) -> None:
        """Start all VMs with the current values and upstreams."""
        for route in self.config["routes"]:
            route["max_attempts"] = MAX_ATTEMPTS
        for place, region in enumerate(("gulf", "piedmont"), start=1):
            for kind in ("pool", "pool-two", "desk"):
                name = f"{kind}-{region}"
                self.upstreams[name] = make_upstream(
                    name,
                    service=kind.partition("-")[0],
                    address=f"10.9.{place}.{len(self.upstreams)}:80",
                    data_centre=f"{region}-a",
                )
            for number in (1, 2):
                self.start_vm(f"10.{place}.0.{number}", region)
        self.publish()
        self.gossip()

    def start_vm(self, ip: str, region: str) -> None:
        """Start a VM, or replace a running one by a restarted one without state."""
        settings = replace(
            make_settings(ip, region), first_peers=("10.1.0.1", "10.2.0.1")
        )
        entry = make_entry(settings, None, lambda: settings)
        entry.lifecycle.begin_serving()
        entry.gossip._send = partial(self._deliver, ip)
        entry.start_checks.tasks = self.checks
        entry.service_checks.tasks = self.checks
        # Its clock isn't the mocked one: a busy machine would suspend VMs.
        entry.suspension_detector._term_s = math.inf
        entry.store_watcher._is_unchanged = partial(self._is_list_unchanged, ip)
        entry.origins.send = partial(self._deliver_origins, ip)
        self.checks.start_soon(entry.origins.run)
        entry.upstreams.on_resumed = lambda: self.checks.start_soon(
            entry.gossip.request_upstreams
        )
        self.entries[ip] = entry

    def restart_vm(self, ip: str) -> None:
        """Restart a VM, which gets the full state of a peer before it serves."""
        self.start_vm(ip, self.entries[ip].settings.region)
        self.publish()
        entry = self.entries[ip]
        peer = next(
            each for each in self.entries if self._can_reach(ip, each) and each != ip
        )
        hello = entry.gossip._compose_hello()
        reply = self.entries[peer].gossip._handle_heartbeat(hello)
        entry.gossip._handle_heartbeat(reply)
        self.gossip()

    def restart_all_vms(self) -> None:
        """Let all VMs die at once and start without state."""
        for ip, entry in list(self.entries.items()):
            self.start_vm(ip, entry.settings.region)
        self.publish()
        self.gossip()

    def replace_upstreams(self, number: int) -> None:
        """Let all upstreams be new incarnations, with new ids."""
        for name, upstream in self.upstreams.items():
            self.upstreams[name] = replace(
                upstream, upstream_id=f"{name}-{number}", started_ms=number
            )

    def restart_upstream(self, name: str) -> None:
        """Let an upstream start again under its id; the list does not show it yet."""
        upstream = self.upstreams[name]
        self.old_registrations.setdefault(name, upstream)
        self.upstreams[name] = replace(upstream, started_ms=upstream.started_ms + 1)
        self.down.discard(name)

    def register_restart(self, name: str, cold_ms: int) -> None:
        """Let the list show the latest start of an upstream."""
        del self.old_registrations[name]
        self.revision += 1
        self.upstreams[name] = replace(
            self.upstreams[name], cold_ms=cold_ms, revision=self.revision
        )

    def publish(self, *, to: set[str] | None = None, evacuated: str = "") -> None:
        """Publish a configuration to all VMs, or only to the VMs in `to`."""
        self.revision += 1
        self.config["version"] = self.revision
        message = ValuesMessage(
            config=json.dumps(self.config).encode(),
            evacuated=[evacuated] if evacuated else [],
            evacuation_revision=self.revision,
        )
        for ip, entry in self.entries.items():
            if to is None or ip in to:
                entry.values.apply_message(message, "test", anyio.current_time())

    def gossip(self, *, lost: bool = False) -> None:
        """Exchange heartbeats twice between all VMs that can reach each other."""
        now_s = anyio.current_time()
        listing = {**self.upstreams, **self.old_registrations}
        for ip, entry in self.entries.items():
            if ip not in self.cut_off | self.without_store:
                entry.values.adopt_upstreams(listing.values(), self.revision, now_s)
        for _ in range(2):
            for ip, entry in self.entries.items():
                entry.gossip._update_own_row()
                near = encode_gossip(entry.heartbeats.compose_for_own_region())
                everything = encode_gossip(entry.heartbeats.compose_full())
                for other_ip, other in self.entries.items():
                    if other_ip == ip or lost or not self._can_reach(ip, other_ip):
                        continue
                    is_near = other.settings.region == entry.settings.region
                    data = near if is_near else everything
                    with acting(other_ip):
                        other.gossip._handle_heartbeat(decode_gossip(data))

    def ask(
        self,
        vm: str,
        path: str,
        faults: list[str | Script],
        peer_faults: list[str],
        segments: bytes = b"",
        *,
        method: str = "POST",
        body: bytes | None = None,
        begun_as: str | None = None,
        after_event: int = 0,
        leaves_after: int | None = None,
        deadline_ms: int = 4000,
    ) -> int:
        """Send a caller's request to a VM, and return its index in `callers`.

        The body is by default the segments.
        """
        number = len(self.callers)
        request_id = f"request-{number}"
        self.faults[request_id] = list(faults)
        self.peer_faults[request_id] = list(peer_faults)
        caller = Caller(request_id, path, vm, anyio.current_time(), segments=segments)
        caller.method = method
        caller.body_sent = segments if body is None else body
        caller.begun_as, caller.after_event = begun_as, after_event
        caller.leaves_after = leaves_after
        caller.deadline_ms = deadline_ms
        self.callers.append(caller)
        with acting(vm):
            self.tasks.start_soon(self._ask, self.entries[vm], caller)
        return number

    async def _ask(self, entry: Entry, caller: Caller) -> None:
        catalogue = entry.values.catalogue
        if catalogue is not None:
            caller.is_key_withdrawn = not catalogue.organisations_by_key
            caller.homes = catalogue.organisations["acme"].home_regions
        headers = [
            (b"host", HOST.encode()),
            (b"request-id", caller.request_id.encode()),
            (b"request-deadline", str(caller.deadline_ms).encode()),
            (b"authorization", f"Bearer {KEY}".encode()),
            (b"model", b"m"),
            (b"token-usage", b"400,40"),
            (b"prompt-prefix", caller.segments),
        ]
        if caller.begun_as is not None:
            headers.append((b"resumes", caller.begun_as.encode()))
        if caller.after_event:
            headers.append((b"last-event-id", str(caller.after_event).encode()))
        outgoing = OutgoingRequest(
            "",
            caller.method,
            caller.path.encode(),
            headers,
            caller.body_sent,
            1.0,
            60.0,
        )
        app = make_callers_app(entry.frontend)
        with suppress(ConnectionBroken):
            async with self._call_app(app, outgoing, "10.7.0.1") as incoming:
                caller.status = incoming.status
                caller.took_s = anyio.current_time() - caller.sent_s
                pairs = [(a.decode(), b.decode()) for a, b in incoming.headers]
                caller.headers = dict(pairs)
                async for part in incoming.body:
                    caller.body += part
                    if caller.body.count(b"\n\n") == caller.leaves_after:
                        return
                caller.is_whole = True

    @asynccontextmanager
    async def send(
        self,
        outgoing: OutgoingRequest,
        before_write: Callable[[], None],
        wait_for_better: Callable[[], Any] | None = None,
        connections: PeerConnections | None = None,
    ) -> AsyncIterator[IncomingAnswer]:
        """Replace `sending.send`: apply a fault or answer in memory."""
        headers = {a.decode().lower(): b.decode() for a, b in outgoing.headers}
        # Fetches of published values have no request id; their faults go by the path.
        request_id = headers.get("request-id", outgoing.target.decode())
        ip = outgoing.address.partition(":")[0]
        peer = self.entries.get(ip)
        queues = self.faults if peer is None else self.peer_faults
        fault = queues[request_id].pop(0) if queues.get(request_id) else ""
        if peer is not None and not self._can_reach(headers["x-banyanseam-sender"], ip):
            fault = "refused"
        at_address = {
            name: each
            for name, each in self.upstreams.items()
            if each.address == outgoing.address
        }
        listening = list(at_address.values())
        vm = ACTING_VM.get()
        is_unreached = bool(self.unreached.get(vm, set()) & at_address.keys())
        if peer is None:
            self.connections[vm] += 1
        if self.down & at_address.keys() or (
            is_unreached and self.unreached_form == "refused"
        ):
            refusal = httpcore.ConnectError()
            refusal.__cause__ = ConnectionRefusedError()
            raise UpstreamUnreachable(outgoing.address) from refusal
        if is_unreached and self.unreached_form == "hang":
            fault = "refused"
        if is_unreached and self.unreached_form == "reset":
            before_write()
            self.spent.append((request_id, anyio.current_time()))
            raise ConnectionBroken(outgoing.address)
        if fault == "refused" or (peer is None and not listening):
            await anyio.sleep(outgoing.connect_timeout_s)
            raise UpstreamUnreachable(outgoing.address)
        before_write()
        if outgoing.target == REPORT_PATH.encode():
            body = json.dumps({"born": listening[0].started_ms}).encode()
            yield IncomingAnswer(200, [], _stream([body]))
            return
        if peer is None and "request-id" not in headers:
            # A health check.
            yield IncomingAnswer(200, [], _stream([b""]))
            return
        if fault == "lost":
            await anyio.sleep(outgoing.first_byte_timeout_s)
            raise UpstreamTimedOut(outgoing.address)
        if peer is not None:
            app = make_peers_app(peer.frontend)
            sender = headers["x-banyanseam-sender"]
            self.forwards[request_id] += 1
            async with self._call_app(app, outgoing, sender, fault) as incoming:
                yield incoming
            return
        try:
            (name,) = at_address
            pending = self._answer(name, listening[0], headers, fault)
            if wait_for_better is not None:
                pending = race(pending, wait_for_better)
            try:
                with anyio.fail_after(outgoing.first_byte_timeout_s):
                    incoming = await pending
            except TimeoutError:
                raise UpstreamTimedOut(outgoing.address) from None
            started_ms = listening[0].started_ms
            body = self._break_at_crash(name, started_ms, incoming.body)
            yield replace(incoming, body=body)
        finally:
            for run in self.runs.get(request_id, []):
                if run.headers is headers:
                    run.ended_s = anyio.current_time()

    @asynccontextmanager
    async def _enter_room(
        self, name: str, headers: dict[str, str]
    ) -> AsyncIterator[IncomingAnswer | None]:
        """Hold a slot of an upstream for a call, or return its refusal."""
        room = self.rooms.get(name)
        if room is None:
            yield None
            return
        if room.requests >= room.slots + room.waiting:
            room.refused_s.append(anyio.current_time())
            limit = room.brittle_per_s if room.may_fall else None
            if limit is not None and room.count_refusals() > limit:
                self._fall_over(name)
            answer = [(b"request-id", headers["request-id"].encode())]
            answer += [(b"not-executed", b"1"), *_say_brittle(room)]
            yield IncomingAnswer(503, answer, _stream([b""]))
            return
        room.requests += 1
        try:
            turns = max(0, room.requests - room.slots) / room.slots
            await anyio.sleep(room.call_s * (1 + turns))
            if self.rooms[name] is not room:
                raise ConnectionBroken(name)
            yield None
        finally:
            room.requests -= 1

    def _fall_over(self, name: str) -> None:
        """End all that an upstream runs; it is back, cold, after some seconds."""
        self.falls.append((name, anyio.current_time()))
        self.rooms[name] = replace(self.rooms[name], requests=0, refused_s=[])
        self.down.add(name)

        async def come_back() -> None:
            await anyio.sleep(FALLEN_S)
            self.restart_upstream(name)
            self.register_restart(name, cold_ms=2000)

        self.checks.start_soon(come_back)

    async def _break_at_crash(
        self, name: str, started_ms: int, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield an upstream's answer as long as it does not start again."""
        async for part in body:
            # One that is no longer registered finishes its answers.
            latest = self.upstreams.get(name)
            has_restarted = latest is not None and latest.started_ms != started_ms
            if name in self.down or has_restarted:
                raise ConnectionBroken(name)
            yield part

    async def _answer(
        self, name: str, upstream: Upstream, headers: dict[str, str], fault: str
    ) -> IncomingAnswer:
        """Run a request, and return its answer once that begins."""
        async with self._enter_room(name, headers) as refusal:
            incoming = refusal or await self._run(upstream, headers, fault)
        if incoming is None and fault == "no answer":
            raise ConnectionBroken(upstream.address)
        if incoming is None:
            await anyio.sleep_forever()
        return incoming

    async def _run(
        self, upstream: Upstream, headers: dict[str, str], fault: str
    ) -> IncomingAnswer | None:
        """Run a request on an upstream; return None if it never answers."""
        own_id = (b"request-id", headers["request-id"].encode())
        old_id = (b"request-id", b"other")
        refusal = (b"not-executed", b"1")
        if fault == "full":
            return IncomingAnswer(503, [refusal, own_id], _stream([b""]))
        if fault == "pause":
            pause = (b"retry-after", str(PAUSE_S).encode())
            return IncomingAnswer(503, [refusal, own_id, pause], _stream([b""]))
        if fault == "misdirected" or headers["expect-instance"] != upstream.upstream_id:
            return IncomingAnswer(421, [own_id], _stream([b""]))
        if fault == "slow":
            await anyio.sleep(SLOW_S)
        region = REGIONS[upstream.data_centre]
        run = Run(
            upstream.upstream_id,
            region,
            headers,
            anyio.current_time(),
            upstream.software,
        )
        self.runs.setdefault(headers["request-id"], []).append(run)
        if fault in ("no answer", "silent"):
            return None
        # The request runs, but what comes back belongs to an earlier one, or may do so.
        if fault == "old refusal":
            return IncomingAnswer(503, [refusal, old_id], _stream([b"full"]))
        if fault == "old misdirection":
            return IncomingAnswer(421, [old_id], _stream([b""]))
        if fault == "refusal without id":
            return IncomingAnswer(503, [refusal], _stream([b"full"]))
        answer_id = "other" if fault == "crossed" else headers["request-id"]
        answer = [(b"request-id", answer_id.encode())]
        if fault == "leaving":
            answer.append((b"server-leaving", b"1"))
        if upstream.upstream_id in self.limits_per_s:
            limit = str(self.limits_per_s[upstream.upstream_id])
            answer.append((b"server-limit", limit.encode()))
        answer += _say_brittle(self.rooms.get(upstream.upstream_id))
        if fault != "unsigned":
            answer.append((b"upstream-signature", b"s"))
        if fault == "rejected":
            return IncomingAnswer(400, answer, _stream([b"rejected"]))
        if fault == "error":
            return IncomingAnswer(500, answer, _stream([b"failed"]))
        if upstream.service == "desk":
            body = make_body(answer_id)
            answer.append((b"content-length", str(len(body)).encode()))
            parts = {"cut": [body[:4], None], "short": [body[:4]], "empty": []}.get(
                fault, [body]
            )
            return IncomingAnswer(200, answer, _stream(parts))
        first = int(headers.get("last-event-id", "0")) + 1
        parts = _list_events(first, fault, answer_id, upstream.software)
        return IncomingAnswer(200, answer, _stream(parts))

    @asynccontextmanager
    async def _call_app(
        self, app: Any, outgoing: OutgoingRequest, client_ip: str, fault: str = ""
    ) -> AsyncIterator[IncomingAnswer]:
        """Call an application over a connection, and disconnect on exit."""
        ip = outgoing.address.partition(":")[0]
        messages, received = anyio.create_memory_object_stream[Any](math.inf)
        connection = Connection()
        path, _, query = outgoing.target.partition(b"?")
        scope = {
            "type": "http",
            "method": outgoing.method,
            "path": path.decode(),
            "raw_path": path,
            "query_string": query,
            "headers": [(name.lower(), value) for name, value in outgoing.headers],
            "client": (client_ip, 1),
            "extensions": {CONNECTION: connection},
        }

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": outgoing.body, "more_body": False}

        has_begun = False

        async def send(message: dict[str, Any]) -> None:
            nonlocal has_begun
            is_begin = message["type"] == "http.response.start"
            if is_begin == has_begun:
                raise RuntimeError("an answer must start once, and before its body")
            has_begun = True
            # Data for a caller that has disconnected is dropped.
            with suppress(anyio.BrokenResourceError):
                await messages.send(message)

        async def run() -> None:
            with messages, suppress(AnswerAborted):
                await app(scope, receive, send)

        with acting(ip or ACTING_VM.get()):
            self.tasks.start_soon(run)
        try:
            with anyio.move_on_after(outgoing.first_byte_timeout_s):
                head = await received.receive()
                body = _read_body(received, "cut" if fault == "cut" else "")
                first = await anext(body, b"")
                if fault != "answer lost":
                    yield IncomingAnswer(
                        head["status"], head["headers"], _join(first, body)
                    )
                    return
            if fault == "answer lost":
                raise ConnectionBroken(client_ip)
            raise UpstreamTimedOut(client_ip)
        except anyio.EndOfStream:
            raise ConnectionBroken(client_ip) from None
        finally:
            received.close()
            if CLOSE_S and ip:
                self.tasks.start_soon(_lose_later, connection)
            else:
                connection.mark_lost()

    async def _deliver(
        self, sender_ip: str, ips: Iterable[str], gossip: Gossip
    ) -> None:
        """Replace the sending of heartbeats: deliver one at once to each address."""
        data = encode_gossip(gossip)
        for ip in ips:
            if self._can_reach(sender_ip, ip):
                with acting(ip):
                    gossip_of_sender = decode_gossip(data)
                    reply = self.entries[ip].gossip._handle_heartbeat(gossip_of_sender)
                if reply is not None:
                    await self._deliver(ip, [sender_ip], reply)

    async def _deliver_origins(self, sender_ip: str, ip: str, data: bytes) -> None:
        """Replace the sending of messages about the origins of streams."""
        if ip in self.entries and self._can_reach(sender_ip, ip):
            await anyio.sleep(LATENCY_S)
            await self.entries[ip].origins.receive(data, sender_ip)

    def log(self, event: Event, **fields: Any) -> None:
        """Replace `log` of the request applications."""
        if event is INTERNAL_FAILURE:
            self.internal_failures.append(fields["error"])

    async def _is_list_unchanged(self, ip: str) -> bool:
        """Replace the question whether the store shows a VM's list of upstreams."""
        if ip in self.cut_off | self.without_store:
            await anyio.sleep_forever()
        await anyio.sleep(LATENCY_S)
        listing = {**self.upstreams, **self.old_registrations}.values()
        known = self.entries[ip].upstreams.listing
        return {make_start_key(each) for each in listing} == {
            make_start_key(each) for each in known
        }

    def _can_reach(self, ip: str, other_ip: str) -> bool:
        if self.cut_off & {ip, other_ip}:
            return False
        regions = {self.entries[each].settings.region for each in (ip, other_ip)}
        return not self.is_partitioned or len(regions) == 1


@contextmanager
def acting(vm: str) -> Iterator[None]:
    """Let code run as that of a VM, and the tasks that it starts."""
    token = ACTING_VM.set(vm)
    try:
        yield
    finally:
        ACTING_VM.reset(token)


def _say_brittle(room: Room | None) -> list[tuple[bytes, bytes]]:
    if room is None or room.brittle_per_s is None:
        return []
    return [(b"server-brittle", str(room.brittle_per_s).encode())]


async def _lose_later(connection: Connection) -> None:
    await anyio.sleep(CLOSE_S)
    connection.mark_lost()


def make_body(request_id: str) -> bytes:
    """Return a desk's answer."""
    return b"answer to " + request_id.encode()


def make_event(number: int, request_id: str, software: str | None = "v1") -> bytes:
    """Return an event of an engine's answer; it names other software than v1."""
    author = "" if software == "v1" else f" by {software}"
    return f"id: {number}\ndata: word {number} of {request_id}{author}\n\n".encode()


def make_stream(request_id: str) -> bytes:
    """Return all events of an engine's answer."""
    events = [make_event(number, request_id) for number in range(1, EVENTS + 1)]
    return b"".join(events)


def _play_script(
    first: int, script: Script, request_id: str, software: str | None
) -> list[bytes | float | None]:
    """Return the parts of an engine's answer that a script describes."""
    parts: list[bytes | float | None] = []
    number, sent = first, 0

    def make(number: int) -> bytes:
        return make_event(number, request_id, software)

    for step in script:
        if step == "break":
            return [*parts, None]
        if step == "gap":
            # Nobody can know with which number an answer begins.
            return [*parts, make(number + (number > 1)), None]
        if isinstance(step, float):
            parts.append(step)
        elif step == "comment" and not sent:
            parts.append(COMMENT)
        elif step == "part" and not sent:
            sent = 5
            parts.append(make(number)[:sent])
        elif step == "rest":
            for each in range(number, EVENTS + 1):
                parts += [EVENT_PAUSE_S, make(each)[sent:]]
                sent = 0
        elif step in ("event", "event and part") and number <= EVENTS:
            # The part of the following event comes with the same bytes.
            following = make(number + 1)[:5] if step == "event and part" else b""
            parts.append(make(number)[sent:] + following)
            number, sent = number + 1, len(following)
    return parts


def _list_events(
    first: int, fault: str | Script, request_id: str, software: str | None
) -> list[bytes | float | None]:
    if isinstance(fault, tuple):
        return _play_script(first, fault, request_id, software)
    parts: list[bytes | float | None] = []
    for number in range(first, EVENTS + 1):
        if fault == "empty":
            break
        parts.append(EVENT_PAUSE_S)
        if fault == "comment":
            return [*parts, COMMENT, EVENT_PAUSE_S, None]
        if number == first and fault == "stall inside":
            event = make_event(number, request_id, software)
            parts += [event[:5], STALL_S, event[5:]]
            continue
        if number == first and fault == "comment inside":
            parts += [COMMENT[:5], STALL_S, COMMENT[5:], STALL_S]
        if number == first + 1:
            if fault == "cut":
                return [*parts, make_event(number, request_id, software)[:5], None]
            if fault == "short":
                return [*parts, make_event(number, request_id, software)[:5]]
            if fault == "error inside":
                return [*parts, b"HTTP/1.1 500 Failed\n\n"]
            if fault == "stall":
                parts.append(STALL_S)
            if fault == "skip":
                continue
        parts.append(make_event(number, request_id, software))
    return parts


async def _stream(parts: list[bytes | float | None]) -> AsyncIterator[bytes]:
    """Yield bytes, sleep for floats (seconds), break the connection at None."""
    for part in parts:
        if part is None:
            raise ConnectionBroken("cut")
        if isinstance(part, float):
            await anyio.sleep(part)
        else:
            yield part


async def _read_body(received: Any, fault: str) -> AsyncIterator[bytes]:
    count = 0
    while True:
        try:
            message = await received.receive()
        except anyio.EndOfStream:
            raise ConnectionBroken("cut") from None
        count += 1
        if fault == "cut" and count == 2:
            raise ConnectionBroken("cut")
        if message["body"]:
            yield message["body"]
        if not message.get("more_body", False):
            return


async def _join(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for part in rest:
        yield part


@asynccontextmanager
async def start_simulation() -> AsyncIterator[Simulation]:
    """Start the simulation on the running clock; wait on exit until requests end."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as checks:
            async with anyio.create_task_group() as tasks:
                simulation = Simulation(tasks, checks)
                for name, replacement in (
                    ("banyanseam.entry.relay.send", simulation.send),
                    ("banyanseam.entry.values_fetcher.send", simulation.send),
                    ("banyanseam.entry.start_checks.send", simulation.send),
                    (
                        "banyanseam.entry.unreached.service_checks.send",
                        simulation.send,
                    ),
                    ("banyanseam.entry.frontend.log", simulation.log),
                ):
                    stack.enter_context(mock.patch(name, replacement))
                simulation.start()
                yield simulation
            # Checks of upstreams that stay down do not end by themselves.
            checks.cancel_scope.cancel()
