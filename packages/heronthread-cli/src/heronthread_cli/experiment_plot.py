"""The pairs of an experiment as points on a page."""

from __future__ import annotations

from pathlib import Path

import plotly.graph_objects as go
from heronthread_emulator import Pair


def write_pairs(pairs: list[Pair], mechanism: str, path: str) -> None:
    """Write a page: each seed's share of urgent work on time, without and with a mechanism."""
    figure = go.Figure(
        go.Scatter(
            x=[pair.without.urgent for pair in pairs],
            y=[pair.with_it.urgent for pair in pairs],
            text=[f"seed {pair.seed}" for pair in pairs],
            mode="markers",
        )
    )
    figure.add_shape(type="line", x0=0, y0=0, x1=1, y1=1)
    figure.update_layout(
        title=f"Urgent work on time, by seed: {mechanism}",
        xaxis_title="without it",
        yaxis_title="with it",
    )
    Path(path).write_text(figure.to_html(include_plotlyjs=True), encoding="utf-8")
