"""What requests that crash endpoints may have in common."""

import pytest

from hawthornspoke.quarantine import (
    FEATURES,
    RequestTraits,
    features_of,
    kind_of,
    parse_prompt_parts,
)
from hawthornspoke.quarantine._features import MAX_PARTS, PromptPart, WholeRequest


def traits(prompt_parts="", body=b""):
    return RequestTraits(
        organisation="o",
        method="POST",
        host="h",
        target="/",
        body=body,
        prompt_parts=parse_prompt_parts(prompt_parts),
    )


def parts(prompt_parts):
    return features_of(traits(prompt_parts))[1:]


@pytest.mark.parametrize("name", FEATURES.names())
def test_kind_has_keys_without_repetition(name):
    keys = FEATURES.get(name).keys_of(traits("a1:1,a1:2,b2:3,c3:4"))
    assert len(keys) == len(set(keys)) > 0
    assert all(kind_of(key) is FEATURES.get(name) for key in keys)


def test_last_part_is_no_feature_and_a_repeated_one_counts_once():
    assert parts("a1:800,B2:410,a1:800,d4:250") == ("part:a1", "part:b2")
    assert parts("a1:800") == parts("") == ()


@pytest.mark.parametrize(
    "header", [",,,", ":1,:2", "zz:1,-:2,x", "a" * 65 + ":1,b1:1", "\x00:1,b1:2"]
)
def test_malformed_parts_are_ignored_and_counted(header):
    assert parts(header) == ()
    assert parse_prompt_parts(header).malformed_count > 0


def test_number_of_parts_is_bounded():
    header = ",".join(f"{number:x}:1" for number in range(100_000))
    assert len(parts(header)) == MAX_PARTS
    assert parse_prompt_parts(header).malformed_count == 0


def test_first_feature_is_the_whole_request_whatever_its_parts():
    first, *_ = features_of(traits("a1:1,b1:1", body=b"x"))
    assert first == features_of(traits("c1:1,d1:1", body=b"x"))[0]
    assert first != features_of(traits("a1:1,b1:1", body=b"y"))[0]
    assert kind_of(first) is WholeRequest


def test_unknown_kind_counts_as_shared():
    assert kind_of("option:stop") is PromptPart
