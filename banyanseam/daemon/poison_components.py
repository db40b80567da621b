"""Composition of the parts that isolate requests which crash upstreams."""

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
class PoisonComponents:
    """This process's guard against requests that crash upstreams, and its filter."""

    guard: PoisonGuard
    filter_: Filter


def make_poison_components(view: FleetView, tasks: TaskGroup) -> PoisonComponents:
    """Build the parts and register their heartbeat section."""
    membership = view.membership

    def list_alive_seats() -> dict[str, list[str]]:
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
        # A suspect request may be confined to one upstream. Requests try this region
        # first, so that upstream must be in this region if it has any.
        return local or [each.name for each in allowed]

    guard = PoisonGuard(
        view.network.me,
        view.settings.region,
        view.network,
        list_alive_seats,
        tasks.start_soon,
    )

    def apply_section(peer: PeerIdentity, content: bytes) -> None:
        guard.apply_section(peer.seat, content)

    def write_section() -> bytes:
        return guard.suspects.section(anyio.current_time())

    view.sections.register(SECTION_NAME, write_section, apply_section)
    return PoisonComponents(guard, contain_poison(guard, list_upstreams))
