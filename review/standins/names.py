"""The platform's names, which stand in ``names.json`` by the words used here."""

import json
from pathlib import Path
from types import SimpleNamespace

N = SimpleNamespace(**json.loads(Path(__file__).with_suffix(".json").read_text()))
