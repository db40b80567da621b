"""Composition of the parts that enforce the organisations' quotas."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.peers.incarnation import read_boot_clock_s
from banyanseam.pipe.models import Filter
from banyanseam.pipe.quota import charge_quota
from banyanseam.quota.client import QuotaClient
from banyanseam.quota.home import QuotaHome


@dataclass(frozen=True, slots=True)
class QuotaComponents:
    """Parts that make this process a quota home and an entry that charges quotas.

    A quota home grants tokens from its part of a quota; an entry is a daemon that
    receives requests from callers.
    """

    home: QuotaHome
    client: QuotaClient
    filter_: Filter

    def start(self, tasks: TaskGroup) -> None:
        """Start the loops."""
        tasks.start_soon(self.home.run)


def make_quota_components(view: FleetView) -> QuotaComponents:
    """Build the parts; call this early in the start of the process.

    The process's quota parts are withheld for a time that starts now, since an earlier
    process of this seat may have lent them.
    """
    settings = view.settings
    home = QuotaHome(
        settings.seat,
        settings.region,
        view.network,
        view.get_config,
        view.membership.is_alive,
        clock=read_boot_clock_s,
        check_suspension=view.control.suspension_detector.tick,
    )
    view.control.suspension_detector.on_suspended(home.restart)
    # A newer process of this seat may be spending the same quota parts.
    view.membership.on_superseded(lambda _: home.restart(read_boot_clock_s()))
    client = QuotaClient(
        settings.region,
        view.network,
        home,
        view.get_config,
        view.membership.is_alive,
        clock=anyio.current_time,
    )
    return QuotaComponents(home, client, charge_quota(client))
