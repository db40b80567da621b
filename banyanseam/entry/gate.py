"""The callers' port and the peers' port: admit a request, run it, tell its end."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qs

import anyio
import cbor2

from banyanseam.config.errors import NotReady
from banyanseam.daemon.lifecycle import Lifecycle
from banyanseam.entry.const import MIN_RETRY_AFTER_MS, START_PATIENCE_S
from banyanseam.entry.crash_suspects import CrashSuspects, fingerprint
from banyanseam.entry.errors import (
    CrashSuspected,
    EntryLeaving,
    PeerUntrusted,
    RegionsFull,
)
from banyanseam.entry.exchange import Exchange, Reply
from banyanseam.entry.metrics import Metrics
from banyanseam.entry.models import (
    Catalogue,
    Forwarding,
    Headers,
    Organisation,
    RequestHead,
    Route,
)
from banyanseam.entry.peer_headers import (
    read_forwarding,
    strip_peer_headers,
    write_peer_failure,
)
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.relay import Relay, choose_retry_after_ms
from banyanseam.entry.values import Values
from banyanseam.errors import BanyanseamError, Problem
from banyanseam.observe.events import (
    INTERNAL_FAILURE,
    REQUEST_ENDED,
    REQUEST_FAILED,
    log,
)
from banyanseam.pipe.const import MAX_BODY_BYTES
from banyanseam.pipe.errors import (
    CallerGone,
    DeadlineExceeded,
    KeyMissing,
    KeyUnknown,
    RouteUnknown,
)
from banyanseam.quota.errors import QuotaExceeded
from banyanseam.server.budget import ByteBudget
from banyanseam.server.callers import AnswerBroken, Asgi, read_body, read_declared_bytes
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.server.reply import AsgiReceive, AsgiSend
from banyanseam.upstreams.errors import UpstreamFailed

VALUES_PATH: Final = "/banyanseam/values"
# Answers leave a little before the caller stops to wait. Source: 3 ms to callers.
ANSWER_MARGIN_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Border:
    """How callers' requests are read and refused; the platform provides it."""

    read_request: Callable[[str, str, bytes, Headers], RequestHead]
    write_refusal: Callable[[Problem, float | None], tuple[Headers, bytes]]
    ready_path: str
    resolve_path: str
    read_resolve_query: Callable[[dict[str, list[str]]], tuple[str, str]]
    write_addresses: Callable[[list[str], int], bytes]


@dataclass(slots=True)
class Gate:
    """What stands between a connection and the relay."""

    border: Border
    values: Values
    quota: FleetQuota
    suspects: CrashSuspects
    relay: Relay
    budget: ByteBudget
    lifecycle: Lifecycle
    metrics: Metrics
    first_peers: frozenset[str] = field(default_factory=frozenset)
    # When this process ends, once a planned stop has begun.
    stop_s: float | None = None


def make_callers_app(gate: Gate) -> Asgi:
    """Return the application of the callers' port."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        headers = strip_peer_headers(list(scope["headers"]))
        await _serve(gate, scope, headers, None, receive, send)

    return app


def make_peers_app(gate: Gate) -> Asgi:
    """Return the application of the peers' port: handed-over requests and values."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] == VALUES_PATH:
            await _send_values(gate, send)
            return
        headers = list(scope["headers"])
        forwarding: Forwarding | BanyanseamError
        try:
            forwarding = read_forwarding(headers)
            if not _is_peer(gate, scope["client"][0]):
                raise PeerUntrusted(retry_after_ms=MIN_RETRY_AFTER_MS)
        except BanyanseamError as error:
            forwarding = error
        await _serve(
            gate, scope, strip_peer_headers(headers), forwarding, receive, send
        )

    return app


def _is_peer(gate: Gate, ip: str) -> bool:
    return gate.relay.members.find(ip) is not None or ip in gate.first_peers


async def _send_values(gate: Gate, send: AsgiSend) -> None:
    body = cbor2.dumps(gate.values.to_message().model_dump())
    await _send_whole(send, 200, [(b"content-type", b"application/cbor")], body)


async def _send_whole(
    send: AsgiSend, status: int, headers: Headers, body: bytes
) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})


