"""Lists the simulated days of the journal with their commits and outcomes.

Run it as `python deploy/list_played.py`. It reads the journal, which has an
entry for each run on the platform's bench. A day is one scenario of the bench.
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

OWN_DAYS = Path(__file__).parent / "days"
JOURNAL = Path(__file__).parent.parent / "journal"
COMMIT_DIGITS = 8
UNTIL_OPTION = "--until"
"""Option of runs that end before their day and therefore have no outcome."""


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """Result of one day of a journal entry.

    Attributes
    ----------
    played_at : str
    commit : str
        The commit checked out at the run; the working tree may have differed.
    file : str
        File name of one of our own days; empty for a day of the site.
    troubles : tuple of str
        Kinds of disruptions and planned work.
    worth : float
        Score of the day.
    broken : tuple of str
        Rules violated during the day.
    passed : bool
        Whether the day reached its minimum scores.
    """

    played_at: str
    commit: str
    file: str
    troubles: tuple[str, ...]
    worth: float
    broken: tuple[str, ...]
    passed: bool

    def outcome(self):
        """Return the outcome as a short text."""
        if self.broken:
            return "broke " + ", ".join(self.broken)
        return "passed" if self.passed else "short of its floors"


def read_journal(folder):
    """Return all completed days of the journal, oldest first."""
    entries = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return [
        played_day(entry, day)
        for entry in entries
        if UNTIL_OPTION not in entry["argv"]
        for day in entry.get("days") or ()
    ]


def played_day(entry, day):
    """Return a day of an entry; `KeyError` if the entry is malformed."""
    files = [Path(word).name for word in entry["argv"] if word.endswith(".toml")]
    return PlayedDay(
        played_at=entry["at"][0],
        commit=entry["head"][:COMMIT_DIGITS],
        file=files[1] if len(files) > 1 else "",
        troubles=tuple(day["troubles"] or ()),
        worth=day["G"],
        broken=tuple(day["rules"] or ()) + ((day["fault"],) if day["fault"] else ()),
        passed=bool(day["gate"]),
    )


def own_day_rows(days):
    """Yield a line for each of our own days, with its newest run."""
    newest = {day.file: day for day in days if day.file}
    for path in sorted(OWN_DAYS.glob("*.toml")):
        day = newest.get(path.name)
        if day is None:
            yield f"{path.stem:34} not played"
        else:
            result = f"{day.worth:.3f}  {day.outcome()}"
            yield f"{path.stem:34} {day.played_at[:10]}  {day.commit}  {result}"


def trouble_rows(days):
    """Yield a line for each kind of disruption, with its newest run."""
    by_kind = defaultdict(list)
    for day in days:
        for kind in day.troubles:
            by_kind[kind].append(day)
    for kind, played in sorted(by_kind.items()):
        broken = sum(bool(day.broken) for day in played)
        yield (
            f"{kind:24} {len(played):5} days, {broken:3} with a broken rule, "
            f"newest on {played[-1].commit}"
        )


if __name__ == "__main__":
    played_days = read_journal(JOURNAL)
    print(*own_day_rows(played_days), "", *trouble_rows(played_days), sep="\n")
