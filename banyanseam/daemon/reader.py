"""Read the configuration service and adopt what it publishes."""

import json
from collections.abc import Callable
from typing import Any

import anyio
import httpcore

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config
from banyanseam.config.errors import InvalidConfig
from banyanseam.observe.events import CONFIG_REJECTED, CONFIG_SERVICE_DOWN, log
from banyanseam.settings import Settings


def assemble(revision: int, values: dict[str, Any]) -> Config:
    """Compile the published values by their keys."""
    base = dict(values.get("base", {}))
    base["organisations"] = dict(base.get("organisations", {}))
    overlays = {}
    for key, value in values.items():
        kind, _, name = key.partition("/")
        if kind == "organisations":
            base["organisations"].update(value)
        elif kind == "sites":
            overlays[name] = value
    return compile_config(revision, base, overlays)


async def read_configuration(
    settings: Settings, adopt: Callable[[Config], None]
) -> None:
    """Watch the service for ever and hand each valid version to `adopt`."""
    values: dict[str, Any] = {}
    revision = 0
    address = settings.config_service_addresses[0]
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                url = f"http://{address}/v1/revisions?after={revision}&wait_ms=5000"
                news = json.loads((await pool.request("GET", url)).content)
                for key in news["changed"]:
                    url = f"http://{address}/v1/values/{key}"
                    answer = await pool.request("GET", url)
                    values[key] = json.loads(answer.content)["value"]
                if news["changed"]:
                    revision = news["revision"]
                    adopt(assemble(revision, values))
            except InvalidConfig as error:
                log(CONFIG_REJECTED, detail=error.detail)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
                log(CONFIG_SERVICE_DOWN, error=repr(error))
                await anyio.sleep(1)
