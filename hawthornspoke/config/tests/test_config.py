"""Merging and validation of declarations, pinned documents, manifests, examples."""

from pathlib import Path

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.config import (
    Manifest,
    ServiceView,
    build_document,
    check_declarations,
    document_digest,
    load_folder,
    pack_document,
    parse_manifest,
    unpack_document,
)

EXAMPLES = Path(__file__).parents[3] / "examples"

BASE = """
[failure_domains.x]
region = "r"
[models.m.versions.v1]
source = "m-v1"
[models.m.versions.v2]
source = "m-v2"
[models.m.adapters.a]
base = "v1"
source = "m-a"
[services.s]
kind = "model"
model = "m"
version = "v1"
adapters = ["a"]
hosts = ["h-*"]
organisations = ["o"]
[organisations.o]
key_sha256 = "k"
"""


def write(folder, **files):
    for name, text in files.items():
        (folder / f"{name}.toml").write_text(text)
    return load_folder(folder)


@pytest.mark.parametrize("name", ["relais-hawthornspoke", "router-fleet"])
def test_shipped_examples_are_accepted(name):
    assert check_declarations(load_folder(EXAMPLES / name)) == []


def test_later_files_override_individual_keys(tmp_path):
    later = '[services.s]\nversion = "v2"\nadapters = []\n'
    declarations = write(tmp_path, a10=BASE, b20=later)
    assert check_declarations(declarations) == []
    service = declarations.tree["services"]["s"]
    assert service["version"] == "v2"
    assert service["hosts"] == ["h-*"]
    path = ("services", "s", "version")
    assert declarations.file_by_key[path] == "b20.toml"
    assert declarations.overridden_by_key[path] == ["a10.toml"]


def test_all_errors_are_reported_with_file_key_and_reason(tmp_path):
    invalid = """
[services.s]
version = "v9"
max_unavailable = 0
colour = "red"
[services.t]
kind = "robot"
hosts = "h"
organisations = ["nobody"]
[rollout]
strategy = "magic"
[models.m.adapters.a]
base = "v7"
"""
    declarations = write(tmp_path, a10=BASE, b20=invalid, c30="not toml")
    text = "\n".join(failure.reason for failure in check_declarations(declarations))
    for expected in (
        "c30.toml: ",
        "b20.toml: services.s.version: no version 'v9' of the model",
        "b20.toml: services.s.max_unavailable: expected int >= 1, got 0",
        "b20.toml: services.s.colour: unknown key; accepted: ",
        "b20.toml: services.t.kind: expected one of 'model', 'plain', got 'robot'",
        "b20.toml: services.t.hosts: expected list, got 'h'",
        "b20.toml: services.t.organisations: no organisation 'nobody'",
        "b20.toml: rollout.strategy: expected one of 'scatter', 'chain', 'origin'",
        "b20.toml: models.m.adapters.a.base: no version 'v7' of this model",
        "adapter 'a' is for base 'v7', not 'v9'",
    ):
        assert expected in text, text


def test_missing_folder_is_an_error(tmp_path):
    (failure,) = check_declarations(load_folder(tmp_path / "none"))
    assert "not a folder" in failure.reason


def test_document_pins_digests_and_keeps_previous_ones(tmp_path):
    declarations = write(tmp_path, a10=BASE)
    digests = {"m-v1": "d1", "m-v2": "d2", "m-a": "da"}
    first = build_document(tree=declarations.tree, digest_by_source=digests)
    second = build_document(
        tree=declarations.tree,
        digest_by_source={**digests, "m-v1": "d1b"},
        previous=first,
    )
    view = ServiceView(name="s", table=second["services"]["s"])
    assert view.digest == "d1b"
    assert view.accepts_digest("d1")
    assert not view.accepts_digest("d9")
    assert view.runs_on("h-7")
    assert not view.runs_on("x-7")


def test_truncated_document_is_rejected():
    data = pack_document({"a": 1})
    digest = document_digest(data)
    assert unpack_document(data, digest=digest) == {"a": 1}
    assert is_failure(unpack_document(data[:-1], digest=digest))


def test_manifest_digest_identifies_its_content():
    manifest = Manifest(chunks=["a", "b"], chunk_size=4, size=7)
    same = parse_manifest(manifest.to_bytes())
    assert same.digest == manifest.digest
    assert manifest.byte_range(1) == (4, 7)
    for invalid_manifest in (b"{}", b"x", b'{"chunks":["a"],"chunk_size":4,"size":9}'):
        assert is_failure(parse_manifest(invalid_manifest))
