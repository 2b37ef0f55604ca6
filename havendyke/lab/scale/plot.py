"""Plots a metric along every axis that affects it: the measured points and the fitted curve."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # renders to a file, without a display
import matplotlib.pyplot as pyplot  # noqa: E402  after the choice of the backend
import numpy  # noqa: E402

from . import fit  # noqa: E402

CURVE_POINTS = 100


class PlotError(ValueError):
    """An unknown metric, or a file that cannot be written; the message is one line."""


def draw(records: list, metric: str, path: Path):
    """Plots the curves of a metric into a new file."""
    models = fit.fit_models(records)
    if metric not in models:
        raise PlotError(
            f"no figure is named '{metric[:60]}'; there are calm/bytes, calm/cpu, "
            "release/news/bytes, memory and such"
        )
    if Path(path).exists():
        raise PlotError(f"{path}: there is a file already; nothing was overwritten")
    curves = models[metric].curves
    figure, axes_grid = pyplot.subplots(
        1, max(1, len(curves)), squeeze=False, figsize=(4 * max(1, len(curves)), 3.5)
    )
    for axes, curve in zip(axes_grid[0], curves.values()):
        roles = ("base", *fit.metric_axes(metric).get(curve.axis, (curve.axis,)))
        points = sorted(
            (fit.axis_position(r["size"], curve.axis), fit.record_metrics(r)[metric])
            for r in records
            if r["role"] in roles
        )
        xs = numpy.linspace(points[0][0], points[-1][0], CURVE_POINTS)
        axes.plot(*zip(*points), "o")
        axes.plot(xs, [curve.value_at(x) for x in xs])
        axes.set(xlabel=curve.axis, title=f"{metric}, {curve.form}")
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(f"{path}: {error}") from None
    finally:
        pyplot.close(figure)
