"""Operations of the operators' port."""

from typing import Any

from banyanseam.config.errors import NotReady
from banyanseam.config.versions import era_of, revision_of
from banyanseam.daemon.components import DaemonComponents
from banyanseam.daemon.diagnostics import describe_diagnostics
from banyanseam.daemon.order_components import describe_orders
from banyanseam.daemon.probes import make_probes
from banyanseam.daemon.status import describe_status
from banyanseam.peers.entries import ENTRIES_VALIDITY_MS
from banyanseam.server.operator_answers import answer_explain, answer_histograms
from banyanseam.server.operator_models import DrainReply
from banyanseam.server.operators import Operation


def make_operations(daemon: DaemonComponents) -> dict[tuple[str, str], Operation]:
    """Return the operations by method and path."""

    async def answer_live(body: bytes) -> dict[str, Any]:
        return {"status": "live"}

    async def answer_ready(body: bytes) -> dict[str, Any]:
        if not daemon.is_ready:
            raise NotReady
        version = daemon.view.get_config().version
        return {"version": revision_of(version), "era": era_of(version)}

    async def answer_status(body: bytes) -> dict[str, Any]:
        return (await describe_status(daemon)).model_dump()

    async def answer_diagnostics(body: bytes) -> dict[str, Any]:
        return (await describe_diagnostics(daemon)).model_dump()

    async def answer_entries(body: bytes) -> dict[str, Any]:
        return daemon.list_entries(daemon.settings.seat).model_dump()

    async def answer_drain(body: bytes) -> dict[str, Any]:
        daemon.begin_drain()
        return DrainReply(
            state="draining",
            validity_ms=ENTRIES_VALIDITY_MS,
            in_flight=daemon.lifecycle.running_requests,
            queued=daemon.serving.upstreams.lease_client.waiting
            if daemon.serving
            else 0,
        ).model_dump()

    async def answer_orders(body: bytes) -> dict[str, Any]:
        if daemon.serving is None:
            raise NotReady
        orderer = daemon.serving.orders.orderer
        return describe_orders(daemon.view.get_config(), orderer).model_dump()

    async def histograms(body: bytes) -> dict[str, Any]:
        if daemon.serving is None:
            raise NotReady
        return await answer_histograms(daemon.serving.recorder.histograms, body)

    async def explain(body: bytes) -> dict[str, Any]:
        config = daemon.view.get_config()
        probes = {}
        if daemon.serving is not None:
            probes = make_probes(daemon.view, daemon.serving)
        return await answer_explain(config, daemon.settings.region, probes, body)

    return {
        ("GET", "/health/live"): answer_live,
        ("GET", "/health/ready"): answer_ready,
        ("GET", "/status"): answer_status,
        ("GET", "/diagnostics"): answer_diagnostics,
        ("GET", "/entries"): answer_entries,
        ("GET", "/orders"): answer_orders,
        ("POST", "/histograms"): histograms,
        ("POST", "/explain"): explain,
        ("POST", "/drain"): answer_drain,
    }
