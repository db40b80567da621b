"""Put together what contains requests that crash upstreams."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.peers.messages import PeerIdentity
from banyanseam.pipe.models import Exchange, Filter
from banyanseam.pipe.poison import contain_poison
from banyanseam.poison.guard import PoisonGuard

SECTION_NAME = "poison"


@dataclass(frozen=True, slots=True)
class PoisonParts:
    """This process's part in containing requests that crash upstreams."""

    guard: PoisonGuard
    filter_: Filter


def make_poison_parts(view: FleetView, tasks: TaskGroup) -> PoisonParts:
    """Return the parts, joined to the heartbeats."""
    membership = view.membership

    def list_live() -> dict[str, list[str]]:
        return {
            region: membership.alive_seats(region) for region in membership.regions()
        }

    def list_upstreams(exchange: Exchange) -> list[str]:
        named = exchange.model if exchange.route.is_model else exchange.route.service
        allowed = [
            upstream
            for upstream in view.get_config().upstreams.values()
            if named in upstream.serves
            and upstream.is_model == exchange.route.is_model
            and not upstream.leaving
            and (exchange.regions is None or upstream.region in exchange.regions)
        ]
        region = view.settings.region
        local = [each.name for each in allowed if each.region == region]
        # Room is sought in this region first, so the one upstream that a suspect
        # may use must lie here.
        return local or [each.name for each in allowed]

    guard = PoisonGuard(
        view.network.me,
        view.settings.region,
        view.network,
        list_live,
        tasks.start_soon,
    )

    def take_section(peer: PeerIdentity, content: bytes) -> None:
        guard.apply_section(peer.seat, content)

    def write_section() -> bytes:
        return guard.suspects.section(anyio.current_time())

    view.sections.register(SECTION_NAME, write_section, take_section)
    return PoisonParts(guard, contain_poison(guard, list_upstreams))
