"""Loading and validation of settings."""

import tomllib

from hawthornspoke.base import Failure
from hawthornspoke.settings._schema import PLATFORM, REQUIRED, SCHEMAS

BAD_SETTING = Failure(code="bad_setting")

ENVIRONMENT_PREFIX = "HAWTHORNSPOKE_"


class Settings:
    """Validated settings of a process.

    Parameters
    ----------
    role : str
    value_by_key : dict of str to object
        Settings of the role.
    platform : dict of str to object
        Settings of the ``[platform]`` table.
    """

    __slots__ = ("role", "value_by_key", "platform")

    def __init__(self, *, role, value_by_key, platform):
        self.role = role
        self.value_by_key = value_by_key
        self.platform = platform

    def __getitem__(self, key):
        return self.value_by_key[key]


def load_settings(*, role, file, environment, flags):
    """Merge and validate the settings of a role.

    Parameters
    ----------
    role : str
        ``"entry"``, ``"agent"`` or ``"operator"``.
    file : pathlib.Path or None
        TOML file with the role's keys at the top level and a ``[platform]`` table.
    environment : mapping of str to str
        ``HAWTHORNSPOKE_PORT=7700`` overrides ``port``;
        ``HAWTHORNSPOKE_PLATFORM_TIMEOUT`` overrides ``platform.timeout``.
    flags : list of str
        ``key=value`` items, which override file and environment.

    Returns
    -------
    tuple of (Settings or None, list of Failure)
        Settings, or None and all errors. Each error names the source and the key, and
        for an invalid value also the value and what is accepted.
    """
    loader = _Loader(role=role)
    loader.read_file(file)
    loader.read_environment(environment)
    loader.read_flags(flags)
    return loader.build_settings()


class _Loader:
    __slots__ = ("role", "values", "source_by_key", "failures")

    def __init__(self, *, role):
        self.role = role
        self.values = {}
        self.source_by_key = {}
        self.failures = []

    def read_file(self, file):
        if file is None:
            return
        try:
            table = tomllib.loads(file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            self._add_failure(str(file), "(file)", str(error))
            return
        platform = table.pop("platform", {})
        for key, value in table.items():
            self._set(key, value, str(file))
        if not isinstance(platform, dict):
            self._add_failure(str(file), "platform", "expected a table")
            return
        for key, value in platform.items():
            self._set("platform." + key, value, str(file))

    def read_environment(self, environment):
        for name, text in sorted(environment.items()):
            if not name.startswith(ENVIRONMENT_PREFIX):
                continue
            key = name[len(ENVIRONMENT_PREFIX) :].lower()
            if key.startswith("platform_"):
                key = "platform." + key[len("platform_") :]
            self._set(key, _parse_value(text), name)

    def read_flags(self, flags):
        for flag in flags:
            key, equals, text = flag.partition("=")
            if not equals:
                self._add_failure("--set", flag, "expected key=value")
                continue
            self._set(key, _parse_value(text), "--set")

    def build_settings(self):
        role_values = self._collect(SCHEMAS[self.role], "")
        platform_values = self._collect(PLATFORM, "platform.")
        for key in self.values:
            known_keys = ", ".join(sorted(SCHEMAS[self.role]))
            reason = f"unknown key; accepted: {known_keys}, platform.*"
            self._add_failure(self.source_by_key[key], key, reason)
        if self.failures:
            return None, self.failures
        return Settings(
            role=self.role, value_by_key=role_values, platform=platform_values
        ), []

    def _collect(self, schema, prefix):
        collected = {}
        for name, setting in schema.items():
            full_key = prefix + name
            if full_key in self.values:
                value = self.values.pop(full_key)
                error_message = setting.bounds.error_message(value)
                if error_message:
                    self._add_failure(
                        self.source_by_key[full_key], full_key, error_message
                    )
                collected[name] = value
            elif setting.default is REQUIRED:
                accepted = setting.bounds.describe()
                self._add_failure("settings", full_key, f"missing; expected {accepted}")
            else:
                collected[name] = setting.default
        return collected

    def _set(self, key, value, source):
        self.values[key] = value
        self.source_by_key[key] = source

    def _add_failure(self, source, key, reason):
        self.failures.append(BAD_SETTING.with_reason(f"{source}: {key}: {reason}"))


def _parse_value(text):
    """Parse a TOML value; text that is not one is taken as a string."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
