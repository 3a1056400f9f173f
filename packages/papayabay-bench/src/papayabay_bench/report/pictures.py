"""Draws how a run went over time, one curve for each class or service."""

import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure

SIZE = (7.0, 2.6)
DOTS_PER_INCH = 100
COLOURS = {"critical": "#b2182b", "normal": "#2166ac", "sheddable": "#7f7f7f"}
KINDS = {
    "goodput": "good whole requests, /s",
    "refused": "refused attempts, /s",
    "queue_ms": "queueing delay, ms",
    "in_flight": "in flight at a target",
}
"""Series that are drawn, and the name of their vertical axis."""


def draw(result, kind, path):
    """Draw one series of a run.

    Parameters
    ----------
    result : RunResult
    kind : str
        Key of `KINDS`.
    path : str or Path
        PNG file.
    """
    figure = Figure(figsize=SIZE, layout="constrained")
    axes = figure.subplots()
    for name, points in result.series.get(kind, {}).items():
        draw_curve(axes, name, points)
    if kind == "goodput":
        draw_offered(axes, result)
    if "overload" in result.windows:
        axes.axvspan(*result.windows["overload"], color="#f4a582", alpha=0.25)
    axes.set_xlim(*result.windows["whole"])
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.set_ylabel(KINDS[kind])
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize="x-small", loc="upper right")
    figure.savefig(path, dpi=DOTS_PER_INCH)


def draw_curve(axes, name, points):
    """Draw one curve."""
    times, values = zip(*points, strict=True) if points else ((), ())
    axes.plot(times, values, label=name, color=COLOURS.get(name), linewidth=1.2)


def draw_offered(axes, result):
    """Draw what was offered, all classes together."""
    total = {}
    for points in result.series.get("offered", {}).values():
        for moment, rate in points:
            total[moment] = total.get(moment, 0.0) + rate
    times = sorted(total)
    values = [total[moment] for moment in times]
    axes.plot(times, values, label="offered", color="black", linewidth=0.6)
