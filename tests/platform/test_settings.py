import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest
from heronthread_platform.settings import ProcessSettings
from pydantic import ValidationError

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
    "host": "h1",
    "ip": "10.0.0.1",
    "callers_address": "10.0.0.1:80",
    "readiness_address": "10.0.0.1:81",
    "store_address": "10.0.0.9:80",
    "peer_ports": [7000, 7015],
}


def test_template_names_only_known_fields() -> None:
    template = (ROOT / "deploy" / "settings.json.tmpl").read_text()
    assert set(re.findall(r'"(\w+)":', template)) <= set(ProcessSettings.model_fields)


def test_unknown_fields_are_ignored_and_seeds_use_the_peer_port() -> None:
    text = json.dumps({**FIELDS, "new": 1, "seeds": ["10.0.0.2:9000"]})
    settings = ProcessSettings.model_validate_json(text).to_host_settings()
    assert settings.seeds == ("10.0.0.2:7000",)
    assert settings.peer_address == "10.0.0.1:7000"


@pytest.mark.parametrize(
    ("field", "value"), [("cores", 0), ("longest_hold_ms", 1), ("far_factor", 0), ("peer_ports", 1)]
)
def test_field_out_of_range_is_named(field: str, value: object) -> None:
    with pytest.raises(ValidationError, match=field):
        ProcessSettings.model_validate_json(json.dumps({**FIELDS, field: value}))


def test_every_field_is_documented() -> None:
    page = (ROOT / "docs" / "platform-settings.md").read_text()
    assert [name for name in ProcessSettings.model_fields if f"`{name}`" not in page] == []


def test_process_does_not_import_unused_packages() -> None:
    """Unused imports would cost start time and memory on small hosts."""
    code = (
        "import sys, heronthread_platform.process;"
        "print([n for n in ('httpx', 'quart', 'heronthread_scheduling') if n in sys.modules])"
    )
    sources = [ROOT / "platform", *sorted(ROOT.glob("packages/*/src"))]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, sources))}
    found = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
