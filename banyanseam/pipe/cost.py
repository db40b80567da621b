"""Estimate an upper bound on the tokens that a request uses."""

import math
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from banyanseam.pipe.const import (
    BYTES_PER_TOKEN,
    DEFAULT_OUTPUT_TOKENS,
    MAX_OUTPUT_TOKENS,
    TOKENS_PER_MESSAGE,
)
from banyanseam.pipe.errors import RequestMalformed
from banyanseam.pipe.models import Cost, Exchange, Next


class ChatMessage(BaseModel):
    """One message of a chat request; other fields are ignored."""

    model_config = ConfigDict(extra="ignore")

    role: str
    content: str | list[dict[str, Any]] | None = None


class ChatRequest(BaseModel):
    """The fields of a chat-completions request that the gateway reads."""

    model_config = ConfigDict(extra="ignore")

    model: str = Field(min_length=1, max_length=200)
    messages: list[ChatMessage] = Field(min_length=1, max_length=10_000)
    max_tokens: int | None = Field(default=None, ge=1, le=MAX_OUTPUT_TOKENS)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=MAX_OUTPUT_TOKENS)
    stream: bool = False

    @property
    def max_output_tokens(self) -> int:
        """Return the maximum number of tokens in the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_OUTPUT_TOKENS


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse and validate a request; raise RequestMalformed, which names the field."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        raise RequestMalformed(f"{where}: {first['msg']}") from error


def estimate_cost(chat: ChatRequest, body_bytes: int) -> Cost:
    """Return an upper bound on the tokens of a chat request and its answer."""
    prompt_tokens = math.ceil(body_bytes / BYTES_PER_TOKEN)
    prompt_tokens += TOKENS_PER_MESSAGE * len(chat.messages)
    return Cost(prompt_tokens, chat.max_output_tokens)


async def set_cost(exchange: Exchange, next_: Next) -> None:
    """Set the cost; a plain service has its route's cost and its body is not parsed."""
    if exchange.route.is_model:
        _set_chat_cost(exchange)
    else:
        exchange.cost = Cost(exchange.route.cost_tokens, 0)
    await next_(exchange)


def _set_chat_cost(exchange: Exchange) -> None:
    # The parsed request is as large as its body, so only this function may refer to
    # it: it must not stay in memory while the answer is sent.
    chat = parse_chat_request(exchange.body)
    exchange.model = chat.model
    exchange.cost = estimate_cost(chat, len(exchange.body))
