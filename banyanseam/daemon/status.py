"""What `banyanseam status` shows of one daemon; it holds no secrets."""

from typing import TYPE_CHECKING

from banyanseam.server.operator_models import (
    ConfigStatus,
    DaemonState,
    LoadStatus,
    PeerStatus,
    RejectedVersion,
    StatusReply,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from banyanseam.daemon.app import Daemon


def describe_status(daemon: "Daemon", now_s: float) -> StatusReply:
    """Return what this daemon knows of itself and of its fleet."""
    settings = daemon.settings
    return StatusReply(
        seat=settings.seat,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=daemon.view.incarnation.number,
        state=name_state(daemon),
        up_ms=round((now_s - daemon.started_s) * 1000),
        config=_describe_config(daemon),
        load=_describe_load(daemon),
        peers=_describe_peers(daemon, now_s),
        upstreams=_describe_upstreams(daemon, now_s),
    )


def name_state(daemon: "Daemon") -> DaemonState:
    """Return the word for the daemon's phase."""
    if daemon.serving is None:
        return "starting"
    return "draining" if daemon.lifecycle.is_stopping else "serving"


def _describe_config(daemon: "Daemon") -> ConfigStatus:
    store = daemon.view.store
    if store.config is None:
        return ConfigStatus()
    rejected = None
    if store.rejection is not None:
        rejected = RejectedVersion(
            version=store.newest.version,
            json_path=store.rejection.json_path,
            detail=store.rejection.detail,
        )
    return ConfigStatus(version=store.config.version, rejected=rejected)


def _describe_load(daemon: "Daemon") -> LoadStatus:
    if daemon.serving is None or daemon.budget is None:
        return LoadStatus()
    recorder = daemon.serving.recorder
    return LoadStatus(in_flight=recorder.in_flight, failures=dict(recorder.failures))


def _describe_peers(daemon: "Daemon", now_s: float) -> list[PeerStatus]:
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
            is_linked=seat.name in linked,
        )
        for seat in config.seats.values()
        if seat.name != daemon.settings.seat
    ]


def _describe_upstreams(daemon: "Daemon", now_s: float) -> list[UpstreamStatus]:
    config = daemon.view.store.config
    if config is None:
        return []
    return [
        UpstreamStatus(
            upstream=upstream.name,
            region=upstream.region,
            state="leaving" if upstream.leaving else "unknown",
            memory_tokens=upstream.memory_tokens if upstream.is_model else None,
        )
        for upstream in config.upstreams.values()
        if upstream.region == daemon.settings.region
    ]