async def _serve(
    gate: Gate,
    scope: dict[str, Any],
    headers: Headers,
    forwarding: Forwarding | BanyanseamError | None,
    receive: AsgiReceive,
    send: AsgiSend,
) -> None:
    """Serve one request, whatever happens, and log its end once."""
    received_s = anyio.current_time()
    reply = Reply(send, gate.lifecycle.is_stopping)
    story = _Story(received_s, reply, forwarding)
    gate.lifecycle.request_started()
    try:
        await _serve_story(gate, scope, headers, story, receive)
        _log_end(gate, story, None)
    except CallerGone as error:
        _log_end(gate, story, error)
    except BanyanseamError as error:
        _log_end(gate, story, error)
        await _report(gate, story, error, send)
    except AnswerBroken:
        raise
    except Exception as error:
        log(INTERNAL_FAILURE, request_id=story.request_id, error=repr(error))
        await _report(gate, story, BanyanseamError(), send)
    finally:
        gate.lifecycle.request_ended()


@dataclass(slots=True)
class _Story:
    """What is known of a request, for its log line and its refusal."""

    received_s: float
    reply: Reply
    forwarding: Forwarding | BanyanseamError | None
    request_id: str = "-"
    head: RequestHead | None = None
    exchange: Exchange | None = None


async def _serve_story(
    gate: Gate,
    scope: dict[str, Any],
    headers: Headers,
    story: _Story,
    receive: AsgiReceive,
) -> None:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    head = gate.border.read_request(scope["method"], scope["path"], target, headers)
    story.head = head
    story.request_id = head.request_id
    if isinstance(story.forwarding, BanyanseamError):
        raise story.forwarding
    if gate.lifecycle.closes_connections:
        # It could outlast this process; another VM is one connection away.
        raise EntryLeaving(retry_after_ms=0)
    declared_bytes = read_declared_bytes(headers)
    with gate.budget.reserve_body(declared_bytes, MAX_BODY_BYTES) as reservation:
        body = await read_body(receive, reservation.grow_to)
        if gate.values.catalogue is None:
            with anyio.move_on_after(START_PATIENCE_S):
                await gate.values.complete.wait()
        exchange = _admit(gate, head, body, story)
        story.exchange = exchange
        await _run(gate, exchange, scope["extensions"][CONNECTION])


def _admit(gate: Gate, head: RequestHead, body: bytes, story: _Story) -> Exchange:
    """Check key, route and quota; raise why the request may not run."""
    catalogue = gate.values.catalogue
    if catalogue is None:
        raise NotReady(retry_after_ms=MIN_RETRY_AFTER_MS)
    route = catalogue.find_route(head.host, head.path)
    if route is None or not route.services:
        raise RouteUnknown(f"version {catalogue.version}")
    forwarding = story.forwarding
    organisation = _find_organisation(catalogue, route, head, forwarding)
    now_s = anyio.current_time()
    limit_ms = route.timeout_ms if forwarding is None else forwarding.left_ms
    if head.deadline_ms is not None and forwarding is None:
        limit_ms = min(limit_ms, head.deadline_ms)
    deadline_s = story.received_s + limit_ms / 1000 - ANSWER_MARGIN_S
    if gate.stop_s is not None:
        deadline_s = min(deadline_s, gate.stop_s)
    exchange = Exchange(
        head=head,
        body=body,
        received_s=story.received_s,
        deadline_s=deadline_s,
        catalogue=catalogue,
        route=route,
        organisation=organisation,
        service=_choose_service(route, head.request_id),
        reply=story.reply,
        forwarding=forwarding,
    )
    if organisation is not None and body:
        exchange.suspect = fingerprint(
            organisation.name, head.method, head.target, body
        )
        if gate.suspects.is_refused(exchange.suspect, now_s):
            raise CrashSuspected
    if forwarding is None and organisation is not None:
        _charge(gate, exchange, organisation, now_s)
    return exchange


def _find_organisation(
    catalogue: Catalogue,
    route: Route,
    head: RequestHead,
    forwarding: Forwarding | None,
) -> Organisation | None:
    if forwarding is not None:
        if forwarding.organisation is None:
            if route.is_public:
                return None
            raise NotReady("the route is not public here")
        organisation = catalogue.organisations.get(forwarding.organisation)
        if organisation is None:
            raise NotReady(f"no such organisation in version {catalogue.version}")
        return organisation
    if route.is_public or not catalogue.organisations:
        return None
    if head.key_digest is None:
        raise KeyMissing
    organisation = catalogue.organisations_by_key.get(head.key_digest)
    if organisation is None:
        raise KeyUnknown(f"version {catalogue.version}")
    return organisation


