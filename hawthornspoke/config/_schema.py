"""What may stand in a folder of declarations, and the checks across keys."""

from hawthornspoke.base import Bounds, Failure

BAD_DECLARATION = Failure(code="bad_declaration")

TEXT = Bounds(kind=str)
TEXT_LIST = Bounds(kind=list)
TABLE = Bounds(kind=dict)

PRIORITY_LOWEST = 7

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
    "burst_priority": Bounds(kind=int, low=0, high=PRIORITY_LOWEST),
}
ORGANISATION = {
    "key_sha256": TEXT,
    "requests_per_second": Bounds(kind=(int, float), low=0),
    "burst": Bounds(kind=(int, float), low=1),
    "lowest_urgency": Bounds(kind=int, low=0, high=PRIORITY_LOWEST),
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
    """Check merged declarations, all errors at once.

    Parameters
    ----------
    declarations : Declarations

    Returns
    -------
    list of Failure
        Empty if the folder may be applied. Each reason names file, key, what
        was found and what is accepted.
    """
    checker = _Checker(declarations=declarations)
    checker.run()
    return declarations.failures + checker.failures


class _Checker:
    __slots__ = ("declarations", "failures")

    def __init__(self, *, declarations):
        self.declarations = declarations
        self.failures = []

    def run(self):
        tree = self.declarations.tree
        known = {"rollout", *NAMED_TABLES}
        self._unknown_keys((), tree, known)
        if isinstance(tree.get("rollout"), dict):
            self._table(("rollout",), tree["rollout"], ROLLOUT, ())
        elif "rollout" in tree:
            self._fail(("rollout",), "expected a table")
        for section, schema in NAMED_TABLES.items():
            for name, table in self._named(tree, section):
                self._table((section, name), table, schema, REQUIRED[section])
        for name, model in self._named(tree, "models"):
            self._model(("models", name), model)
        for name, service in self._named(tree, "services"):
            self._service(("services", name), service)

    def _named(self, tree, section):
        tables = tree.get(section, {})
        if not isinstance(tables, dict):
            self._fail((section,), "expected a table of tables")
            return
        for name, table in tables.items():
            if isinstance(table, dict):
                yield name, table
            else:
                self._fail((section, name), f"expected a table, got {table!r}")

    def _table(self, path, table, schema, required):
        self._unknown_keys(path, table, schema)
        for key, bounds in schema.items():
            if key not in table:
                continue
            complaint = bounds.complaint(table[key])
            if complaint is None and bounds is TEXT_LIST:
                complaint = _text_list_complaint(table[key])
            if complaint:
                self._fail((*path, key), complaint)
        for key in required:
            if key not in table:
                self._fail((*path, key), "missing, and required")

    def _unknown_keys(self, path, table, known):
        for key in table:
            if key not in known:
                accepted = ", ".join(sorted(known))
                self._fail((*path, key), f"unknown key; accepted: {accepted}")

    def _model(self, path, model):
        for part, schema in (("versions", VERSION), ("adapters", ADAPTER)):
            for name, table in self._named_in(path, model, part):
                self._table((*path, part, name), table, schema, REQUIRED[part])
        versions = model.get("versions", {})
        for name, adapter in self._named_in(path, model, "adapters"):
            base = adapter.get("base")
            if isinstance(base, str) and base not in versions:
                where = (*path, "adapters", name, "base")
                self._fail(where, f"no version {base!r} of this model")

    def _named_in(self, path, table, part):
        tables = table.get(part, {})
        if not isinstance(tables, dict):
            return
        for name, item in tables.items():
            if isinstance(item, dict):
                yield name, item
            else:
                self._fail((*path, part, name), f"expected a table, got {item!r}")

    def _service(self, path, service):
        if service.get("kind") == "model":
            self._model_service(path, service)
        else:
            for key in ("model", "version", "adapters"):
                if key in service:
                    self._fail((*path, key), 'only services of kind "model" have it')
        organisations = self.declarations.tree.get("organisations", {})
        for name in _texts(service.get("organisations")):
            if name != "*" and name not in organisations:
                self._fail((*path, "organisations"), f"no organisation {name!r}")

    def _model_service(self, path, service):
        for key in ("model", "version"):
            if key not in service:
                self._fail((*path, key), 'missing, and required of kind "model"')
        models = self.declarations.tree.get("models", {})
        model = models.get(service.get("model")) if isinstance(models, dict) else None
        if not isinstance(model, dict):
            if "model" in service:
                self._fail((*path, "model"), f"no model {service['model']!r}")
            return
        version = service.get("version")
        if version is not None and version not in model.get("versions", {}):
            self._fail((*path, "version"), f"no version {version!r} of the model")
        for name in _texts(service.get("adapters")):
            adapter = model.get("adapters", {}).get(name)
            if not isinstance(adapter, dict):
                self._fail((*path, "adapters"), f"no adapter {name!r} of the model")
            elif adapter.get("base") != version:
                # An adapter trained on other base weights gives fluent nonsense
                # and no error, so it is refused before it can be accepted.
                base = adapter.get("base")
                reason = f"adapter {name!r} is for base {base!r}, not {version!r}"
                self._fail((*path, "adapters"), reason)

    def _fail(self, path, reason):
        file = self.declarations.file_of(path)
        key = ".".join(path)
        self.failures.append(BAD_DECLARATION.because(f"{file}: {key}: {reason}"))


def _texts(value):
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, str)]


def _text_list_complaint(value):
    if all(isinstance(item, str) for item in value):
        return None
    return f"expected a list of strings, got {value!r}"
