"""Process settings from a TOML file, environment variables and flags."""

from hawthornspoke.settings._schema import AGENT, ENTRY, PLATFORM, SCHEMAS, Setting
from hawthornspoke.settings._settings import BAD_SETTING, Settings, load_settings

__all__ = [
    "AGENT",
    "BAD_SETTING",
    "ENTRY",
    "PLATFORM",
    "SCHEMAS",
    "Setting",
    "Settings",
    "load_settings",
]
