"""Modules that compare the store's revisions themselves."""

import ast
from pathlib import Path

import hawthornspoke

ROOT = Path(hawthornspoke.__file__).parent.parent
PACKAGES = (
    "hawthornspoke/mirror",
    "hawthornspoke/spread",
    "hawthornspoke/relay",
    "platform/adapter",
)
REVISIONS = "hawthornspoke/mirror/_revision.py"

#: Comparisons of something else, by module and text.
ALLOWED_REASON_BY_COMPARISON = {
    ("hawthornspoke/relay/_sink.py", "catalog.revision > known.revision"): (
        "a configuration's version"
    ),
    ("hawthornspoke/mirror/_row_dispatcher.py", "catalog.revision < self._revision"): (
        "a configuration's version"
    ),
    ("platform/adapter/store.py", "0 <= rev <= number_of(revision)"): (
        "numbers of one answer"
    ),
}

REVISION_NAMES = {"revision", "rev", "copied_until", "complete_from"}
ORDERS = (ast.Lt, ast.LtE, ast.Gt, ast.GtE)
ORDERING_CALLS = {"max", "min", "sorted", "sort"}


def is_revision(node):
    """Return whether an expression is a revision, or its number within an era."""
    if isinstance(node, ast.Call):
        return name_of(node.func) == "number_of"
    name = name_of(node)
    return name in REVISION_NAMES or name.endswith("_revision")


def name_of(node):
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def compares_revisions(node):
    """Return whether an expression orders revisions."""
    if isinstance(node, ast.Compare):
        is_order = any(isinstance(operator, ORDERS) for operator in node.ops)
        operands = [node.left, *node.comparators]
    elif isinstance(node, ast.Call):
        is_order = name_of(node.func) in ORDERING_CALLS
        operands = [
            *[item for argument in node.args for item in items_of(argument)],
            *[item for keyword in node.keywords for item in items_of(keyword.value)],
        ]
    else:
        return False
    return is_order and any(is_revision(operand) for operand in operands)


def items_of(node):
    """Return what decides the order of an argument: itself or parts of it."""
    if isinstance(node, ast.Lambda):
        node = node.body
    elif isinstance(node, (ast.GeneratorExp, ast.ListComp, ast.SetComp)):
        node = node.elt
    elif isinstance(node, ast.Starred):
        node = node.value
    return node.elts if isinstance(node, (ast.Tuple, ast.List)) else [node]


def comparisons(root=ROOT):
    """Return module and text of all comparisons of revisions outside tests."""
    found = set()
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            module = path.relative_to(root).as_posix()
            if "/tests/" in module or module == REVISIONS:
                continue
            tree = ast.parse(path.read_text())
            found |= {
                (module, ast.unparse(node))
                for node in ast.walk(tree)
                if compares_revisions(node)
            }
    return found


def test_only_one_module_compares_revisions():
    """Guards against revisions of two eras that are compared as if of one."""
    assert comparisons() == set(ALLOWED_REASON_BY_COMPARISON)


def test_comparisons_of_all_forms_are_found():
    for text in (
        "row.revision < known.revision",
        "0 < known_revision",
        "max(row.revision for row in rows)",
        "sorted(rows, key=lambda row: (row.revision, row.key))",
        "rows.sort(key=lambda row: row.revision)",
        "min(self.copied_until, other)",
        "number_of(first) >= after",
    ):
        assert compares_revisions(ast.parse(text, mode="eval").body), text
    for text in (
        "row.revision == known.revision",
        "era_of(first) < era_of(second)",
        "newest(*(row.revision for row in rows))",
    ):
        assert not compares_revisions(ast.parse(text, mode="eval").body), text
