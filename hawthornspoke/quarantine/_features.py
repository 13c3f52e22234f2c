"""Features of requests: what requests that crash endpoints may have in common."""

import string
from dataclasses import dataclass

from hawthornspoke.base import Registry
from hawthornspoke.quarantine._fingerprint import fingerprint_of

FEATURES = Registry(kind="request feature")

#: Maximum number of parts of a prompt, counted from its start, that are features.
MAX_PARTS = 64

#: Maximum length of the id of a part; longer ones are malformed.
MAX_PART_ID_LENGTH = 64

#: Separates the kind of a feature from its id. Whole requests, the first kind, have
#: none, so that their evidence is the same for all builds.
KIND_SEPARATOR = ":"

_HEX_DIGITS = frozenset(string.hexdigits)


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptParts:
    """Parts of a prompt, as its caller names them.

    Parameters
    ----------
    shared_ids : tuple of str, default=()
        Valid ids in lower case, in the order of the prompt and without repetition. The
        last part is left out: it is the request's own.
    malformed_count : int, default=0
        Number of parts with an invalid id.
    """

    shared_ids: tuple = ()
    malformed_count: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestTraits:
    """What the features of a request are derived from.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation, empty if none is required.
    method, host, target : str
    body : bytes-like
    prompt_parts : PromptParts, default=PromptParts()
    """

    organisation: str
    method: str
    host: str
    target: str
    body: bytes
    prompt_parts: PromptParts = PromptParts()


class FeatureKind:
    """One kind of feature; subclasses define ``keys_of``.

    Attributes
    ----------
    IS_SHARED : bool
        Whether different requests that run at the same time may have the feature.
    """

    IS_SHARED = False

    @classmethod
    def keys_of(cls, traits):
        """Return the features of this kind that a request has.

        Parameters
        ----------
        traits : RequestTraits

        Returns
        -------
        list of str
            Without repetition.
        """
        raise NotImplementedError


@FEATURES.register("request")
class WholeRequest(FeatureKind):
    """The whole request, which all its repeats have in common."""

    @classmethod
    def keys_of(cls, traits):
        """Return the fingerprint of the request."""
        fingerprint = fingerprint_of(
            organisation=traits.organisation,
            method=traits.method,
            host=traits.host,
            target=traits.target,
            body=traits.body,
        )
        return [fingerprint]


@FEATURES.register("part")
class PromptPart(FeatureKind):
    """A part of a prompt; different requests of any organisation may share it."""

    IS_SHARED = True

    @classmethod
    def keys_of(cls, traits):
        """Return the parts except the last one, which no other request has."""
        return [
            f"part{KIND_SEPARATOR}{part_id}"
            for part_id in traits.prompt_parts.shared_ids
        ]


def features_of(traits):
    """Return the features of a request, the whole request first.

    Parameters
    ----------
    traits : RequestTraits

    Returns
    -------
    tuple of str
    """
    whole = WholeRequest.keys_of(traits)
    others = (
        FEATURES.get(name).keys_of(traits)
        for name in FEATURES.names()
        if FEATURES.get(name) is not WholeRequest
    )
    return tuple(whole + [key for keys in others for key in keys])


def kind_of(feature):
    """Return the kind of a feature.

    Parameters
    ----------
    feature : str
        Possibly received from another process.

    Returns
    -------
    type
        Subclass of FeatureKind; a kind that this build doesn't know counts as shared.
    """
    name, separator, _ = feature.partition(KIND_SEPARATOR)
    if not separator:
        return WholeRequest
    return FEATURES.get(name) if name in FEATURES else PromptPart


def parse_prompt_parts(header):
    """Parse the header in which a caller names the parts of a prompt.

    Parameters
    ----------
    header : str
        Comma-separated ``ID:TOKENS`` items, empty if the caller names none. Those after
        the first ``MAX_PARTS`` are ignored.

    Returns
    -------
    PromptParts
    """
    if not header:
        return PromptParts()
    items = header.split(",", MAX_PARTS)
    part_ids = [item.partition(":")[0].strip() for item in items[:MAX_PARTS]]
    validity = [_is_part_id(part_id) for part_id in part_ids]
    shared_ids = (
        part_id.lower()
        for part_id, is_valid in zip(part_ids[: len(items) - 1], validity, strict=False)
        if is_valid
    )
    return PromptParts(
        shared_ids=tuple(dict.fromkeys(shared_ids)),
        malformed_count=validity.count(False),
    )


def _is_part_id(text):
    return 0 < len(text) <= MAX_PART_ID_LENGTH and _HEX_DIGITS.issuperset(text)
