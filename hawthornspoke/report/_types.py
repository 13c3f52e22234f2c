"""Types of a report."""

from dataclasses import dataclass, field

#: Failure domain of hosts that did not log theirs.
UNKNOWN_DOMAIN = "?"


@dataclass(slots=True, kw_only=True)
class RequestCounts:
    """Requests that ended in one second in one failure domain.

    Parameters
    ----------
    on_time, late : int
        Requests answered within the latency objective, and after it.
    failed : int
        Requests that failed in this system or at the endpoint.
    left : int
        Requests abandoned by the caller.
    refused_by_reason : dict of str to int
        Requests refused before they were run; the caller was told when to retry.
    refused_again : int
        Those of the refused requests that callers had sent again after a refusal.
    """

    on_time: int = 0
    late: int = 0
    failed: int = 0
    left: int = 0
    refused_by_reason: dict = field(default_factory=dict)
    refused_again: int = 0

    @property
    def refused(self):
        """Number of refused requests."""
        return sum(self.refused_by_reason.values())

    @property
    def asked(self):
        """Total number of requests."""
        return self.on_time + self.late + self.failed + self.left + self.refused


@dataclass(slots=True, kw_only=True)
class EngineCounts:
    """Engines at one second in one failure domain, by state.

    Parameters
    ----------
    serving : int
        Engines with complete weights on which they may start requests.
    loading : int
        Engines that are loading other weights.
    outdated : int
        Engines with weights on which they may not start requests any more.
    empty : int
        Engines without complete weights.
    silent : int
        Engines whose agent has logged no recent event.
    taken, slots : int
        Number of requests that run on the serving engines, and how many they can run
        at a time, according to the platform's list of endpoints.
    """

    serving: int = 0
    loading: int = 0
    outdated: int = 0
    empty: int = 0
    silent: int = 0
    taken: int = 0
    slots: int = 0


@dataclass(slots=True, kw_only=True)
class VersionRollout:
    """Rollout of one version to the engines.

    Parameters
    ----------
    version : int
    declared_at : float
        Earliest declaration time known to any host.
    in_use_at : list of float
        Times at which engines had loaded the version, in ascending order.
    whole_at : list of float
        Times at which hosts had received the complete weights, in ascending order.
    dropped : int
        Number of hosts that abandoned the transfer for a later version.
    """

    version: int
    declared_at: float
    in_use_at: list = field(default_factory=list)
    whole_at: list = field(default_factory=list)
    dropped: int = 0


@dataclass(slots=True, kw_only=True)
class Report:
    """A fleet's activity over time.

    Parameters
    ----------
    started_at : float
        Time of the first event; seconds are counted from it.
    requests_by_second, engines_by_second : dict of int to dict
        Counts by second and failure domain.
    spreads : list of VersionRollout
    origin_bytes : int
        Bytes read from the origin of weights, by all hosts together.
    platform_calls_by_kind : dict of str to int
        Number of calls to the platform, by kind of call.
    lines_left_out : int
        Lines that the processes suppressed due to rate limits.
    foreign, torn : int
        Lines of other programs, and lines that can't be parsed.
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
