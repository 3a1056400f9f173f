"""Lists which days were played on which commit, and what came out.

Run it as `python deploy/list_played.py`. It reads the journal, in which
every run on the platform's bench leaves an entry.
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

OWN_DAYS = Path(__file__).parent / "days"
JOURNAL = Path(__file__).parent.parent / "journal"
COMMIT_DIGITS = 8
CUT_SHORT = "--until"
"""Option of a run that ends before its day does, and shows no outcome."""


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One day of one journal entry.

    Attributes
    ----------
    played_at : str
    commit : str
        Checked out then; the sources may have been changed since.
    file : str
        Name of the day's own file, empty for a day of the site.
    troubles : tuple of str
        Kinds of disruption and planned work.
    worth : float
    broken : tuple of str
        Rules that the day broke.
    passed : bool
        Whether it reached its floors.
    """

    played_at: str
    commit: str
    file: str
    troubles: tuple[str, ...]
    worth: float
    broken: tuple[str, ...]
    passed: bool

    def outcome(self):
        """Return what came out, in a few words."""
        if self.broken:
            return "broke " + ", ".join(self.broken)
        return "passed" if self.passed else "short of its floors"


def read_journal(folder):
    """Return all whole days of the journal, the oldest first."""
    entries = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return [
        played_day(entry, day)
        for entry in entries
        if CUT_SHORT not in entry["argv"]
        for day in entry.get("days") or ()
    ]


def played_day(entry, day):
    """Return a day of an entry; `KeyError` when its form is another one."""
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
    """Return one line for each own day: its newest run."""
    newest = {day.file: day for day in days if day.file}
    for path in sorted(OWN_DAYS.glob("*.toml")):
        day = newest.get(path.name)
        if day is None:
            yield f"{path.stem:34} not played"
        else:
            what = f"{day.worth:.3f}  {day.outcome()}"
            yield f"{path.stem:34} {day.played_at[:10]}  {day.commit}  {what}"


def trouble_rows(days):
    """Return one line for each kind: days with it, and its newest run."""
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
