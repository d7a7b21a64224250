"""The heronthread daemon: an entry host that accepts jobs and runs them on workers."""

from .host import Host, HostParts
from .server import run_daemon, run_server
from .settings import Settings, load_settings

__all__ = ["Host", "HostParts", "Settings", "load_settings", "run_daemon", "run_server"]
