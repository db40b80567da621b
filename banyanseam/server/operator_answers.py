"""Operators' operations: histograms and explanations of requests."""

from typing import Any, TypeVar

import anyio
import anyio.lowlevel
from pydantic import ValidationError

from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.observe.histograms import Histograms
from banyanseam.server.explain import Probe, explain
from banyanseam.server.operator_models import (
    ExplainRequest,
    HistogramsReply,
    HistogramsRequest,
    OperatorRequest,
    SeriesReply,
)

Request = TypeVar("Request", bound=OperatorRequest)

EVERY_ORGANISATION = "*"


class OperationInvalid(BanyanseamError):
    """The body of an operator's request does not validate."""

    code = "operators.invalid_request"
    event = 1501
    status = 400
    title = "The operator's request is invalid"
    not_run = True


def read_request(model: type[Request], body: bytes) -> Request:
    """Validate a body, reading an empty one as `{}`; raise OperationInvalid."""
    try:
        return model.model_validate_json(body or b"{}")
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise OperationInvalid(f"{location}: {first['msg']}") from error


async def answer_histograms(histograms: Histograms, body: bytes) -> dict[str, Any]:
    """Return the histograms that a HistogramsRequest asks for."""
    request = read_request(HistogramsRequest, body)
    organisations: list[str | None] = [request.organisation]
    if request.organisation == EVERY_ORGANISATION:
        organisations = list(histograms.list_organisations())
    series = []
    for organisation in organisations:
        for one in histograms.iterate(organisation, request.request_class):
            series.append(SeriesReply.model_validate(one, from_attributes=True))
            # Yields to the event loop: thousands of histograms would stall the streams.
            await anyio.lowlevel.checkpoint()
    reply = HistogramsReply(
        window_ms=round(histograms.window_s(anyio.current_time()) * 1000),
        series=series,
    )
    return reply.model_dump()


async def answer_explain(
    config: Config, region: str, probes: dict[str, Probe], body: bytes
) -> dict[str, Any]:
    """Return the explanation that an ExplainRequest asks for."""
    request = read_request(ExplainRequest, body)
    now_s = anyio.current_time()
    return (await explain(request, config, region, probes, now_s)).model_dump()
