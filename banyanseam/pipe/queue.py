"""The filter that waits for upstream capacity or forwards to another region."""

import json
from collections.abc import Awaitable, Callable

import anyio

from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import RegionUnreachable
from banyanseam.pipe.models import Exchange, Filter, Next
from banyanseam.upstreams.choose import Destination, RemoteRegion
from banyanseam.upstreams.const import DESTINATION_RETRY_S, UNREACHABLE_RETRY_TERM_S
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.errors import (
    AllTried,
    NoneUsable,
    NoUpstreamAllowed,
    NoUpstreamAvailable,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
)
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.models import Demand, Grant, Outcome
from banyanseam.upstreams.prefix import hash_prefix

# Forwards a request to a daemon of another region and relays its answer.
Forward = Callable[[Exchange, str], Awaitable[None]]
# Raises if a request may no longer start, for example after its key was withdrawn.
Recheck = Callable[[Exchange], None]


def make_queue_filter(
    lease_client: LeaseClient,
    destinations: DestinationChooser,
    region: str,
    get_config: Callable[[], Config],
    forward: Forward,
    recheck: Recheck,
) -> Filter:
    """Return the filter; it holds reserved capacity while the next steps run."""

    async def queue(exchange: Exchange, next_: Next) -> None:
        patience_s = get_config().policies[region].queue_patience_ms / 1000
        queue_deadline_s = min(exchange.deadline_s, anyio.current_time() + patience_s)
        failure: BanyanseamError | None = None
        while True:
            try:
                await run_at_destination(exchange, next_, queue_deadline_s)
                return
            except NoneUsable:
                # The pool was chosen from an outdated report of its keeper, the
                # daemon that grants its capacity.
                if anyio.current_time() + DESTINATION_RETRY_S >= queue_deadline_s:
                    raise
                await anyio.sleep(DESTINATION_RETRY_S)
                continue
            except (
                UpstreamUnreachable,
                NoUpstreamAvailable,
                RegionUnreachable,
            ) as error:
                failure = failure or error
                if not _may_choose_again(exchange, queue_deadline_s):
                    raise failure from error
            # Nothing was sent, so choosing again is safe: the keeper soon detects lost
            # upstreams, and a region with late heartbeats becomes reachable again.
            exchange.avoided_regions.clear()
            queue_deadline_s = min(
                queue_deadline_s, anyio.current_time() + UNREACHABLE_RETRY_TERM_S
            )
            await anyio.sleep(DESTINATION_RETRY_S)

    async def run_at_destination(
        exchange: Exchange, next_: Next, queue_deadline_s: float
    ) -> None:
        demand = make_demand(exchange)
        served_name = get_served_name(exchange)
        destination = await _wait_for_destination(
            destinations, exchange, served_name, demand, queue_deadline_s
        )
        while isinstance(destination, RemoteRegion):
            try:
                await forward(exchange, destination.region)
                return
            except BanyanseamError as error:
                if not error.not_run or exchange.upstream_started:
                    raise
                exchange.avoided_regions.add(destination.region)
                destination = _choose_next(destinations, exchange, served_name, error)
        try:
            grant = await _reserve_usable(
                lease_client, destination.pool, demand, queue_deadline_s
            )
        except NoneUsable:
            destinations.mark_unusable(destination.pool, anyio.current_time())
            raise
        await _run_with_grant(lease_client, grant, exchange, next_, recheck)

    return queue


def _may_choose_again(exchange: Exchange, queue_deadline_s: float) -> bool:
    """Return whether to choose again after a destination was unreachable."""
    has_time = anyio.current_time() + DESTINATION_RETRY_S < queue_deadline_s
    has_avoided = bool(exchange.avoided_upstreams or exchange.avoided_regions)
    return has_time and has_avoided and not exchange.upstream_started


