"""Status of one daemon for `banyanseam status`; it contains no secrets."""

import anyio

from banyanseam.config.compiled import Upstream
from banyanseam.config.versions import era_of, revision_of
from banyanseam.daemon.components import DaemonComponents
from banyanseam.daemon.upstream_components import UpstreamComponents
from banyanseam.errors import BanyanseamError
from banyanseam.server.operator_models import (
    ConfigStatus,
    DaemonState,
    LoadStatus,
    PeerStatus,
    RejectedVersion,
    StatusReply,
    UpstreamStatus,
)
from banyanseam.upstreams.messages import DescribePool, UpstreamDescription
from banyanseam.upstreams.pools import Pool


async def describe_status(daemon: DaemonComponents) -> StatusReply:
    """Return the status of this daemon and its view of the fleet.

    Ask the keeper of each pool, the daemon that tracks its upstreams. If it does not
    answer, their state is unknown, or leaving if the configuration says so.
    """
    settings = daemon.settings
    upstreams = await _describe_upstreams(daemon)
    now_s = anyio.current_time()
    return StatusReply(
        seat=settings.seat,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=daemon.view.incarnation.number,
        state=get_state(daemon),
        up_ms=round((now_s - daemon.started_s) * 1000),
        config=_describe_config(daemon, now_s),
        load=_describe_load(daemon),
        peers=_describe_peers(daemon, now_s),
        upstreams=upstreams,
    )


def _to_age_ms(at_s: float | None, now_s: float) -> int | None:
    return None if at_s is None else round((now_s - at_s) * 1000)


def get_state(daemon: DaemonComponents) -> DaemonState:
    """Return the daemon's state."""
    if daemon.serving is None:
        return "starting"
    return "draining" if daemon.lifecycle.is_stopping else "serving"


def _describe_config(daemon: DaemonComponents, now_s: float) -> ConfigStatus:
    store, control = daemon.view.store, daemon.view.control
    answered_ms_ago = _to_age_ms(control.watch.last_answered_s, now_s)
    if store.config is None:
        return ConfigStatus(service_answered_ms_ago=answered_ms_ago)
    rejected = None
    if store.rejection is not None:
        rejected = RejectedVersion(
            version=revision_of(store.newest.version),
            era=era_of(store.newest.version),
            json_path=store.rejection.json_path,
            detail=store.rejection.detail,
        )
    return ConfigStatus(
        version=revision_of(store.config.version),
        era=era_of(store.config.version),
        in_force_ms=_to_age_ms(control.adopted_s, now_s),
        service_answered_ms_ago=answered_ms_ago,
        rejected=rejected,
    )


def _describe_load(daemon: DaemonComponents) -> LoadStatus:
    if daemon.serving is None or daemon.budget is None:
        return LoadStatus()
    return LoadStatus(
        in_flight=daemon.lifecycle.running_requests,
        queued=daemon.serving.upstreams.lease_client.waiting,
        held_bytes=daemon.budget.held_bytes,
        byte_budget=daemon.budget.limit_bytes,
        failures=dict(daemon.serving.recorder.failures),
    )


def _describe_peers(daemon: DaemonComponents, now_s: float) -> list[PeerStatus]:
    config = daemon.view.store.config
    if config is None:
        return []
    membership = daemon.view.membership
    linked = set(daemon.view.network.linked_seats())
    return [
        PeerStatus(
            seat=seat.name,
            region=seat.region,
            state=membership.state_of(seat.name).value,
            incarnation=membership.incarnation_of(seat.name) or None,
            heard_ms_ago=_to_age_ms(membership.last_heartbeat_s_of(seat.name), now_s),
            is_linked=seat.name in linked,
        )
        for seat in config.seats.values()
        if seat.name != daemon.settings.seat
    ]


async def _describe_upstreams(daemon: DaemonComponents) -> list[UpstreamStatus]:
    config = daemon.view.store.config
    if config is None:
        return []
    descriptions: dict[str, UpstreamDescription] = {}
    keepers: dict[str, str | None] = {}
    if daemon.serving is not None:
        descriptions, keepers = await _ask_keepers(daemon.serving.upstreams)
    return [
        _describe_upstream(upstream, descriptions.get(upstream.name), keepers)
        for upstream in config.upstreams.values()
        if upstream.region == daemon.settings.region
    ]


async def _ask_keepers(
    parts: UpstreamComponents,
) -> tuple[dict[str, UpstreamDescription], dict[str, str | None]]:
    """Return the keepers' descriptions and the keepers, both by upstream name."""
    descriptions: dict[str, UpstreamDescription] = {}
    keepers: dict[str, str | None] = {}

    async def ask(pool: Pool) -> None:
        keeper = parts.lease_client.find_keeper(pool.name)
        keepers.update(dict.fromkeys((one.name for one in pool.upstreams), keeper))
        try:
            reply = await parts.lease_client.describe_pool(DescribePool(pool=pool.name))
        except BanyanseamError:
            return
        descriptions.update((one.name, one) for one in reply.upstreams)

    async with anyio.create_task_group() as tasks:
        for pool in parts.lease_client.read_pools().values():
            tasks.start_soon(ask, pool)
    return descriptions, keepers


def _describe_upstream(
    upstream: Upstream,
    description: UpstreamDescription | None,
    keepers: dict[str, str | None],
) -> UpstreamStatus:
    status = UpstreamStatus(
        upstream=upstream.name,
        region=upstream.region,
        state="leaving" if upstream.leaving else "unknown",
        keeper=keepers.get(upstream.name),
        memory_tokens=upstream.memory_tokens if upstream.is_model else None,
    )
    if description is None:
        return status
    return status.model_copy(
        update={
            "state": description.state,
            "in_flight": description.in_flight,
            "held_tokens": description.held_tokens if upstream.is_model else None,
            "free_tokens": description.free_tokens if upstream.is_model else None,
            "reported_ms_ago": description.reported_ms_ago,
        }
    )
