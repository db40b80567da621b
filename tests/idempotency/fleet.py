"""An in-memory fleet of entries, with upstreams that count their runs per key."""

import uuid
from collections import Counter
from dataclasses import dataclass, field

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.client import HomeClient
from banyanseam.idempotency.handover import hand_over, serve_homes, take_over
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.mapping import find_home, make_mapping
from banyanseam.idempotency.models import Scope
from banyanseam.idempotency.tickets import TicketIssuer
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.messages import PeerIdentity
from banyanseam.pipe.errors import DeadlineExceeded
from banyanseam.pipe.idempotency import run_at_most_once
from banyanseam.pipe.residency import find_regions
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamUnreachable
from tests.common import FakeFabric, make_config, make_exchange

EPOCH_S = 1_800_000_000.0
DEADLINE_S = 30.0


def make_key(stamp_s, number=1):
    """Return a UUIDv7 key that is stamped with a time of the mock clock."""
    value = int((EPOCH_S + stamp_s) * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class Sink:
    """Records the answer that one caller received."""

    def __init__(self):
        self.started = False
        self.status = None
        self.headers = []
        self.body = b""

    async def start(self, status, headers):
        self.started = True
        self.status, self.headers = status, headers

    async def send(self, data):
        self.body += data


def make_clinic_config(version=1, **kwargs):
    """Return a configuration whose service has an upstream in every region."""
    regions = ("gulf", "piedmont", "delta")
    return make_config(version, regions=regions, serves_clinic=regions, **kwargs)


@dataclass
class Receipt:
    """One sent request and its outcome."""

    key: str
    deadline_s: float
    sink: Sink = field(default_factory=Sink)
    error: BanyanseamError | None = None
    started_upstream: bool = False
    refused_s: float = 0.0
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def says_not_run(self):
        return bool(self.error and self.error.not_run and not self.started_upstream)


class Entry:
    """One process at a seat."""

    def __init__(self, fleet, seat, incarnation):
        self.fleet = fleet
        self.me = PeerIdentity(seat, incarnation)
        self.network = fleet.fabric.join(seat, incarnation)
        wall_clock = lambda: EPOCH_S + anyio.current_time()  # noqa: E731
        self.homes = Homes(self.me, wall_clock)
        self.home = self.homes.own
        serve_homes(self.homes, self.network)
        self.homes.adopt(make_mapping(fleet.config))
        self.ticket_issuer = TicketIssuer(seat, incarnation, b"a secret of the fleet")

    async def run(self, *, task_status):
        async with anyio.create_task_group() as self.tasks:
            start_soon = self.tasks.start_soon
            client = HomeClient(self.me, self.homes, self.network, start_soon)
            seats = self.fleet.config.seats
            self.filter = run_at_most_once(
                self.me,
                self.ticket_issuer,
                self.homes,
                client,
                self.run_elsewhere,
                lambda seat: seats[seat].region if seat in seats else None,
            )
            start_soon(self.homes.run)
            start_soon(take_over, self.homes, self.network)
            task_status.started()
            await anyio.sleep_forever()

    async def run_elsewhere(self, exchange, seat):
        if self.fleet.fabric.is_partitioned(self.me.seat, seat):
            raise PeerUnreachable(seat)
        other = self.fleet.entries.get(seat)
        if other is None:
            raise PeerUnreachable(seat)
        exchange.forwarder = self.me
        await other.filter(exchange, self.fleet.upstream)


class Fleet:
    """Entries of three regions; `at` maps a phase of a run to an action to inject."""

    def __init__(self, tasks, config=None):
        self.tasks = tasks
        self.config = config or make_clinic_config()
        self.fabric = FakeFabric()
        self.entries = {}
        self.incarnations = Counter()
        self.runs = Counter()
        self.headers = [(b"content-type", b"text/plain")]
        self.receipts = []
        self.at = {}
        self.disturb = None
        self.violations = []

    async def start(self, *seats):
        for seat in seats:
            self.incarnations[seat] += 1
            entry = Entry(self, seat, self.incarnations[seat])
            await self.tasks.start(entry.run)
            self.entries[seat] = entry

    def kill(self, seat):
        killed = self.entries.pop(seat)
        killed.tasks.cancel_scope.cancel()
        del self.fabric.networks[seat]
        for entry in self.entries.values():
            entry.homes.abandon_runs(seat, killed.me.incarnation)

    async def stop(self, seat):
        """Stop as planned, once no request runs."""
        entry = self.entries[seat]
        await hand_over(entry.homes, entry.network, entry.me)
        if self.entries.get(seat) is entry:
            self.kill(seat)

    async def restart(self, seat):
        if seat in self.entries:
            self.kill(seat)
        await self.start(seat)

    def partition(self, region):
        inside = {seat.name for seat in self.config.seats_of(region)}
        outside = set(self.config.seats) - inside
        self.fabric.partitions = {frozenset((a, b)) for a in inside for b in outside}

    def home_of(self, key, organisation="acme"):
        mapping = make_mapping(self.config)
        return find_home(mapping, Scope(organisation, key), "clinic")

    def make_key_at(self, home):
        """Return a key stamped now whose home's name starts with `home`."""
        stamp_s = anyio.current_time()
        keys = (make_key(stamp_s, number) for number in range(1000, 2000))
        return next(key for key in keys if self.home_of(key).startswith(home))

    async def phase(self, name, exchange):
        action = self.at.pop(name, self.disturb)
        if action is not None:
            await action(exchange)

    async def upstream(self, exchange):
        key = dict(exchange.headers)[b"idempotency-key"].decode()
        await self.phase("before", exchange)
        if anyio.current_time() >= exchange.deadline_s:
            raise DeadlineExceeded
        exchange.upstream_started = True
        self.runs[key] += 1
        self.violations += [
            receipt
            for receipt in self.receipts
            if receipt.key == key
            and receipt.says_not_run
            and exchange.received_s < receipt.refused_s
        ]
        await self.phase("sent", exchange)
        await exchange.reply.start(201, self.headers)
        await self.phase("started", exchange)
        await exchange.reply.send(b"booked")
        await self.phase("answered", exchange)

    def send(self, seat, key, body=b"tuesday", deadline_s=DEADLINE_S):
        """Send a request without waiting for its answer."""
        receipt = Receipt(key, anyio.current_time() + deadline_s)
        self.receipts.append(receipt)
        self.entries[seat].tasks.start_soon(self._serve, seat, receipt, body)
        return receipt

    async def ask(self, seat, key, *args):
        """Send a request and wait until it has ended for the caller."""
        receipt = self.send(seat, key, *args)
        with anyio.move_on_after(4 * DEADLINE_S):
            await receipt.ended.wait()
        return receipt

    async def _serve(self, seat, receipt, body):
        exchange = make_exchange(
            receipt.sink,
            request_id=str(len(self.receipts)),
            headers=[(b"idempotency-key", receipt.key.encode())],
            received_s=anyio.current_time(),
            organisation=self.config.organisations["acme"],
            route=self.config.routes["clinic"],
            deadline_s=receipt.deadline_s,
            fingerprint=body.hex(),
            may_have_run=True,
        )
        exchange.regions = find_regions(exchange.route, exchange.organisation)
        if seat not in self.entries:
            return
        try:
            with anyio.CancelScope(deadline=exchange.deadline_s) as scope:
                await self.entries[seat].filter(exchange, self.upstream)
            if scope.cancelled_caught:
                raise DeadlineExceeded
        except BanyanseamError as error:
            receipt.error = error
            receipt.started_upstream = not exchange.is_surely_not_run
            receipt.refused_s = anyio.current_time()
            if receipt.says_not_run and self.runs[receipt.key]:
                self.violations.append(receipt)
        receipt.ended.set()


async def fail_before(exchange):
    raise UpstreamUnreachable


async def fail_after(exchange):
    raise UpstreamFailed