def _choose_service(route: Route, request_id: str) -> str:
    """Return a service by the route's weights, alike for one request everywhere."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = fingerprint(route.name, "", request_id.encode(), b"") / 2**64 * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]


def _charge(
    gate: Gate, exchange: Exchange, organisation: Organisation, now_s: float
) -> None:
    prompt = exchange.head.prompt
    cost = organisation.default_cost
    if organisation.counts_tokens and prompt is not None:
        cost = prompt.prompt_tokens + prompt.max_output_tokens
    wait_s = gate.quota.charge(organisation, cost, now_s)
    if wait_s > 0:
        left_ms = exchange.left_ms(now_s)
        raise QuotaExceeded(
            f"{organisation.name} has used its rate",
            retry_after_ms=choose_retry_after_ms(wait_s * 1000, left_ms),
        )
    exchange.cost = cost


async def _run(gate: Gate, exchange: Exchange, connection: Connection) -> None:
    """Run the request until its deadline, or until the caller leaves."""
    has_left = False
    with anyio.CancelScope(deadline=exchange.deadline_s) as scope:

        def leave() -> None:
            nonlocal has_left
            has_left = True
            scope.cancel()

        try:
            with connection.watch(leave):
                await gate.relay.serve(exchange)
        finally:
            if exchange.cost and not exchange.may_have_run:
                gate.quota.give_back(exchange.organisation, exchange.cost)
    if not scope.cancelled_caught:
        return
    if has_left:
        raise CallerGone
    if exchange.may_have_run:
        raise DeadlineExceeded
    raise RegionsFull(retry_after_ms=MIN_RETRY_AFTER_MS)


async def _report(
    gate: Gate, story: _Story, error: BanyanseamError, send: AsgiSend
) -> None:
    """Tell the caller of a failure, and only what is true of it."""
    if story.reply.is_started:
        raise AnswerBroken(error.code)
    exchange = story.exchange
    may_have_run = exchange is not None and exchange.may_have_run
    if may_have_run and error.status in (408, 421, 429, 503):
        # These statuses promise that nothing ran.
        error = UpstreamFailed(f"{error.code}: {error.detail}")
    problem = error.to_problem(story.request_id, is_surely_not_run=not may_have_run)
    if error.status == 421:
        problem.status = 503
    left_ms = None
    if exchange is not None:
        left_ms = exchange.deadline_left_ms()
    headers, body = gate.border.write_refusal(problem, left_ms)
    if story.forwarding is not None:
        headers += write_peer_failure(error, problem)
    await story.reply.start(problem.status, headers)
    await story.reply.finish(body)


def _log_end(gate: Gate, story: _Story, error: BanyanseamError | None) -> None:
    """Write one line on the end of a request and count it."""
    now_s = anyio.current_time()
    exchange = story.exchange
    reply = story.reply
    first_s = reply.first_sent_s
    fields: dict[str, Any] = {
        "request_id": story.request_id,
        "took_ms": round((now_s - story.received_s) * 1000),
        "version": gate.values.version,
    }
    route, organisation = "-", "-"
    if exchange is not None:
        route = exchange.route.name
        if exchange.organisation is not None:
            organisation = exchange.organisation.name
        fields |= {
            "route": route,
            "organisation": organisation,
            "sends": exchange.sends,
            "tried": exchange.tried,
            "forwarded": exchange.forwarding is not None,
        }
    if first_s is not None:
        fields["first_ms"] = round((first_s - story.received_s) * 1000)
    gate.metrics.note(route, organisation, story.received_s, now_s, first_s, error)
    if error is None:
        log(REQUEST_ENDED, status=reply.status, **fields)
    else:
        log(REQUEST_FAILED, code=error.code, detail=error.detail, **fields)


def make_readiness_app(gate: Gate) -> Asgi:
    """Return the application that says whether callers should come here."""

    async def app(scope: dict[str, Any], _: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] != gate.border.ready_path:
            await _send_whole(send, 404, [], b"")
            return
        await _send_whole(send, 200 if gate.lifecycle.is_ready else 503, [], b"")

    return app


def make_directory_app(
    gate: Gate, list_addresses: Callable[[str, str], list[str]], validity_s: int
) -> Asgi:
    """Return the application that tells callers which VMs to use."""

    async def app(scope: dict[str, Any], _: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] != gate.border.resolve_path:
            await _send_whole(send, 404, [], b"")
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        addresses = list_addresses(*gate.border.read_resolve_query(query))
        headers = [(b"content-type", b"application/json")]
        if not addresses:
            await _send_whole(send, 503, headers, b"{}")
            return
        body = gate.border.write_addresses(addresses, validity_s)
        await _send_whole(send, 200, headers, body)

    return app
