"""Reading the lines that processes have written, collected from all hosts."""

import json
from pathlib import Path


class Reading:
    """Events from log files, and how many lines were none.

    Parameters
    ----------
    places : iterable of Path
        Files, or folders of files.

    Attributes
    ----------
    events : list of dict
        In order of time; each has ``t`` and ``event``.
    foreign : int
        Lines of other programs, without an object.
    torn : int
        Lines whose object can't be read, or lacks time or name.

    Raises
    ------
    FileNotFoundError
        Names the place that is not there.
    """

    __slots__ = ("events", "foreign", "torn")

    def __init__(self, *, places):
        self.events = []
        self.foreign = 0
        self.torn = 0
        for path in _files(places):
            for line in path.read_text(errors="replace").splitlines():
                self._take(line)
        self.events.sort(key=lambda event: event["t"])

    def _take(self, line):
        start = line.find("{")
        if start < 0:
            self.foreign += bool(line.strip())
            return
        try:
            event = json.loads(line[start:])
        except ValueError:
            self.torn += 1
            return
        if _is_event(event):
            self.events.append(event)
        else:
            self.torn += 1


def _files(places):
    for place in map(Path, places):
        if not place.exists():
            raise FileNotFoundError(f"{place}: no such file or folder")
        paths = sorted(place.rglob("*")) if place.is_dir() else [place]
        yield from (path for path in paths if path.is_file())


def _is_event(event):
    if not isinstance(event, dict) or not isinstance(event.get("event"), str):
        return False
    moment = event.get("t")
    return isinstance(moment, int | float) and not isinstance(moment, bool)
