"""Directives, by which entry hosts tell agents the declared version and the peers.

The declared version is the one that operators want deployed; peers are the endpoints
whose hosts exchange its weights.
"""

import math

from hawthornspoke.catalog import FIRST_VERSION
from hawthornspoke.peering._declaration_report import made_us
from hawthornspoke.protocol import Directive, PeerEndpoint


def make_directive(
    *,
    engine,
    version,
    age,
    peers,
    origin,
    bound,
    failure_domain=None,
    health_path=None,
    earlier_versions=(),
    known_for=0.0,
    made_at=None,
):
    """Build the directive for one model.

    Parameters
    ----------
    engine : EngineProfile
    version : int or None
        Declared version; None before the first declaration, for ``FIRST_VERSION``.
    age : float or None
        Maximum number of seconds since the declaration, None if unknown.
    peers : iterable of EndpointEntry or None
        None if another entry host sends them.
    origin : str or None
        Address of the origin.
    bound : float
        Seconds after the declaration from which no request may start on older versions.
    failure_domain : str or None, default=None
        Failure domain of the sender.
    health_path : str or None, default=None
        Path at which the engine reports contention; None if it isn't to be asked.
    earlier_versions : iterable of DeclaredAge, default=()
        Versions declared before.
    known_for : float, default=0.0
        Minimum number of seconds since the declaration.
    made_at : float or None, default=None
        Time from which ages count, in seconds of ``boottime_clock``; without it they
        prove nothing to the receiver.

    Returns
    -------
    Directive
    """
    return Directive(
        model=engine.model,
        weights_version=version or FIRST_VERSION,
        age_ms=None if age is None else math.ceil(age * 1000),
        peers=None if peers is None else peer_endpoints(peers),
        pieces=engine.pieces,
        piece_bytes=engine.piece_bytes,
        layers=engine.layers,
        origin_address=origin,
        version_bound_ms=int(bound * 1000),
        failure_domain=failure_domain,
        load_time=engine.load_time,
        health_path=health_path,
        earlier_versions=list(earlier_versions),
        known_ms=math.floor(known_for * 1000),
        made_us=None if made_at is None else made_us(made_at),
    )


def peer_endpoints(entries):
    """Convert endpoints to the structs sent to agents.

    Parameters
    ----------
    entries : iterable of EndpointEntry

    Returns
    -------
    list of PeerEndpoint
    """
    return [
        PeerEndpoint(
            address=entry.address,
            failure_domain=entry.failure_domain,
            leaving=entry.leaving,
        )
        for entry in entries
    ]


def is_usable(directive):
    """Return whether a directive has all fields that an agent needs.

    Parameters
    ----------
    directive : Directive
        Without ``peers`` only the version is required.

    Returns
    -------
    bool
    """
    if directive.weights_version is None:
        return False
    if directive.peers is None:
        return True
    needed = (
        directive.model,
        directive.pieces,
        directive.piece_bytes,
        directive.version_bound_ms,
    )
    if None in needed:
        return False
    return not any(
        None in (peer.address, peer.failure_domain) for peer in directive.peers
    )
