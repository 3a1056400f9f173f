"""The tables that the command prints and the page holds, in Markdown."""

from papayabay_bench.capacity.design import MIB

MEGABYTES = ("memory", "private")
PERCENTS = ("processor",)
MILLISECONDS = (
    "compile_seconds",
    "apply_seconds",
    "apply_worst",
    "daemon_seconds",
    "join_processor",
    "death_processor",
    "news_processor",
)
HEADINGS = {name: f"{name} MB" for name in MEGABYTES}
HEADINGS |= {name: f"{name} % core" for name in PERCENTS}
HEADINGS |= {name: f"{name.replace('_seconds', '')} ms" for name in MILLISECONDS}


def lines_of(results, rows):
    """Yield the lines of all tables."""
    yield from section("Processes without control state", results.baselines)
    members = results.members + ([results.reader] if results.reader else [])
    yield from section("Members in one daemon", members)
    yield from section("Idle links of one daemon", results.links)
    yield from section("Configuration", results.configuration)
    yield from section("Spread over daemons", results.spread)
    yield from design_section(rows)


def section(title, samples):
    """Yield a table with one column for each sample."""
    if not samples:
        return
    yield f"### {title}"
    yield ""
    names = type(samples[0]).__slots__
    first, *others = names
    yield row([first, *(str(getattr(sample, first)) for sample in samples)])
    yield row(["---", *("---:" for _ in samples)])
    for name in others:
        cells = (cell(name, getattr(sample, name)) for sample in samples)
        yield row([HEADINGS.get(name, name).replace("_", " "), *cells])
    yield ""


def design_section(rows):
    """Yield the table of the design size."""
    yield "### At the size to design for"
    yield ""
    yield row(["figure", "worked out", "limit", "met", "from"])
    yield row(["---", "---:", "---:", "---", "---"])
    for entry in rows:
        limit = "" if entry.limit is None else f"{number(entry.limit)} {entry.unit}"
        met = {None: "", True: "yes", False: "**no**"}[entry.met]
        value = f"{number(entry.value)} {entry.unit}"
        yield row([entry.what, value, limit, met, entry.how])
    yield ""


def cell(name, value):
    """Return a sample's field in the unit of its heading."""
    if name in MEGABYTES or (name == "memory" and value > MIB):
        return number(value / MIB)
    if name in PERCENTS:
        return number(100 * value)
    if name in MILLISECONDS:
        return number(1_000 * value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return number(value)


def number(value):
    """Return a number with about three digits."""
    if isinstance(value, int) or abs(value) >= 100:
        return f"{value:,.0f}"
    if abs(value) >= 10:
        return f"{value:.1f}"
    return f"{value:.3g}"


def row(cells):
    """Return one line of a Markdown table."""
    return f"| {' | '.join(cells)} |"
