"""Schema of operators' declarations, and checks of references between their keys."""

from hawthornspoke.base import Bounds, Failure

BAD_DECLARATION = Failure(code="bad_declaration")

TEXT = Bounds(kind=str)
TEXT_LIST = Bounds(kind=list)
TABLE = Bounds(kind=dict)

LOWEST_PRIORITY = 7

ROLLOUT = {
    "strategy": Bounds(kind=str, choices=("scatter", "chain", "origin")),
    "origin_copies": Bounds(kind=int, low=1, high=16),
    "origin_scope": Bounds(kind=str, choices=("fleet", "region", "failure_domain")),
}
FAILURE_DOMAIN = {"region": TEXT}
VERSION = {"source": TEXT}
ADAPTER = {"base": TEXT, "source": TEXT}
MODEL = {"versions": TABLE, "adapters": TABLE}
SERVICE = {
    "kind": Bounds(kind=str, choices=("model", "plain")),
    "model": TEXT,
    "version": TEXT,
    "adapters": TEXT_LIST,
    "hosts": TEXT_LIST,
    "organisations": TEXT_LIST,
    "max_unavailable": Bounds(kind=int, low=1),
    "reports_load": Bounds(kind=bool),
    "checks_fencing": Bounds(kind=bool),
    "burst_priority": Bounds(kind=int, low=0, high=LOWEST_PRIORITY),
}
ORGANISATION = {
    "key_sha256": TEXT,
    "requests_per_second": Bounds(kind=(int, float), low=0),
    "burst": Bounds(kind=(int, float), low=1),
    "lowest_urgency": Bounds(kind=int, low=0, high=LOWEST_PRIORITY),
}
REQUIRED = {
    "failure_domains": ("region",),
    "versions": ("source",),
    "adapters": ("base", "source"),
    "models": ("versions",),
    "services": ("kind", "hosts", "organisations"),
    "organisations": ("key_sha256",),
}
NAMED_TABLES = {
    "failure_domains": FAILURE_DOMAIN,
    "models": MODEL,
    "services": SERVICE,
    "organisations": ORGANISATION,
}


def check_declarations(declarations):
    """Check merged declarations and return all errors.

    Parameters
    ----------
    declarations : Declarations

    Returns
    -------
    list of Failure
        Empty if the declarations are valid. Each reason names the file and the key,
        and for an invalid value what is accepted.
    """
    validator = _Validator(declarations=declarations)
    validator.run()
    return declarations.failures + validator.failures


class _Validator:
    __slots__ = ("declarations", "failures")

    def __init__(self, *, declarations):
        self.declarations = declarations
        self.failures = []

    def run(self):
        tree = self.declarations.tree
        accepted_keys = {"rollout", *NAMED_TABLES}
        self._check_unknown_keys((), tree, accepted_keys)
        if isinstance(tree.get("rollout"), dict):
            self._check_table(("rollout",), tree["rollout"], ROLLOUT, ())
        elif "rollout" in tree:
            self._add_failure(("rollout",), "expected a table")
        for section, schema in NAMED_TABLES.items():
            for name, table in self._iter_tables(tree, section):
                self._check_table((section, name), table, schema, REQUIRED[section])
        for name, model in self._iter_tables(tree, "models"):
            self._check_model(("models", name), model)
        for name, service in self._iter_tables(tree, "services"):
            self._check_service(("services", name), service)

    def _iter_tables(self, tree, section):
        tables = tree.get(section, {})
        if not isinstance(tables, dict):
            self._add_failure((section,), "expected a table of tables")
            return
        for name, table in tables.items():
            if isinstance(table, dict):
                yield name, table
            else:
                self._add_failure((section, name), f"expected a table, got {table!r}")

    def _check_table(self, path, table, schema, required):
        self._check_unknown_keys(path, table, schema)
        for key, bounds in schema.items():
            if key not in table:
                continue
            error_message = bounds.error_message(table[key])
            if error_message is None and bounds is TEXT_LIST:
                error_message = _text_list_error_message(table[key])
            if error_message:
                self._add_failure((*path, key), error_message)
        for key in required:
            if key not in table:
                self._add_failure((*path, key), "missing, required")

    def _check_unknown_keys(self, path, table, accepted_keys):
        for key in table:
            if key not in accepted_keys:
                accepted = ", ".join(sorted(accepted_keys))
                self._add_failure((*path, key), f"unknown key; accepted: {accepted}")

    def _check_model(self, path, model):
        for subsection, schema in (("versions", VERSION), ("adapters", ADAPTER)):
            for name, table in self._iter_subtables(path, model, subsection):
                self._check_table(
                    (*path, subsection, name), table, schema, REQUIRED[subsection]
                )
        versions = model.get("versions", {})
        for name, adapter in self._iter_subtables(path, model, "adapters"):
            base = adapter.get("base")
            if isinstance(base, str) and base not in versions:
                key_path = (*path, "adapters", name, "base")
                self._add_failure(key_path, f"no version {base!r} of this model")

    def _iter_subtables(self, path, table, subsection):
        tables = table.get(subsection, {})
        if not isinstance(tables, dict):
            return
        for name, item in tables.items():
            if isinstance(item, dict):
                yield name, item
            else:
                self._add_failure(
                    (*path, subsection, name), f"expected a table, got {item!r}"
                )

    def _check_service(self, path, service):
        if service.get("kind") == "model":
            self._check_model_service(path, service)
        else:
            for key in ("model", "version", "adapters"):
                if key in service:
                    self._add_failure(
                        (*path, key), 'only allowed for services of kind "model"'
                    )
        organisations = self.declarations.tree.get("organisations", {})
        for name in _string_items(service.get("organisations")):
            if name != "*" and name not in organisations:
                self._add_failure((*path, "organisations"), f"no organisation {name!r}")

    def _check_model_service(self, path, service):
        for key in ("model", "version"):
            if key not in service:
                self._add_failure(
                    (*path, key), 'missing, required for services of kind "model"'
                )
        models = self.declarations.tree.get("models", {})
        model = models.get(service.get("model")) if isinstance(models, dict) else None
        if not isinstance(model, dict):
            if "model" in service:
                self._add_failure((*path, "model"), f"no model {service['model']!r}")
            return
        version = service.get("version")
        if version is not None and version not in model.get("versions", {}):
            self._add_failure(
                (*path, "version"), f"no version {version!r} of the model"
            )
        for name in _string_items(service.get("adapters")):
            adapter = model.get("adapters", {}).get(name)
            if not isinstance(adapter, dict):
                self._add_failure(
                    (*path, "adapters"), f"no adapter {name!r} of the model"
                )
            elif adapter.get("base") != version:
                # An adapter trained on other base weights generates fluent but wrong
                # text without an error, so the declaration is rejected.
                base = adapter.get("base")
                reason = f"adapter {name!r} is for base {base!r}, not {version!r}"
                self._add_failure((*path, "adapters"), reason)

    def _add_failure(self, path, reason):
        file = self.declarations.file_of(path)
        key = ".".join(path)
        self.failures.append(BAD_DECLARATION.with_reason(f"{file}: {key}: {reason}"))


def _string_items(value):
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, str)]


def _text_list_error_message(value):
    if all(isinstance(item, str) for item in value):
        return None
    return f"expected a list of strings, got {value!r}"
