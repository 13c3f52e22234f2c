"""What a report holds."""

from dataclasses import dataclass, field

#: Where a host's failure domain is not told in the logs.
UNKNOWN_DOMAIN = "?"


@dataclass(slots=True, kw_only=True)
class RequestCounts:
    """Requests that ended in one second in one failure domain.

    Parameters
    ----------
    on_time, late, failed, left : int
        Answered within the objective and after it, ended otherwise by us or by the
        endpoint, and left by their callers.
    refused_by_reason : dict of str to int
        Not run, the caller told when to come back.
    refused_again : int
        Those of them that had been refused before.
    """

    on_time: int = 0
    late: int = 0
    failed: int = 0
    left: int = 0
    refused_by_reason: dict = field(default_factory=dict)
    refused_again: int = 0

    @property
    def refused(self):
        """How many were refused."""
        return sum(self.refused_by_reason.values())

    @property
    def asked(self):
        """How many there were."""
        return self.on_time + self.late + self.failed + self.left + self.refused


@dataclass(slots=True, kw_only=True)
class EngineCounts:
    """Engines at one second in one failure domain, by what they could do.

    Parameters
    ----------
    serving, loading, outdated, empty, silent : int
        With whole weights that may answer; taking up others; on weights past their
        bound; without whole weights; without a word of their agent for a while.
    taken, slots : int
        Requests that run, and places for them where the list tells, at those serving.
    """

    serving: int = 0
    loading: int = 0
    outdated: int = 0
    empty: int = 0
    silent: int = 0
    taken: int = 0
    slots: int = 0


@dataclass(slots=True, kw_only=True)
class Spread:
    """One version on its way to the engines.

    Parameters
    ----------
    version : int
    declared_at : float
        The earliest moment that any host knows.
    in_use_at : list of float
        When each engine had it, in order.
    whole_at : list of float
        When each host had all pieces, in order.
    dropped : int
        Hosts that gave it up for a later one.
    """

    version: int
    declared_at: float
    in_use_at: list = field(default_factory=list)
    whole_at: list = field(default_factory=list)
    dropped: int = 0


@dataclass(slots=True, kw_only=True)
class Report:
    """What a fleet did.

    Parameters
    ----------
    started_at : float
        Of the first line; seconds are counted from it.
    requests_by_second, engines_by_second : dict of int to dict
        By second, then by failure domain.
    spreads : list of Spread
    origin_bytes : int
        Read from the origin of weights, all hosts together.
    platform_calls_by_kind : dict of str to int
    lines_left_out : int
        By the processes, under a flood.
    foreign, torn : int
        Lines that are none of ours, and that can't be read.
    """

    started_at: float
    requests_by_second: dict
    engines_by_second: dict
    spreads: list
    origin_bytes: int
    platform_calls_by_kind: dict
    lines_left_out: int
    foreign: int
    torn: int
