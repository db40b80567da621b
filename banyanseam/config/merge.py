"""Merge a site's overlay over the base's site defaults (JSON Merge Patch, RFC 7396)."""

from copy import deepcopy
from typing import Any

import json_merge_patch


def merge_site(defaults: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    """Return the merged site document of one region, without changing the arguments."""
    return json_merge_patch.merge(deepcopy(defaults), overlay)
