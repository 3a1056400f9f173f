"""Prints results as tables or JSON, and notes on standard error."""

import datetime
import json
import sys

NO_TIME = "-"
COLUMN_GAP = "  "


def print_json(values):
    """Print JSON-compatible values as indented JSON."""
    print(json.dumps(values, indent=2, ensure_ascii=False))


def print_note(text):
    """Print a line on standard error, apart from the result."""
    print(text, file=sys.stderr)


def print_table(headings, rows):
    """Print a table whose columns are as wide as their widest cell."""
    for line in table_lines(headings, rows):
        print(line)


def table_lines(headings, rows):
    """Return the headings and rows of a table as aligned lines."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def format_time(milliseconds):
    """Return a Unix time as UTC date and time; a dash for 0 or None."""
    if not milliseconds:
        return NO_TIME
    moment = datetime.datetime.fromtimestamp(milliseconds / 1_000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
