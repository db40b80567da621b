"""Put together what holds organisations to their quota."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.peers.incarnation import read_boot_clock_s
from banyanseam.pipe.models import Filter
from banyanseam.pipe.quota import charge_quota
from banyanseam.quota.client import QuotaClient
from banyanseam.quota.home import Home


@dataclass(frozen=True, slots=True)
class QuotaParts:
    """This process as a home of quota parts, and as an entry that charges."""

    home: Home
    client: QuotaClient
    filter_: Filter

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops."""
        tasks.start_soon(self.home.run)


def make_quota_parts(view: FleetView) -> QuotaParts:
    """Return the parts; make them in the process's first moments.

    Parts are withheld from then on, since an earlier process of this seat may have
    lent them.
    """
    settings = view.settings
    home = Home(
        settings.seat,
        settings.region,
        view.network,
        view.get_config,
        view.membership.is_alive,
        clock=read_boot_clock_s,
        check_suspension=view.control.freeze.tick,
    )
    view.control.freeze.on_suspended(home.restart)
    # A newer process of this seat may be spending the same parts.
    view.membership.on_superseded(lambda _: home.restart(read_boot_clock_s()))
    client = QuotaClient(
        settings.region,
        view.network,
        home,
        view.get_config,
        view.membership.is_alive,
        clock=anyio.current_time,
    )
    return QuotaParts(home, client, charge_quota(client))
