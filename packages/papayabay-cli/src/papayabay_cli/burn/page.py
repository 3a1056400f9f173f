"""Writes the burn report as one self-contained HTML page."""

from html import escape
from string import Template

from papayabay_cli.burn.report import ALERT_RULES
from papayabay_cli.burn.text import (
    CLASS_HEADINGS,
    PATH_HEADINGS,
    class_row,
    headline,
    path_row,
)

PAGE = Template("""<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; font-size: 90%; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
tr.page { background: #f9dedc; }
tr.ticket { background: #fff2cc; }
img { max-width: 100%; }
</style>
</head>
<body>
<h1>Burn report</h1>
$headline
$charts
<h2>Per service and class</h2>
$classes
<h2>Per call path, what burns fastest first</h2>
$paths
<h2>Reading it</h2>
<p>Counts and the budget left are those of the last three days. A burn rate
of 1 spends just the whole budget in the period of the objective. Refused are
requests that policy refused unrun under overload: they ask for capacity, not
for a repair; failed ones ended by an error, slow ones came too late.</p>
<ul>
$rules
</ul>
</body>
</html>
""")


def make_page(report):
    """Return the HTML page of a `BurnReport`."""
    return PAGE.substitute(
        headline="".join(f"<p>{escape(line)}</p>\n" for line in headline(report)),
        charts=make_charts(report),
        classes=make_table(CLASS_HEADINGS, report.classes, class_row),
        paths=make_table(PATH_HEADINGS, report.paths, path_row),
        rules="".join(f"<li>{escape(str(rule))}</li>\n" for rule in ALERT_RULES),
    )


def make_charts(report):
    """Return the charts as HTML, or a line when there is nothing to draw."""
    if not report.paths:
        return "<p>No call path has an objective.</p>"
    from papayabay_cli.burn.charts import burn_rate_chart, outcome_chart

    charts = {
        "Burn rates per call path": burn_rate_chart(report.paths),
        "Bad requests per call path, by kind": outcome_chart(report.paths),
    }
    return "".join(
        f'<h2>{title}</h2>\n<img alt="{title}" src="data:image/png;base64,{content}">\n'
        for title, content in charts.items()
    )


def make_table(headings, burns, row):
    """Return an HTML table with one row per burn."""
    head = "".join(f"<th>{escape(heading)}</th>" for heading in headings)
    rows = "".join(make_row(burn, row(burn)) for burn in burns)
    return f"<table>\n<tr>{head}</tr>\n{rows}</table>"


def make_row(burn, cells):
    """Return a table row, whose CSS class is the most urgent alert."""
    css_class = burn.alerts[0].partition(":")[0] if burn.alerts else "calm"
    content = "".join(f"<td>{escape(str(cell))}</td>" for cell in cells)
    return f'<tr class="{css_class}">{content}</tr>\n'
