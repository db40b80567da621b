"""Applications of the callers' and peers' ports: admit, run and log requests."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import cbor2

from banyanseam.config.errors import NotReady
from banyanseam.daemon.lifecycle import Lifecycle
from banyanseam.entry.admission import Admission, admit
from banyanseam.entry.const import (
    CATCH_UP_S,
    CATCH_UP_SHARE,
    MIN_RETRY_AFTER_MS,
    START_WAIT_S,
)
from banyanseam.entry.errors import (
    EntryLeaving,
    PeerUntrusted,
    RegionsFull,
)
from banyanseam.entry.exchange import Exchange, Reply
from banyanseam.entry.metrics import Metrics
from banyanseam.entry.models import (
    Forwarding,
    Headers,
    RequestHead,
    StreamOrigin,
)
from banyanseam.entry.peer_headers import (
    read_forwarding,
    strip_peer_headers,
    write_peer_failure,
    write_progress,
)
from banyanseam.entry.refusals import make_problem
from banyanseam.entry.relay import Relay
from banyanseam.entry.values_fetcher import VALUES_PATH, ValuesFetcher
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
)
from banyanseam.server.budget import ByteBudget
from banyanseam.server.callers import (
    AnswerAborted,
    AsgiApp,
    read_body,
    read_content_length,
)
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.server.reply import AsgiReceive, AsgiSend, send_body


@dataclass(frozen=True, slots=True)
class CallerFormat:
    """Functions of the platform that parse callers' requests and write errors."""

    read_request: Callable[[str, str, bytes, Headers], RequestHead]
    write_refusal: Callable[[Problem, float | None], tuple[Headers, bytes]]
    ready_path: str
    resolve_path: str
    read_resolve_query: Callable[[dict[str, list[str]]], tuple[str, str]]
    write_addresses: Callable[[list[str], int], bytes]


@dataclass(slots=True)
class Frontend:
    """Components that handle the requests of the callers' and peers' ports."""

    caller_format: CallerFormat
    admission: Admission
    relay: Relay
    values_fetcher: ValuesFetcher
    budget: ByteBudget
    lifecycle: Lifecycle
    metrics: Metrics
    first_peers: frozenset[str] = field(default_factory=frozenset)
    # The requests that are running, by the scope that ends them at their deadline.
    running: dict[anyio.CancelScope, Exchange] = field(default_factory=dict)

    def limit_deadlines(self) -> None:
        """End all requests by the time at which this process stops.

        Callers then get an answer instead of a closed connection.
        """
        stop_s = self.admission.stop_limits.stop_s
        for scope, exchange in self.running.items():
            scope.deadline = min(scope.deadline, stop_s)
            exchange.deadline_s = min(exchange.deadline_s, stop_s)
        self.refuse_waiting()

    def refuse_waiting(self) -> None:
        """Refuse requests that wait and might outlast this process once sent."""
        for scope, exchange in self.running.items():
            if not self.admission.stop_limits.allows(exchange):
                scope.cancel()


def make_callers_app(frontend: Frontend) -> AsgiApp:
    """Return the application of the callers' port."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        headers = strip_peer_headers(list(scope["headers"]))
        await _serve(frontend, scope, headers, None, receive, send)

    return app


def make_peers_app(frontend: Frontend) -> AsgiApp:
    """Return the application of the peers' port: forwarded requests and values."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] == VALUES_PATH:
            body = cbor2.dumps(frontend.admission.values.to_message().model_dump())
            await send_body(send, 200, body, [(b"content-type", b"application/cbor")])
            return
        headers = list(scope["headers"])
        forwarding: Forwarding | BanyanseamError
        try:
            forwarding = read_forwarding(headers)
            if not _is_peer(frontend, scope["client"][0]):
                raise PeerUntrusted(retry_after_ms=MIN_RETRY_AFTER_MS)
        except BanyanseamError as error:
            forwarding = error
        await _serve(
            frontend, scope, strip_peer_headers(headers), forwarding, receive, send
        )

    return app


def _is_peer(frontend: Frontend, ip: str) -> bool:
    return frontend.relay.members.find(ip) is not None or ip in frontend.first_peers


async def _serve(
    frontend: Frontend,
    scope: dict[str, Any],
    headers: Headers,
    forwarding: Forwarding | BanyanseamError | None,
    receive: AsgiReceive,
    send: AsgiSend,
) -> None:
    """Serve one request, log its end or failure, and send errors to the caller."""
    received_s = anyio.current_time()
    reply = Reply(send, lambda: frontend.lifecycle.is_stopping)
    state = _RequestState(received_s, reply, forwarding)
    if forwarding is not None:
        reply.list_extra_headers = lambda: write_progress(state.sends, state.served_by)
    frontend.lifecycle.request_started()
    try:
        await _admit_and_run(frontend, scope, headers, state, receive)
        _log_end(frontend, state, None)
    except CallerGone as error:
        _log_end(frontend, state, error)
    except BanyanseamError as error:
        _log_end(frontend, state, error)
        await _send_error(frontend, state, error, send)
    except AnswerAborted:
        raise
    except Exception as error:
        log(INTERNAL_FAILURE, request_id=state.request_id, error=repr(error))
        await _send_error(frontend, state, BanyanseamError(), send)
    finally:
        frontend.lifecycle.request_ended()


@dataclass(slots=True)
class _RequestState:
    """State of a request, for its log line and its error reply."""

    received_s: float
    reply: Reply
    forwarding: Forwarding | BanyanseamError | None
    request_id: str = "-"
    head: RequestHead | None = None
    exchange: Exchange | None = None

    @property
    def sends(self) -> int:
        """Return the sends to upstreams so far, none before the admission."""
        return 0 if self.exchange is None else self.exchange.sends

    @property
    def served_by(self) -> StreamOrigin | None:
        """Return the upstream that the last send went to, if there was one."""
        return None if self.exchange is None else self.exchange.sent_to


