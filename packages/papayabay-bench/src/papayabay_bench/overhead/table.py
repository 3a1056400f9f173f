"""The table of added latency."""

from statistics import median

HEADINGS = ("p50", "p99", "added p50", "from", "to", "added p99", "processor")
KEYS = (
    "p50_ms",
    "p99_ms",
    "added_p50_ms",
    "added_p50_least_ms",
    "added_p50_most_ms",
    "added_p99_ms",
)
DIGITS = 3


def results(ways, modes):
    """Return the figures as plain values, one entry per way and mode.

    Added latency is the difference of percentiles to the first way. That of
    the median is taken round by round; its own median over the rounds is
    given, and the least and the most, which show how noisy the machine was.
    """
    return [result(way, ways[0], mode) for mode in modes for way in ways]


def result(way, base, mode):
    """Return the figures of one way in one mode."""
    samples = way.samples[mode]
    latencies = pooled(samples)
    added = [
        percentile(sample.latencies_ms, 50) - percentile(other.latencies_ms, 50)
        for sample, other in zip(samples, base.samples[mode], strict=True)
    ]
    p99 = percentile(latencies, 99)
    figures = {
        "p50_ms": percentile(latencies, 50),
        "p99_ms": p99,
        "added_p50_ms": median(added),
        "added_p50_least_ms": min(added),
        "added_p50_most_ms": max(added),
        "added_p99_ms": p99 - percentile(pooled(base.samples[mode]), 99),
    }
    return {
        "mode": mode,
        "way": way.name,
        "calls": len(latencies),
        **{key: round(value, DIGITS) for key, value in figures.items()},
        "processor_ms": processor_per_call(samples),
    }


def pooled(samples):
    """Return the latencies of all rounds."""
    return [latency for sample in samples for latency in sample.latencies_ms]


def percentile(values, share):
    """Return the smallest value that `share` per cent do not exceed."""
    ordered = sorted(values)
    rank = -(-len(ordered) * share // 100)
    return ordered[max(rank, 1) - 1]


def processor_per_call(samples):
    """Return each process's time of a call, the median over the rounds."""
    by_round = [
        [used / len(sample.latencies_ms) for used in sample.processor_ms]
        for sample in samples
    ]
    return [round(median(times), DIGITS) for times in zip(*by_round, strict=True)]


def table_lines(ways, modes):
    """Yield the lines of the table; milliseconds throughout."""
    yield f"{'ms a call':28}" + "".join(f"{text:>11}" for text in HEADINGS)
    for entry in results(ways, modes):
        label = f"{entry['mode']}, {entry['way']}"
        numbers = "".join(f"{entry[key]:11.3f}" for key in KEYS)
        processor = " + ".join(f"{time:.3f}" for time in entry["processor_ms"])
        yield f"{label:28}{numbers}{processor or '-':>18}"
