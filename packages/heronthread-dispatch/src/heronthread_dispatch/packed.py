"""Bytes as base64 fields of messages between hosts."""

from __future__ import annotations

import base64


def encode_packed(packed: bytes) -> str:
    """Return bytes as a base64 field of a body."""
    return base64.b64encode(packed).decode()


def decode_packed(text: object) -> bytes | None:
    """Read bytes from a base64 field of a body; None if malformed."""
    try:
        return base64.b64decode(text, validate=True) if isinstance(text, str) else None
    except ValueError:
        return None
