"""The operators' port of an entry daemon: its state and its metrics."""

import json
from typing import TYPE_CHECKING, Any

import anyio

from banyanseam.entry.messages import make_upstream_tag
from banyanseam.server.callers import AsgiApp
from banyanseam.server.reply import AsgiReceive, AsgiSend, send_body

if TYPE_CHECKING:
    from banyanseam.entry.app import Entry


def make_operators_app(entry: "Entry") -> AsgiApp:
    """Return the application of the operators' port."""

    async def app(scope: dict[str, Any], _: AsgiReceive, send: AsgiSend) -> None:
        if scope["path"] == "/metrics":
            text = entry.metrics.render().encode()
            await send_body(send, 200, text, [(b"content-type", b"text/plain")])
        elif scope["path"] == "/status":
            body = json.dumps(describe(entry)).encode()
            await send_body(send, 200, body, [(b"content-type", b"application/json")])
        else:
            await send_body(send, 404, b"", [])

    return app


def describe(entry: "Entry") -> dict[str, Any]:
    """Return the state that this process holds, with the age of its upstream list."""
    now_s = anyio.current_time()
    return {
        "vm": entry.settings.vm,
        "stage": entry.lifecycle.state,
        "running": entry.lifecycle.running_requests,
        "config_version": entry.values.version,
        "evacuated": sorted(entry.values.evacuated),
        "store_era": entry.values.store_position.era,
        "upstreams_revision": entry.upstreams.revision,
        "upstreams_age_ms": round((now_s - entry.upstreams.confirmed_s) * 1000),
        "work_percents": entry.loads.performance.service_percents,
        "heard_share": entry.quota.heard_share,
        "peers": [
            {"ip": each.ip, "region": each.region, "is_serving": each.is_serving}
            for each in entry.members.list_alive(now_s)
        ],
        "upstreams": [
            {
                "id": each.upstream_id,
                "service": each.service,
                "state": each.state,
                "work_percent": entry.loads.performance.find_work_percent(
                    make_upstream_tag(each.upstream_id)
                ),
                "load": entry.loads.sum_region_load(each.upstream_id, now_s),
            }
            for each in entry.upstreams.list_upstreams()
        ],
    }
