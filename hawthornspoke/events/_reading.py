"""Reading of event logs collected from all hosts."""

import json
from pathlib import Path


class EventReader:
    """Reads events from log files and counts the lines that are not events.

    Parameters
    ----------
    paths : iterable of Path
        Files, or folders of files.

    Attributes
    ----------
    events : list of dict
        Events in order of time; each has ``t`` and ``event``.
    foreign : int
        Number of lines without a JSON object, as other programs write them.
    torn : int
        Number of lines whose JSON object can't be parsed, such as truncated ones, or
        lacks a valid ``t`` or ``event``.

    Raises
    ------
    FileNotFoundError
        If a path does not exist.
    """

    __slots__ = ("events", "foreign", "torn")

    def __init__(self, *, paths):
        self.events = []
        self.foreign = 0
        self.torn = 0
        for path in _files(paths):
            for line in path.read_text(errors="replace").splitlines():
                self._add_line(line)
        self.events.sort(key=lambda event: event["t"])

    def _add_line(self, line):
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


def _files(paths):
    for root in map(Path, paths):
        if not root.exists():
            raise FileNotFoundError(f"{root}: no such file or folder")
        candidates = sorted(root.rglob("*")) if root.is_dir() else [root]
        yield from (path for path in candidates if path.is_file())


def _is_event(event):
    if not isinstance(event, dict) or not isinstance(event.get("event"), str):
        return False
    timestamp = event.get("t")
    return isinstance(timestamp, int | float) and not isinstance(timestamp, bool)
