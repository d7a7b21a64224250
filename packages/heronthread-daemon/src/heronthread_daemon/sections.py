"""Conversion of a desired state to and from the named sections in which it is stored."""

from __future__ import annotations

import json

from heronthread_coordination.configuration import Sections
from heronthread_scheduling import DesiredState

META = "meta"
WHOLE_PARTS = ("topology", "classes", "policy")
LISTS = {"customers": "customer:", "events": "event:"}


def split_state(state: DesiredState) -> Sections:
    """Return the sections of a state: one per customer and event, and a few for the rest."""
    content = state.model_dump(mode="json", by_alias=True)
    sections: Sections = {}
    order: dict[str, list[str]] = {}
    for part, prefix in LISTS.items():
        items = content.pop(part)
        order[part] = [item["name"] for item in items]
        for item in items:
            sections[prefix + item["name"]] = _encode(item)
    for part in WHOLE_PARTS:
        sections[part] = _encode(content.pop(part))
    sections[META] = _encode({**content, "order": order})
    return sections


def join_state(sections: Sections) -> DesiredState:
    """Return the state from the sections that `split_state` returned."""
    content = json.loads(sections[META])
    order = content.pop("order")
    for part in WHOLE_PARTS:
        content[part] = json.loads(sections[part])
    for part, prefix in LISTS.items():
        content[part] = [json.loads(sections[prefix + name]) for name in order[part]]
    return DesiredState.model_validate(content)


def _encode(value: object) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