async def _admit_and_run(
    frontend: Frontend,
    scope: dict[str, Any],
    headers: Headers,
    state: _RequestState,
    receive: AsgiReceive,
) -> None:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    head = frontend.caller_format.read_request(
        scope["method"], scope["path"], target, headers
    )
    state.head = head
    state.request_id = head.request_id
    if isinstance(state.forwarding, BanyanseamError):
        raise state.forwarding
    _refuse_while_closing(frontend)
    declared_bytes = read_content_length(headers)
    with frontend.budget.reserve_body(declared_bytes, MAX_BODY_BYTES) as reservation:
        body = await read_body(receive, reservation.grow_to)
        # A slow caller may have sent the body's end long after its beginning.
        _refuse_while_closing(frontend)
        if state.forwarding is not None:
            await _adopt_senders_version(frontend, state.forwarding)
        if frontend.admission.values.catalogue is None:
            with anyio.move_on_after(START_WAIT_S):
                await frontend.admission.values.complete.wait()
        exchange = admit(
            frontend.admission,
            head,
            body,
            state.reply,
            state.received_s,
            state.forwarding,
        )
        state.exchange = exchange
        connection = scope["extensions"][CONNECTION]
        connection.is_admitted = True
        await _run(frontend, exchange, connection)


def _refuse_while_closing(frontend: Frontend) -> None:
    """Raise EntryLeaving if a new request might outlast this process.

    The caller can use another VM.
    """
    if frontend.lifecycle.closes_connections:
        limits = frontend.admission.stop_limits
        raise EntryLeaving(retry_after_ms=limits.retry_after_ms)


async def _adopt_senders_version(frontend: Frontend, forwarding: Forwarding) -> None:
    """Get the configuration by which the sender has admitted a request.

    By an older one, its route or organisation may be missing or differ. Raise NotReady
    if the sender's version cannot be fetched in time.
    """
    values = frontend.admission.values
    if values.version >= forwarding.config_version:
        return
    timeout_s = min(CATCH_UP_S, CATCH_UP_SHARE * forwarding.left_ms / 1000)
    await frontend.values_fetcher.catch_up(
        forwarding.sender_ip, forwarding.config_version, timeout_s
    )
    if values.version < forwarding.config_version:
        raise NotReady(
            f"configuration version {values.version} is in force here, the request "
            f"was forwarded under {forwarding.config_version}",
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )


async def _run(frontend: Frontend, exchange: Exchange, connection: Connection) -> None:
    """Run the request until its deadline, or until the caller disconnects."""
    is_disconnected = False
    with anyio.CancelScope(deadline=exchange.deadline_s) as scope:

        def on_disconnect() -> None:
            nonlocal is_disconnected
            is_disconnected = True
            scope.cancel()

        frontend.running[scope] = exchange
        try:
            with connection.watch(on_disconnect):
                await frontend.relay.serve(exchange)
        finally:
            del frontend.running[scope]
            if exchange.cost and not exchange.may_have_run:
                frontend.admission.quota.refund(exchange.organisation, exchange.cost)
    if not scope.cancelled_caught:
        return
    if is_disconnected:
        raise CallerGone
    if exchange.may_have_run:
        raise DeadlineExceeded
    frontend.admission.stop_limits.check(exchange)
    raise RegionsFull(retry_after_ms=MIN_RETRY_AFTER_MS)


async def _send_error(
    frontend: Frontend, state: _RequestState, error: BanyanseamError, send: AsgiSend
) -> None:
    """Send an error; report the request as not run only if that is certain."""
    if state.reply.is_started:
        raise AnswerAborted(error.code)
    exchange = state.exchange
    may_have_run = exchange is not None and exchange.may_have_run
    left_ms = None if exchange is None else exchange.deadline_left_ms()
    problem = make_problem(error, state.request_id, left_ms, may_have_run=may_have_run)
    headers, body = frontend.caller_format.write_refusal(problem, left_ms)
    if state.forwarding is not None:
        headers += write_peer_failure(problem)
    await state.reply.start(problem.status, headers)
    await state.reply.finish(body)


def _log_end(
    frontend: Frontend, state: _RequestState, error: BanyanseamError | None
) -> None:
    """Log and count the end of a request."""
    now_s = anyio.current_time()
    exchange = state.exchange
    reply = state.reply
    first_s = reply.first_sent_s
    fields: dict[str, Any] = {
        "request_id": state.request_id,
        "took_ms": round((now_s - state.received_s) * 1000),
        "version": frontend.admission.values.version,
        "forwarded": state.forwarding is not None,
    }
    route, organisation = "-", "-"
    if exchange is not None:
        route = exchange.route.name
        if exchange.organisation is not None:
            organisation = exchange.organisation.name
        fields |= {
            "route": route,
            "organisation": organisation,
            "deadline_ms": round((exchange.deadline_s - state.received_s) * 1000),
            "sends": exchange.sends,
            "tried": exchange.tried,
            "last_event": exchange.last_event,
        }
        if exchange.route.is_stream:
            fields["software"] = exchange.software
    if state.head is not None and state.head.last_event_id is not None:
        fields["begun_as"] = state.head.begun_as
        fields["after_event"] = state.head.last_event_id
    if first_s is not None:
        fields["first_ms"] = round((first_s - state.received_s) * 1000)
    frontend.metrics.record_end(
        route, organisation, state.received_s, now_s, first_s, error
    )
    if error is None:
        log(REQUEST_ENDED, status=reply.status, **fields)
    else:
        log(REQUEST_FAILED, code=error.code, detail=error.detail, **fields)
