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
class RequestTraits:
    """What the features of a request are derived from.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation, empty if none is required.
    method, host, target : str
    body : bytes-like
    prompt_parts : str, default=""
        Comma-separated ``ID:TOKENS`` items, the last of which is the request's own.
    """

    organisation: str
    method: str
    host: str
    target: str
    body: bytes
    prompt_parts: str = ""


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
        items = traits.prompt_parts.split(",", MAX_PARTS)[:-1]
        part_ids = (item.partition(":")[0].strip().lower() for item in items)
        return list(
            dict.fromkeys(
                f"part{KIND_SEPARATOR}{part_id}"
                for part_id in part_ids
                if _is_part_id(part_id)
            )
        )


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


def malformed_parts(prompt_parts):
    """Return the number of parts with an invalid id.

    Parameters
    ----------
    prompt_parts : str
        See ``RequestTraits``.

    Returns
    -------
    int
    """
    if not prompt_parts:
        return 0
    items = prompt_parts.split(",", MAX_PARTS)[:MAX_PARTS]
    return sum(
        not _is_part_id(item.partition(KIND_SEPARATOR)[0].strip()) for item in items
    )


def _is_part_id(text):
    return 0 < len(text) <= MAX_PART_ID_LENGTH and _HEX_DIGITS.issuperset(text)
