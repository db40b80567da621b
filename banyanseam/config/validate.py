"""Validate one document, and report the first invalid field by its JSON path."""

from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from banyanseam.config.errors import InvalidConfig

Model = TypeVar("Model", bound=BaseModel)


def validate_document(model: type[Model], value: Any, json_path: str) -> Model:
    """Return the validated model; raise InvalidConfig with the field's JSON path."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        path = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}"
            for part in first["loc"]
        )
        detail = first["msg"].removeprefix("Value error, ")
        if first["type"] == "extra_forbidden":
            detail = "is not a known field; remove it or correct its name"
        raise InvalidConfig(f"{json_path}{path}", detail) from error
