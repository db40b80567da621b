"""Admit or refuse a request by its API key, route, deadline and quota."""

from dataclasses import dataclass, field
from typing import Final

import anyio
import xxhash

from banyanseam.config.errors import NotReady
from banyanseam.entry.choosing import choose_retry_after_ms
from banyanseam.entry.const import MIN_RETRY_AFTER_MS
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.errors import CrashSuspected
from banyanseam.entry.exchange import Exchange, Reply
from banyanseam.entry.fingerprints import make_fingerprint
from banyanseam.entry.leaving import StopLimits
from banyanseam.entry.models import (
    Catalogue,
    Forwarding,
    Organisation,
    RequestHead,
    Route,
    StreamOrigin,
)
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.segment_suspects import make_segment_keys
from banyanseam.entry.values import PublishedValues
from banyanseam.pipe.errors import KeyMissing, KeyUnknown, RouteUnknown
from banyanseam.quota.errors import QuotaExceeded

# A request's deadline is this much before the caller stops waiting, so that the answer
# arrives in time. Source: the network delay to callers, which accounts for 3 ms of
# this margin.
ANSWER_MARGIN_S: Final = 0.02


@dataclass(slots=True)
class Admission:
    """The state that decides whether a request may run."""

    values: PublishedValues
    quota: FleetQuota
    suspects: CrashSuspects
    stop_limits: StopLimits = field(default_factory=StopLimits)


def admit(
    admission: Admission,
    head: RequestHead,
    body: bytes,
    reply: Reply,
    received_s: float,
    forwarding: Forwarding | None,
) -> Exchange:
    """Check route, key, crash records and quota; raise if the request may not run."""
    catalogue = admission.values.catalogue
    if catalogue is None:
        raise NotReady(retry_after_ms=MIN_RETRY_AFTER_MS)
    route = catalogue.find_route(head.host, head.path)
    if route is None or not route.services:
        raise RouteUnknown(f"configuration version {catalogue.version}")
    organisation = _find_organisation(catalogue, route, head, forwarding)
    now_s = anyio.current_time()
    limit_ms = route.timeout_ms if forwarding is None else forwarding.left_ms
    if head.deadline_ms is not None and forwarding is None:
        limit_ms = min(limit_ms, head.deadline_ms)
    deadline_s = received_s + limit_ms / 1000 - ANSWER_MARGIN_S
    exchange = Exchange(
        head=head,
        body=body,
        received_s=received_s,
        deadline_s=min(deadline_s, admission.stop_limits.stop_s),
        catalogue=catalogue,
        route=route,
        organisation=organisation,
        service=_choose_service(route, head.request_id),
        reply=reply,
        forwarding=forwarding,
        fingerprint=make_fingerprint(
            None if organisation is None else organisation.name, head, body
        ),
        segment_keys=make_segment_keys(head.prompt),
    )
    if forwarding is not None:
        _adopt_origin(exchange, forwarding.origin)
    refuse_suspect(admission.suspects, exchange, now_s)
    if forwarding is None and organisation is not None:
        _charge(admission, exchange, organisation, now_s)
    return exchange


def _adopt_origin(exchange: Exchange, origin: StreamOrigin | None) -> None:
    """Let a forwarded stream go on where its sender knows that it began."""
    if origin is None:
        return
    exchange.origin = origin
    exchange.begun_s = exchange.received_s
    if any(origin.service == service for service, _ in exchange.route.services):
        exchange.service = origin.service


def refuse_suspect(suspects: CrashSuspects, exchange: Exchange, now_s: float) -> bool:
    """Raise CrashSuspected if the request, or a segment of it, crashes upstreams.

    Return whether a suspected request is due for a trial.
    """
    refused = suspects.segments.find_refused(
        exchange.segment_keys,
        now_s,
        lambda: suspects.has_earlier_crashes(exchange.service, now_s),
    )
    if refused is not None:
        segment = exchange.head.prompt.segments[exchange.segment_keys.index(refused)]
        raise CrashSuspected(
            f"engines crash when they answer with segment {segment.segment_id}"
        )
    wait_s = suspects.find_wait_s(exchange.fingerprint, now_s, exchange.service)
    if wait_s is None or exchange.trial_crashes == suspects.count(exchange.fingerprint):
        return False
    is_peers_trial = exchange.is_trial and exchange.trial_crashes is None
    if wait_s == 0 or is_peers_trial:
        return True
    suspects.record_refusal(exchange.fingerprint, now_s)
    raise CrashSuspected(
        f"fingerprint {exchange.fingerprint:016x}",
        retry_after_ms=choose_retry_after_ms(wait_s * 1000, exchange.left_ms(now_s)),
    )


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
            raise NotReady("the route is not public in this VM's configuration")
        organisation = catalogue.organisations.get(forwarding.organisation)
        if organisation is None:
            raise NotReady(
                f"organisation unknown in configuration version {catalogue.version}"
            )
        if (
            forwarding.key_digest is not None
            and catalogue.organisations_by_key.get(forwarding.key_digest)
            is not organisation
        ):
            raise KeyUnknown(f"configuration version {catalogue.version}")
        return organisation
    if route.is_public or not catalogue.organisations:
        return None
    if head.key_digest is None:
        raise KeyMissing
    organisation = catalogue.organisations_by_key.get(head.key_digest)
    if organisation is None:
        raise KeyUnknown(f"configuration version {catalogue.version}")
    return organisation


def _choose_service(route: Route, request_id: str) -> str:
    """Choose a service by weight; every process chooses the same for a request."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    key = f"{route.name}\0\0{request_id}\0"
    point = xxhash.xxh3_64_intdigest(key.encode()) / 2**64 * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]


def _charge(
    admission: Admission, exchange: Exchange, organisation: Organisation, now_s: float
) -> None:
    prompt = exchange.head.prompt
    cost = organisation.default_cost
    if organisation.counts_tokens and prompt is not None:
        cost = prompt.prompt_tokens + prompt.max_output_tokens
    wait_s = admission.quota.charge(organisation, cost, now_s)
    if wait_s > 0:
        left_ms = exchange.left_ms(now_s)
        level = admission.quota.read_level(organisation)
        raise QuotaExceeded(
            f"{organisation.name} has used its rate of "
            f"{organisation.rate_per_s:.0f}/s: {level:.0f} left of a burst of "
            f"{organisation.burst:.0f}, {cost:.0f} needed, "
            f"{admission.quota.heard_share:.2f} of the fleet reachable",
            retry_after_ms=choose_retry_after_ms(wait_s * 1000, left_ms),
        )
    exchange.cost = cost
