"""Client of the engines' `/orders`: reads their state and gives orders."""

import anyio
from pydantic import ValidationError
from uuid6 import uuid7

from banyanseam.config.compiled import Upstream
from banyanseam.orders.const import CALL_TIMEOUT_S, MAX_STATE_BYTES, ORDERS_PATH
from banyanseam.orders.errors import EngineFull, OrderFailed, OrderRefused
from banyanseam.orders.models import (
    EngineState,
    LoadedModel,
    Order,
    OrderDocument,
    StateDocument,
)
from banyanseam.upstreams.client import UpstreamClient, UpstreamRequest

ACCEPTED = (200, 202)
REFUSED = 409
FULL = 507


class EngineClient:
    """Calls `/orders` of engines; every failure is raised as a BanyanseamError."""

    def __init__(self, client: UpstreamClient) -> None:
        """Set the client that sends the calls."""
        self._client = client

    async def read_state(self, upstream: Upstream) -> EngineState:
        """Return the engine's role and models; raise OrderFailed."""
        status, body = await self._call(upstream, "GET", b"")
        if status != 200:
            raise OrderFailed(f"{upstream.name} answered {status}")
        return parse_state(body)

    async def send_order(
        self, upstream: Upstream, order: Order, fencing: int, rate_bytes_per_s: float
    ) -> None:
        """Give an order; raise OrderRefused, EngineFull or OrderFailed."""
        is_load = order.kind == "load_model"
        document = OrderDocument(
            fencing=fencing,
            kind=order.kind,
            role=order.role,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            max_bytes_per_s=max(1, int(rate_bytes_per_s)) if is_load else None,
        )
        body = document.model_dump_json(exclude_none=True).encode()
        status, _ = await self._call(upstream, "POST", body)
        if status == REFUSED:
            raise OrderRefused(f"{upstream.name}: fencing number {fencing} is outdated")
        if status == FULL:
            raise EngineFull(f"{upstream.name}: not enough memory for {order.model}")
        if status not in ACCEPTED:
            raise OrderFailed(f"{upstream.name} answered {status}")

    async def _call(
        self, upstream: Upstream, method: str, body: bytes
    ) -> tuple[int, bytes]:
        request = UpstreamRequest(
            request_id=str(uuid7()),
            method=method,
            target=ORDERS_PATH,
            headers=[(b"content-type", b"application/json")] if body else [],
            body=body,
            is_idempotent=True,
            read_timeout_s=CALL_TIMEOUT_S,
        )
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with self._client.open(upstream, request, lambda: None) as answer:
                received = b""
                async for chunk in answer.body:
                    received += chunk
                    if len(received) > MAX_STATE_BYTES:
                        raise OrderFailed(
                            f"{upstream.name} sent an answer that is too long"
                        )
                return answer.status, received
        raise OrderFailed(f"{upstream.name} did not answer in {CALL_TIMEOUT_S:g} s")


def parse_state(body: bytes) -> EngineState:
    """Parse the state in an engine's answer; raise OrderFailed if it is invalid."""
    try:
        document = StateDocument.model_validate_json(body)
    except ValidationError as error:
        raise OrderFailed("the engine's state document is invalid") from error
    models = tuple(
        LoadedModel(
            model.name,
            model.version,
            model.state == "ready",
            frozenset(model.adapters),
        )
        for model in document.models
    )
    return EngineState(document.role, models)
