"""Settings of a process: TOML, then environment, then flags."""

from hawthornspoke.settings._schema import AGENT, ENTRY, PLATFORM, SCHEMAS, Key
from hawthornspoke.settings._settings import BAD_SETTING, Settings, load_settings

__all__ = [
    "AGENT",
    "BAD_SETTING",
    "ENTRY",
    "PLATFORM",
    "SCHEMAS",
    "Key",
    "Settings",
    "load_settings",
]
