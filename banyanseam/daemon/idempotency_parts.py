"""Put together what runs keyed requests at most once."""

from dataclasses import dataclass

from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.daemon.fleet_view import FleetView
from banyanseam.idempotency.client import HomeClient
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.idempotency.tickets import TicketDesk
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.idempotency import run_at_most_once
from banyanseam.pipe.models import Filter


@dataclass(frozen=True, slots=True)
class IdempotencyParts:
    """This process as a home of keys and an issuer of tickets."""

    desk: TicketDesk
    home: Home
    client: HomeClient
    filter_: Filter

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops."""
        tasks.start_soon(self.home.run)


def make_idempotency_parts(
    view: FleetView, forwarder: Forwarder, tasks: TaskGroup
) -> IdempotencyParts:
    """Return the parts, joined to configuration, membership and freezes."""
    me = view.network.me
    secret = view.settings.fleet_secret.get_secret_value().encode()
    desk = TicketDesk(me.seat, me.incarnation, secret)
    home = Home(me.seat)
    home.serve(view.network)
    client = HomeClient(me, home, view.network, tasks.start_soon)

    def adopt(config: Config) -> None:
        home.adopt(make_mapping(config))

    def lose_older(seat: str, incarnation: int) -> None:
        home.lose_process(seat, incarnation - 1)

    adopt(view.get_config())
    view.store.on_adopted(adopt)
    view.control.freeze.on_restart(lambda _: home.begin_anew())
    view.membership.on_new_process(lose_older)
    filter_ = run_at_most_once(
        me, desk, home, client, forwarder.forward, view.find_region
    )
    return IdempotencyParts(desk, home, client, filter_)