async def _wait_for_destination(
    destinations: DestinationChooser,
    exchange: Exchange,
    served_name: str,
    demand: Demand,
    queue_deadline_s: float,
) -> Destination:
    """Return a destination; wait if there is none, as after a start or a partition.

    Raise AllTried at once: every upstream has then failed the request already.
    """
    while True:
        try:
            return destinations.choose(
                served_name,
                demand,
                exchange.regions,
                may_forward=exchange.forwarder is None,
            )
        except AllTried:
            raise
        except NoUpstreamAvailable:
            if anyio.current_time() + DESTINATION_RETRY_S >= queue_deadline_s:
                raise
            await anyio.sleep(DESTINATION_RETRY_S)


def make_demand(exchange: Exchange) -> Demand:
    """Return the capacity that an exchange needs on an upstream."""
    organisation = exchange.organisation
    is_model = exchange.route is not None and exchange.route.is_model
    prompt = extract_prompt(exchange.body) if is_model else b""
    return Demand(
        organisation=organisation.name if organisation else "",
        weight=organisation.weight if organisation else 1.0,
        prompt_tokens=exchange.cost.prompt_tokens,
        max_output_tokens=exchange.cost.max_output_tokens,
        prefix=hash_prefix(prompt),
        avoid=frozenset(exchange.avoided_upstreams),
        avoid_regions=frozenset(exchange.avoided_regions),
    )


def get_served_name(exchange: Exchange) -> str:
    """Return the model or service that an upstream must serve."""
    if exchange.route is None:
        raise NoUpstreamAllowed("no route")
    named = exchange.model if exchange.route.is_model else exchange.route.service
    return named or ""


def extract_prompt(body: bytes) -> bytes:
    """Return a chat body's contents as the engines hash them, or b"" if malformed."""
    try:
        messages = json.loads(body)["messages"]
        return "\n".join(str(message["content"]) for message in messages).encode()
    except (ValueError, KeyError, TypeError):
        return b""


def _choose_next(
    destinations: DestinationChooser,
    exchange: Exchange,
    served_name: str,
    error: BanyanseamError,
) -> Destination:
    """Return the next destination after a region did not run the request.

    This region's own pools come first. Raise `error`, that of the region, if no
    destination is left.
    """
    demand = make_demand(exchange)
    for may_forward in (False, True):
        try:
            return destinations.choose(
                served_name, demand, exchange.regions, may_forward=may_forward
            )
        except (NoUpstreamAvailable, NoUpstreamAllowed):
            # The region's error is more helpful to the caller.
            continue
    raise error


async def _reserve_usable(
    lease_client: LeaseClient, pool: str, demand: Demand, queue_deadline_s: float
) -> Grant:
    while True:
        grant = await lease_client.reserve(pool, demand, queue_deadline_s)
        if lease_client.is_usable(grant):
            return grant
        await lease_client.release(grant, Outcome.UNUSED)


async def _run_with_grant(
    lease_client: LeaseClient,
    grant: Grant,
    exchange: Exchange,
    next_: Next,
    recheck: Recheck,
) -> None:
    outcome = Outcome.UNUSED
    was_started = exchange.upstream_started
    try:
        recheck(exchange)
        exchange.grant = grant
        exchange.granted_s = anyio.current_time()
        exchange.upstream = grant.upstream
        outcome = Outcome.STOPPED
        await next_(exchange)
        outcome = Outcome.COMPLETED
    except UpstreamUnreachable:
        outcome = Outcome.UNREACHABLE
        exchange.avoided_upstreams.add(grant.upstream)
        raise
    except UpstreamRefused:
        outcome = Outcome.UNUSED
        # The upstream itself proved that this attempt did not start.
        exchange.upstream_started = was_started
        exchange.avoided_upstreams.add(grant.upstream)
        raise
    except UpstreamFailed:
        outcome = Outcome.FAILED
        exchange.avoided_upstreams.add(grant.upstream)
        raise
    finally:
        exchange.grant = None
        with anyio.CancelScope(shield=True):
            output_tokens = exchange.usage.output_tokens or 0
            await lease_client.release(grant, outcome, output_tokens)
