"""Load and check settings."""

import tomllib

from hawthornspoke.base import Failure
from hawthornspoke.settings._schema import PLATFORM, REQUIRED, SCHEMAS

BAD_SETTING = Failure(code="bad_setting")

ENVIRONMENT_PREFIX = "HAWTHORNSPOKE_"


class Settings:
    """Checked values by key, of the role and of the platform.

    Parameters
    ----------
    role : str
    by_key : dict of str to object
    platform : dict of str to object
    """

    __slots__ = ("role", "by_key", "platform")

    def __init__(self, *, role, by_key, platform):
        self.role = role
        self.by_key = by_key
        self.platform = platform

    def __getitem__(self, key):
        return self.by_key[key]


def load_settings(*, role, file, environment, flags):
    """Merge and check the settings of a role.

    Parameters
    ----------
    role : str
        ``"entry"`` or ``"agent"``.
    file : pathlib.Path or None
        TOML file with the role's keys at the top and a ``[platform]`` table.
    environment : mapping of str to str
        ``HAWTHORNSPOKE_PORT=7700`` overrides ``port``;
        ``HAWTHORNSPOKE_PLATFORM_TIMEOUT`` overrides ``platform.timeout``.
    flags : list of str
        ``key=value`` items, which override the rest.

    Returns
    -------
    tuple of (Settings or None, list of Failure)
        All errors at once, each naming the source, the key, the value and what
        is accepted.
    """
    loader = _Loader(role=role)
    loader.take_file(file)
    loader.take_environment(environment)
    loader.take_flags(flags)
    return loader.finish()


class _Loader:
    __slots__ = ("role", "values", "source_by_key", "failures")

    def __init__(self, *, role):
        self.role = role
        self.values = {}
        self.source_by_key = {}
        self.failures = []

    def take_file(self, file):
        if file is None:
            return
        try:
            table = tomllib.loads(file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            self._fail(str(file), "(file)", str(error))
            return
        platform = table.pop("platform", {})
        for key, value in table.items():
            self._set(key, value, str(file))
        if not isinstance(platform, dict):
            self._fail(str(file), "platform", "expected a table")
            return
        for key, value in platform.items():
            self._set("platform." + key, value, str(file))

    def take_environment(self, environment):
        for name, text in sorted(environment.items()):
            if not name.startswith(ENVIRONMENT_PREFIX):
                continue
            key = name[len(ENVIRONMENT_PREFIX) :].lower()
            if key.startswith("platform_"):
                key = "platform." + key[len("platform_") :]
            self._set(key, _parse(text), name)

    def take_flags(self, flags):
        for flag in flags:
            key, equals, text = flag.partition("=")
            if not equals:
                self._fail("--set", flag, "expected key=value")
                continue
            self._set(key, _parse(text), "--set")

    def finish(self):
        role = self._collect(SCHEMAS[self.role], "")
        platform = self._collect(PLATFORM, "platform.")
        for key in self.values:
            known = ", ".join(sorted(SCHEMAS[self.role]))
            reason = f"unknown key; accepted: {known}, platform.*"
            self._fail(self.source_by_key[key], key, reason)
        if self.failures:
            return None, self.failures
        return Settings(role=self.role, by_key=role, platform=platform), []

    def _collect(self, schema, prefix):
        collected = {}
        for name, key in schema.items():
            full = prefix + name
            if full in self.values:
                value = self.values.pop(full)
                complaint = key.bounds.complaint(value)
                if complaint:
                    self._fail(self.source_by_key[full], full, complaint)
                collected[name] = value
            elif key.default is REQUIRED:
                accepted = key.bounds.describe()
                self._fail("settings", full, f"missing; expected {accepted}")
            else:
                collected[name] = key.default
        return collected

    def _set(self, key, value, source):
        self.values[key] = value
        self.source_by_key[key] = source

    def _fail(self, source, key, reason):
        self.failures.append(BAD_SETTING.because(f"{source}: {key}: {reason}"))


def _parse(text):
    """Read a value as TOML would, or take it as a string."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
