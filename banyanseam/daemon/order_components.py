"""Composition of the parts that order engines to load and unload models."""

from dataclasses import dataclass

from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config, Upstream
from banyanseam.daemon.fleet_view import FleetView
from banyanseam.orders.client import EngineClient
from banyanseam.orders.const import ELECTION_MARGIN_S
from banyanseam.orders.leader_election import ElectionView, LeaderElection
from banyanseam.orders.orderer import EngineProgress, Orderer
from banyanseam.server.operator_models import OrdersReply, OrderStatus
from banyanseam.upstreams.client import UpstreamClient


@dataclass(frozen=True, slots=True)
class OrderComponents:
    """Parts that send orders to engines while this process is elected to do so."""

    orderer: Orderer

    def start(self, tasks: TaskGroup) -> None:
        """Start the loop that sends orders."""
        tasks.start_soon(self.orderer.run)


def make_order_components(view: FleetView, client: UpstreamClient) -> OrderComponents:
    """Build the parts and subscribe them to suspensions of the process."""
    region = view.settings.region

    def make_election_view() -> ElectionView:
        suspect_s = view.membership.gossip_timing.suspect_s(is_own_region=True)
        return ElectionView(
            region,
            view.settings.seat,
            len(view.get_config().seats_of(region)),
            view.membership.alive_seats(region),
            suspect_s + ELECTION_MARGIN_S,
        )

    election = LeaderElection(make_election_view)
    view.control.suspension_detector.on_suspended(
        lambda _: election.reset_after_suspension()
    )
    orderer = Orderer(
        region,
        election,
        EngineClient(client),
        view.get_config,
        lambda: view.control.accepts_requests and view.control.lifecycle.is_ready,
    )
    return OrderComponents(orderer)


def describe_orders(config: Config, orderer: Orderer) -> OrdersReply:
    """Return the progress of the region's engines, as this daemon has recorded it."""
    return OrdersReply(
        region=orderer.region,
        giver=orderer.election.leader,
        fencing=config.version,
        engines=[
            _describe_engine(
                upstream,
                orderer.progress_by_engine.get(upstream.name, EngineProgress()),
            )
            for upstream in orderer.list_engines(config)
        ],
    )


def _describe_engine(upstream: Upstream, engine: EngineProgress) -> OrderStatus:
    order = engine.order
    return OrderStatus(
        upstream=upstream.name,
        checks_fencing=upstream.checks_fencing,
        progress=engine.progress,
        kind=order.kind if order else None,
        model=order.model if order else None,
        model_version=order.version if order else None,
        failure=engine.failure,
    )
