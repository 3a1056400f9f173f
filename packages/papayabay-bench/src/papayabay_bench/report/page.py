"""One self-contained HTML page that compares policies."""

import base64
from html import escape
from itertools import groupby
from pathlib import Path
from string import Template

from papayabay_bench.report.pictures import KINDS, draw
from papayabay_bench.scenarios.tables import ROWS, cell

TEMPLATE = Path(__file__).with_name("page.html")


def write_report(results, out):
    """Write pictures and page; return the page's path.

    Parameters
    ----------
    results : list of RunResult
    out : str or Path
        Directory; made if need be.
    """
    directory = Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    ordered = sorted(results, key=lambda result: result.scenario)
    sections = [
        section(name, list(own), directory)
        for name, own in groupby(ordered, key=lambda result: result.scenario)
    ]
    page = directory / "index.html"
    text = Template(TEMPLATE.read_text()).substitute(sections="\n".join(sections))
    page.write_text(text)
    return page


def section(name, results, directory):
    """Return the part of the page that tells of one scenario."""
    runs = "\n".join(run_part(result, directory) for result in results)
    scale = escape(results[0].scale)
    return f"<h2>{escape(name)}</h2>\n<p>{scale}</p>\n{table(results)}\n{runs}"


def table(results):
    """Return the table of measures by policy."""
    policies = list(dict.fromkeys(result.policy for result in results))
    head = "".join(f"<th>{escape(policy)}</th>" for policy in policies)
    rows = "".join(
        f"<tr><td>{escape(label)}</td>"
        + "".join(f"<td>{cell(results, one, name, form)}</td>" for one in policies)
        + "</tr>\n"
        for name, label, form in ROWS
    )
    return f"<table>\n<tr><th></th>{head}</tr>\n{rows}</table>"


def run_part(result, directory):
    """Return the part of the page that tells of one run."""
    title = f"{escape(result.policy)}, seed {result.seed}"
    bound = escape("\n".join(result.bound_lines))
    verdicts = "".join(map(verdict_item, result.verdicts))
    images = "".join(picture(result, kind, directory) for kind in KINDS)
    return (
        f"<h3>{title}</h3>\n<details><summary>bound</summary><pre>{bound}</pre>"
        f"</details>\n<ul>{verdicts}</ul>\n<div class=run>{images}</div>"
    )


def verdict_item(verdict):
    """Return one expectation as a list item."""
    state = "holds" if verdict.holds else "failed"
    measured = "nothing" if verdict.measured is None else f"{verdict.measured:.4g}"
    text = escape(f"{state}: line {verdict.line}: {verdict.text} ({measured})")
    return f"<li class={state}>{text}</li>\n"


def picture(result, kind, directory):
    """Draw a series and return it as an image within the page."""
    plain = "".join(
        letter if letter.isalnum() else "-" for letter in result.scenario.lower()
    )
    path = directory / f"{plain}-{result.policy}-{result.seed}-{kind}.png"
    draw(result, kind, path)
    content = base64.b64encode(path.read_bytes()).decode()
    return f'<img alt="{escape(KINDS[kind])}" src="data:image/png;base64,{content}">'
