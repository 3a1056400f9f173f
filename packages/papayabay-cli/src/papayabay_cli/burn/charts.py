"""Draws the charts of the burn report, as PNG in base64."""

import base64
import io

from papayabay_cli.burn.recording import WINDOWS
from papayabay_cli.burn.report import ALERT_RULES, BUDGET_WINDOW

MAX_BARS = 20
BAR_INCHES = 0.45
WIDTH_INCHES = 9.0
DOTS_PER_INCH = 110
COLORS = {"failed": "#b3261e", "refused": "#e0a100", "slow": "#4a6fa5"}


def burn_rate_chart(burns):
    """Return a bar chart of burn rates per window.

    Parameters
    ----------
    burns : list of Burn
        The first `MAX_BARS` are drawn.
    """
    figure, axes = new_figure(len(burns[:MAX_BARS]) * 2)
    shown = burns[:MAX_BARS]
    height = 0.8 / len(WINDOWS)
    for number, window in enumerate(WINDOWS):
        axes.barh(
            [index + number * height for index in range(len(shown))],
            [burn.rates[window] for burn in shown],
            height,
            label=window,
        )
    for rate in sorted({rule.rate for rule in ALERT_RULES}):
        axes.axvline(rate, color="black", linewidth=0.8, linestyle=":")
    label_bars(axes, shown, offset=0.4 - height / 2)
    axes.set_xscale("symlog", linthresh=1.0)
    axes.set_xlabel("burn rate (dotted: alert thresholds)")
    axes.legend(title="window")
    return encode(figure)


def outcome_chart(burns):
    """Return a bar chart of the bad requests by outcome.

    Parameters
    ----------
    burns : list of Burn
        The first `MAX_BARS` are drawn.
    """
    shown = burns[:MAX_BARS]
    figure, axes = new_figure(len(shown))
    left = [0.0] * len(shown)
    for outcome, color in COLORS.items():
        shares = [bad_share(burn, outcome) for burn in shown]
        axes.barh(range(len(shown)), shares, left=left, color=color, label=outcome)
        left = [sum(pair) for pair in zip(left, shares, strict=True)]
    allowed = [100 * (1.0 - burn.good_share) for burn in shown]
    axes.plot(allowed, range(len(shown)), "k|", markersize=16, label="allowed")
    label_bars(axes, shown, offset=0.0)
    axes.set_xlabel("% of requests in three days")
    axes.legend()
    return encode(figure)


def bad_share(burn, outcome):
    """Return the requests with an outcome, in percent of all."""
    counts = burn.outcomes[BUDGET_WINDOW]
    return 100 * getattr(counts, outcome) / counts.total if counts.total else 0.0


def new_figure(bars):
    """Return a figure, which needs no display, and its axes."""
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    height = 1.5 + BAR_INCHES * bars
    figure = Figure((WIDTH_INCHES, height), DOTS_PER_INCH, layout="constrained")
    FigureCanvasAgg(figure)
    return figure, figure.add_subplot()


def label_bars(axes, burns, offset):
    """Label the bars with their call paths, the first on top."""
    names = [f"{burn.title} ({burn.importance})" for burn in burns]
    axes.set_yticks([index + offset for index in range(len(burns))], names)
    axes.invert_yaxis()


def encode(figure):
    """Return a figure as PNG in base64."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return base64.b64encode(buffer.getvalue()).decode("ascii")
