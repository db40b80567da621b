"""Composition of the parts that run a request with an idempotency key at most once."""

from dataclasses import dataclass

from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.daemon.fleet_view import FleetView
from banyanseam.idempotency.client import HomeClient
from banyanseam.idempotency.handover import (
    hand_over,
    make_suspension_handler,
    serve_homes,
    take_over,
)
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.idempotency.tickets import TicketIssuer
from banyanseam.peers.network import PeerNetwork
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.idempotency import run_at_most_once
from banyanseam.pipe.models import Filter


@dataclass(frozen=True, slots=True)
class IdempotencyComponents:
    """Parts that make this process a home of keys and an issuer of tickets.

    The home of an idempotency key is the daemon that records its runs. A ticket is a
    key that a daemon issued; its issuer is its home.
    """

    ticket_issuer: TicketIssuer
    homes: Homes
    client: HomeClient
    network: PeerNetwork
    filter_: Filter

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops, and restore this seat's key records from its standbys."""
        tasks.start_soon(self.homes.run)
        tasks.start_soon(take_over, self.homes, self.network)

    async def stop(self) -> None:
        """Hand over this process's key records; call this when no request runs."""
        await self.client.wait_reported()
        await hand_over(self.homes, self.network, self.network.me)


def make_idempotency_components(
    view: FleetView, forwarder: Forwarder, tasks: TaskGroup
) -> IdempotencyComponents:
    """Build the parts; subscribe them to configuration, membership and suspensions."""
    me = view.network.me
    secret = view.settings.fleet_secret.get_secret_value().encode()
    ticket_issuer = TicketIssuer(me.seat, me.incarnation, secret)
    homes = Homes(me)
    serve_homes(homes, view.network)
    client = HomeClient(me, homes, view.network, tasks.start_soon)

    def adopt_config(config: Config) -> None:
        homes.adopt(make_mapping(config))

    def drop_older_processes(seat: str, incarnation: int) -> None:
        homes.record_process(seat, incarnation)
        homes.abandon_runs(seat, incarnation - 1)

    adopt_config(view.get_config())
    view.store.on_adopted(adopt_config)
    view.control.suspension_detector.on_suspended(
        make_suspension_handler(homes, view.network, tasks.start_soon)
    )
    view.membership.on_new_process(drop_older_processes)
    # The newer process is the home of this seat's keys from now on.
    view.membership.on_superseded(lambda _: homes.close(me.incarnation))
    filter_ = run_at_most_once(
        me, ticket_issuer, homes, client, forwarder.forward, view.find_region
    )
    return IdempotencyComponents(ticket_issuer, homes, client, view.network, filter_)
