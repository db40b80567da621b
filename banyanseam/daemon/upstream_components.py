"""Composition of the parts that reserve upstream capacity and send requests."""

import random
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.daemon.fleet_view import FleetView
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.client import UpstreamClient
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.regions import RegionSummaries, make_section_writer
from banyanseam.upstreams.reports import make_fetch_report

SECTION_NAME = "upstreams"


@dataclass(frozen=True, slots=True)
class UpstreamComponents:
    """Parts that make this process a user of upstreams and a keeper of pools.

    A pool is a set of interchangeable upstreams; its keeper is the daemon that tracks
    their capacity and grants it to requests.
    """

    client: UpstreamClient
    destinations: DestinationChooser
    keeper: Keeper
    lease_client: LeaseClient

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops."""
        tasks.start_soon(self.keeper.run)
        tasks.start_soon(self.lease_client.run)

    async def close_unpublished(self, config: Config) -> None:
        """Close connections to upstreams that are no longer published."""
        await self.client.close_unpublished(config.upstreams)


def make_upstream_components(view: FleetView) -> UpstreamComponents:
    """Build the parts and register their heartbeat section."""
    client = UpstreamClient()
    context = Context(
        me=view.network.me,
        region=view.settings.region,
        network=view.network,
        get_config=view.get_config,
        alive_seats=view.list_staying,
        leaving_upstreams=view.list_leaving_vms,
    )
    regions = RegionSummaries()
    destinations = DestinationChooser(context, regions, random.Random())
    keeper = Keeper(context, make_fetch_report(client))
    lease_client = LeaseClient(context, keeper, destinations, random.Random())
    write_section = make_section_writer(
        destinations.list_rows, destinations.list_served
    )

    def apply_section(peer: PeerIdentity, content: bytes) -> None:
        region = view.find_region(peer.seat)
        if region is not None and region != view.settings.region:
            regions.apply(region, content, anyio.current_time())

    view.sections.register(SECTION_NAME, write_section, apply_section)
    view.control.suspension_detector.on_suspended(lambda _: keeper.restart())
    return UpstreamComponents(client, destinations, keeper, lease_client)
