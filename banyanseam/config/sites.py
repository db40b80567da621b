"""Compile the regions' overlays into seats and upstreams, and merge the results."""

from dataclasses import dataclass
from typing import Any, Final

from pydantic import TypeAdapter, ValidationError

from banyanseam.config.compiled import Desired, DesiredModel, Seat, Upstream
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.merge import merge_site
from banyanseam.config.models import (
    BaseDocument,
    DesiredDocument,
    Name,
    SiteDocument,
)
from banyanseam.config.validate import validate_document

_NAME: Final = TypeAdapter(Name)


@dataclass(frozen=True, slots=True)
class CompiledSite:
    """One region's merged document, with its compiled seats and upstreams."""

    document: SiteDocument
    seats: dict[str, Seat]
    upstreams: dict[str, Upstream]


def compile_site(
    region: str, defaults: dict[str, Any], overlay: dict[str, Any]
) -> CompiledSite:
    """Merge one region's overlay over the defaults and compile it.

    Raise InvalidConfig.
    """
    path = f"$.sites.{region}"
    try:
        _NAME.validate_python(region)
    except ValidationError as error:
        raise InvalidConfig(
            path,
            "is not a valid region name; it must be at most 63 lower-case letters, "
            "digits, '_', '.' or '-', and start with a letter or digit",
        ) from error
    merged = merge_site(defaults, overlay)
    document = validate_document(SiteDocument, merged, path)
    seats = {
        name: Seat(name=name, region=region, **seat.model_dump())
        for name, seat in document.seats.items()
    }
    return CompiledSite(document, seats, _compile_upstreams(region, document))


def merge_seats(sites: dict[str, CompiledSite]) -> dict[str, Seat]:
    """Return all sites' seats; raise InvalidConfig for a name used twice."""
    seats: dict[str, Seat] = {}
    for region, site in sites.items():
        for name in site.seats:
            if name in seats:
                raise InvalidConfig(
                    f"$.sites.{region}.seats.{name}",
                    f"region {seats[name].region} has a seat of this name; rename one",
                )
        seats |= site.seats
    return seats


def merge_upstreams(sites: dict[str, CompiledSite]) -> dict[str, Upstream]:
    """Return all sites' upstreams; raise InvalidConfig for a name used twice."""
    upstreams: dict[str, Upstream] = {}
    for region, site in sites.items():
        for name in site.upstreams:
            if name in upstreams:
                raise InvalidConfig(
                    f"$.sites.{region}.upstreams.{name}",
                    f"region {upstreams[name].region} has an upstream of this name; "
                    "rename one",
                )
        upstreams |= site.upstreams
    return upstreams


def _compile_upstreams(region: str, site: SiteDocument) -> dict[str, Upstream]:
    return {
        name: Upstream(
            name=name,
            region=region,
            is_model=document.kind == "model",
            serves=frozenset(document.serves),
            desired=_compile_desired(document.desired),
            **document.model_dump(exclude={"kind", "serves", "desired"}),
        )
        for name, document in site.upstreams.items()
    }


def _compile_desired(document: DesiredDocument | None) -> Desired | None:
    if document is None:
        return None
    models = {
        name: DesiredModel(
            name, model.version, model.weight_bytes, frozenset(model.adapters)
        )
        for name, model in document.models.items()
    }
    return Desired(models, document.role)


def divide_weight_rate(
    base: BaseDocument, sites: dict[str, SiteDocument]
) -> dict[str, float]:
    """Divide the weight store's rate over the regions.

    Each share is proportional to the number of upstreams that have `desired`.
    """
    counts = {
        region: sum(one.desired is not None for one in site.upstreams.values())
        for region, site in sites.items()
    }
    total = sum(counts.values())
    if base.weight_store is None or not total:
        return {}
    rate = base.weight_store.rate_bytes_per_s
    return {region: rate * count / total for region, count in counts.items() if count}
