"""The heronthread daemon: one entry host between callers and workers.

Its public names are imported when first used: the messages between hosts are used without the
rest, which takes a third of a second of a small host's processor to import.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .host import Host, HostParts
    from .server import run_daemon, run_server
    from .settings import Settings, load_settings

__all__ = ["Host", "HostParts", "Settings", "load_settings", "run_daemon", "run_server"]

_MODULES = {
    "Host": ".host",
    "HostParts": ".host",
    "Settings": ".settings",
    "load_settings": ".settings",
    "run_daemon": ".server",
    "run_server": ".server",
}


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name], __name__), name)
