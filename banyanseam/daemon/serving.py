"""Composition of the parts that serve requests under a configuration."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.idempotency_components import (
    IdempotencyComponents,
    make_idempotency_components,
)
from banyanseam.daemon.order_components import OrderComponents, make_order_components
from banyanseam.daemon.poison_components import PoisonComponents, make_poison_components
from banyanseam.daemon.quota_components import QuotaComponents
from banyanseam.daemon.recorder import RequestRecorder
from banyanseam.daemon.upstream_components import (
    UpstreamComponents,
    make_upstream_components,
)
from banyanseam.observe.histograms import Histograms
from banyanseam.pipe.attempt import attempt
from banyanseam.pipe.authenticate import check_key
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.forward_region import make_region_forward
from banyanseam.pipe.models import Exchange
from banyanseam.pipe.pipeline import Filters, Pipelines, make_pipelines
from banyanseam.pipe.queue import make_queue_filter
from banyanseam.pipe.retry import RetryBudget, retry_once
from banyanseam.pipe.serve_forwarded import ForwardServer
from banyanseam.pipe.stop import refuse_outlasting


@dataclass(frozen=True, slots=True)
class ServingComponents:
    """Parts that serve requests."""

    recorder: RequestRecorder
    quota: QuotaComponents
    upstreams: UpstreamComponents
    idempotency: IdempotencyComponents
    poison: PoisonComponents
    orders: OrderComponents
    pipelines: Pipelines
    forward_server: ForwardServer

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops of every part."""
        self.quota.start(tasks)
        self.upstreams.start(tasks)
        self.idempotency.start(tasks)
        self.orders.start(tasks)


def make_serving_components(
    view: FleetView, quota: QuotaComponents, tasks: TaskGroup
) -> ServingComponents:
    """Build the parts; call this once `FleetView.join` has returned."""
    region = view.settings.region
    lifecycle = view.control.lifecycle
    recorder = RequestRecorder(Histograms(anyio.current_time()), lifecycle)
    upstreams = make_upstream_components(view)
    forwarder = Forwarder(view.network)
    view.network.on_link_lost(forwarder.end_streams_from)
    idempotency = make_idempotency_components(view, forwarder, tasks)

    poison = make_poison_components(view, tasks)

    def get_retry_share() -> float:
        return view.get_config().policies[region].retry_budget_share

    def recheck_key(exchange: Exchange) -> None:
        check_key(view.get_config(), exchange)

    filters = Filters(
        recorder=recorder,
        stop=refuse_outlasting(lifecycle.may_outlast),
        quota=quota.filter_,
        idempotency=idempotency.filter_,
        retry=retry_once(RetryBudget(), get_retry_share),
        poison=poison.filter_,
        queue=make_queue_filter(
            upstreams.lease_client,
            upstreams.destinations,
            region,
            view.get_config,
            make_region_forward(forwarder, view.membership, view.rng),
            recheck_key,
        ),
        attempt=attempt(upstreams.lease_client, upstreams.client),
    )
    pipelines = make_pipelines(view.get_config, filters)
    forward_server = ForwardServer(
        view.network,
        tasks,
        region,
        lambda: view.store.config,
        pipelines.from_peers,
        lifecycle.count_request,
    )
    view.network.on_link_lost(forward_server.cancel_requests_from)
    view.store.on_adopted(forward_server.resume_waiting)
    view.store.on_adopted(
        lambda config: tasks.start_soon(upstreams.close_unpublished, config)
    )
    return ServingComponents(
        recorder,
        quota,
        upstreams,
        idempotency,
        poison,
        make_order_components(view, upstreams.client),
        pipelines,
        forward_server,
    )
