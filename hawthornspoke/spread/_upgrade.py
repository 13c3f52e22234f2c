"""State machine, without I/O, that plans which version an engine loads, and when.

A version expires a fixed time, the version bound, after the declaration of the next
one: no request may start on its weights from then on. An order makes the engine load a
version, whose pieces were fetched and staged at the engine before.
"""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.catalog import EXPIRY_MARGIN
from hawthornspoke.spread._changeover import SWITCH_TIME, order_time

#: A version whose pieces are not all held is dropped in favour of the next one if that
#: is declared within this fraction of the transfer time. With version bound B, transfer
#: time T and a gap g between the two declarations, no weights can be served for
#: g + T - B if the first version is dropped, and for 2T - B - g if it is finished
#: first. Both are equal at g = T/2.
SUPERSEDE_WINDOW_SHARE = 0.5

#: Seconds before its weights expire from which an engine is made to refuse requests.
#: Those that it has admitted before still start, once it has read their prompts.
RETIRE_MARGIN = 0.5

#: Minimum seconds for this after the first report of a version by which the weights had
#: already expired. After an outage, the first host to report it may know only an early
#: bound of its time, and an engine can't take its weights back.
RETIRE_DELAY = 0.5

#: Seconds for which this is repeated at each observation, and the interval after that,
#: if the engine doesn't do it.
RETIRE_TIME = 5.0
RETIRE_INTERVAL = 1.0

#: Maximum number of declared versions in memory. Older ones are no longer needed.
MAX_DECLARED_VERSIONS = 4


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionDeclared:
    """A version was declared.

    Parameters
    ----------
    version : int
    at : float
        Time of the declaration, as far as this host knows.
    is_dated : bool, default=True
        False if that time is unknown; ``at`` is then the time of receipt.
    """

    version: int
    at: float
    is_dated: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineObserved:
    """The engine's state was observed.

    Parameters
    ----------
    version : int or None
        None if the engine holds no layers.
    is_complete : bool
        Whether the engine holds all layers.
    busy : bool
        Whether an order is in progress.
    """

    version: int | None
    is_complete: bool
    busy: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineRestarted:
    """The engine has restarted: it holds no layers and no order is in progress."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PiecesComplete:
    """All pieces of a version are held and verified."""

    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class InstallEnded:
    """An attempt to install a version ended, successfully or not."""

    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PositionAssigned:
    """This host was assigned a position among the hosts of its failure domain.

    Hosts at different positions load a new version at different times; see
    ``order_time``.

    Parameters
    ----------
    position : int
        Zero-based position.
    """

    position: int


@dataclass(slots=True, kw_only=True, frozen=True)
class StartTransfer:
    """Fetch the pieces of a version; lower priority values go first."""

    version: int
    priority: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelTransfer:
    """Stop fetching the pieces of a version."""

    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Install:
    """Stage a version and order the engine to load it."""

    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Retire:
    """Make the engine refuse requests on a version; those that run end first."""

    version: int


@MACHINES.register("upgrade")
class Upgrade(Machine):
    """Plans the versions of one engine.

    Parameters
    ----------
    transfer_time : float, default=5.7
        Seconds until all hosts hold all pieces of a version.
    version_bound : float, default=8.0
        Seconds after a declaration from which no request may start on older versions.
    """

    __slots__ = (
        "transfer_time",
        "version_bound",
        "_declared",
        "_received_at_by_version",
        "_missed_at_by_version",
        "_priority_by_version",
        "_engine",
        "_installing",
        "_position",
        "_complete_at_by_version",
        "_retired_version",
        "_retired_at",
    )
    PARAMS = {
        "transfer_time": Bounds(kind=(int, float), low=0),
        "version_bound": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, transfer_time=5.7, version_bound=8.0):
        self.transfer_time = transfer_time
        self.version_bound = version_bound
        self._declared = []
        self._received_at_by_version = {}
        self._missed_at_by_version = {}
        self._priority_by_version = {}
        self._engine = EngineObserved(version=None, is_complete=False, busy=True)
        self._installing = None
        self._position = 0
        self._complete_at_by_version = {}
        self._retired_version = 0
        self._retired_at = float("-inf")

    def on_version_declared(self, message, *, now):
        """Record a newer declared version, or another time for a recorded one.

        Several entry hosts report the same declaration. A host that has just started
        does not know the time of the declaration, and one that was disconnected knows
        only bounds of it. A known time comes from the bounds that all reports together
        prove; so the newest one counts, be it earlier or later.

        An older version that this host has missed is not fetched, but the weights
        before it expire by its time.
        """
        if self._declared and message.version <= self._declared[-1].version:
            self._received_at_by_version.setdefault(message.version, now)
            self._update_date(message)
            return []
        self._declared.append(message)
        self._received_at_by_version[message.version] = now
        del self._declared[:-MAX_DECLARED_VERSIONS]
        for by_version in self._received_at_by_version, self._missed_at_by_version:
            for version in sorted(by_version)[:-MAX_DECLARED_VERSIONS]:
                del by_version[version]
        return self._plan(now)

    def on_engine_observed(self, message, *, now):
        """Update the engine's state.

        While the engine loads weights, it holds none or some of the layers. The
        versions to fetch are then still chosen by what it held before.
        """
        if message.busy:
            message = EngineObserved(
                version=self._engine.version,
                is_complete=self._engine.is_complete,
                busy=True,
            )
        self._engine = message
        return self._plan(now)

    def on_engine_restarted(self, message, *, now):
        """Clear the engine's state until the next observation."""
        self._engine = EngineObserved(version=None, is_complete=False, busy=True)
        return self._plan(now)

    def on_pieces_complete(self, message, *, now):
        """Record that all pieces of a version are held."""
        self._complete_at_by_version.setdefault(message.version, now)
        return self._plan(now)

    def on_install_ended(self, message, *, now):
        """Clear the install in progress and plan the next one."""
        self._installing = None
        return self._plan(now)

    def on_position_assigned(self, message, *, now):
        """Set this host's position in its failure domain."""
        self._position = message.position
        return []

    def is_order_valid(self, version, *, now):
        """Return whether the engine may still be ordered to load a version.

        Parameters
        ----------
        version : int
        now : float

        Returns
        -------
        bool
            False if another version has superseded it, or it has expired.
        """
        current = self._engine.version or 0
        is_held = version <= current and self._engine.is_complete
        is_wanted = version in self.targets() and not is_held
        return is_wanted and not self._is_expired(version, now)

    def next_version(self):
        """Return the newest declared version, or None."""
        return self._declared[-1].version if self._declared else None

    def is_dated(self, version):
        """Return whether the time of a version's declaration is known."""
        return version in self._missed_at_by_version or any(
            item.version == version and item.is_dated for item in self._declared
        )

    def ready_at(self, now):
        """Return the time at which the newest version is expected to be in use.

        None if no version is declared, or if the newest one is already in use.
        """
        if not self._declared:
            return None
        newest = self._declared[-1]
        if self._engine.version == newest.version and self._engine.is_complete:
            return None
        if newest.version in self._complete_at_by_version:
            return now + SWITCH_TIME
        return max(now + SWITCH_TIME, newest.at + self.transfer_time + SWITCH_TIME)

    def targets(self):
        """Return the versions to fetch or keep, in order of priority.

        Returns
        -------
        list of int
        """
        current = self._engine.version or 0
        kept = []
        for index, declared in enumerate(self._declared):
            if declared.version < max(current, self._retired_version + 1):
                continue
            if declared.version == current and self._engine.is_complete:
                # Kept for hosts that don't hold it yet.
                kept.append(declared.version)
                continue
            last = index == len(self._declared) - 1
            if last or not self._is_superseded(index):
                kept.append(declared.version)
        return kept

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "named": [
                [item.version, round(now - item.at, 3)] for item in self._declared
            ],
            "held": sorted(self._complete_at_by_version),
            "wanted": dict(self._priority_by_version),
            "engine": [
                self._engine.version,
                self._engine.is_complete,
                self._engine.busy,
            ],
            "installing": self._installing,
        }

    def _update_date(self, message):
        if not message.is_dated:
            return
        recorded = {item.version: index for index, item in enumerate(self._declared)}
        index = recorded.get(message.version)
        if index is None:
            self._missed_at_by_version[message.version] = message.at
            return
        if message.at > self._received_at_by_version[message.version]:
            # A declaration cannot be later than its first receipt. Such a time comes
            # from a host that reconnected to the platform later than others and takes
            # the time of reconnection for that of the declaration. Used here, it would
            # delay the order until the old weights have expired.
            return
        self._declared[index] = message

    def _is_superseded(self, index):
        declared, successor = self._declared[index], self._declared[index + 1]
        if declared.version in self._complete_at_by_version:
            return False
        if self._engine.version is None:
            # The engine serves nothing, and the next version would arrive as soon as
            # this one.
            return True
        return successor.at - declared.at < SUPERSEDE_WINDOW_SHARE * self.transfer_time

    def _plan(self, now):
        outcomes = []
        wanted = {version: index for index, version in enumerate(self.targets())}
        for version in list(self._priority_by_version):
            if version not in wanted:
                del self._priority_by_version[version]
                outcomes.append(CancelTransfer(version=version))
        for version, priority in wanted.items():
            if version not in self._priority_by_version:
                outcomes.append(StartTransfer(version=version, priority=priority))
            self._priority_by_version[version] = priority
        version = self._next_install(now)
        if version is not None:
            self._installing = version
            outcomes.append(Install(version=version))
        elif self._is_retirement_due(now):
            self._retired_version = self._engine.version
            self._retired_at = now
            outcomes.append(Retire(version=self._engine.version))
        return outcomes

    def _next_install(self, now):
        if self._installing is not None or self._engine.busy:
            return None
        current = self._engine.version or 0
        ready = [
            item
            for item in self._declared
            if item.version in self._complete_at_by_version
            and (item.version > current or not self._engine.is_complete)
            and not self._is_expired(item.version, now)
        ]
        if not ready:
            return None
        chosen = ready[-1]
        if chosen is not self._declared[-1] and self._newest_arrives_in_time(chosen):
            return None
        if now < self._install_time(chosen):
            return None
        return chosen.version

    def _is_expired(self, held_version, now):
        """Return whether requests may no longer start on a version's weights."""
        for declared in self._declared:
            if declared.version > held_version:
                return now >= declared.at + self.version_bound - EXPIRY_MARGIN
        return False

    def _is_retirement_due(self, now):
        """Return whether the engine has to refuse requests, as its weights expire.

        An engine that is carrying out an order accepts none in any case.
        """
        engine = self._engine
        if engine.busy or not engine.is_complete:
            return False
        retire_at = self._retire_at(engine.version)
        if retire_at is None or now < retire_at:
            return False
        is_recent = now < retire_at + RETIRE_TIME
        return is_recent or now >= self._retired_at + RETIRE_INTERVAL

    def _retire_at(self, held_version):
        """Return the time from which an engine has to refuse requests, or None.

        Without a known time of the declaration, this is when the weights have expired
        for certain: a version was declared before it was received.
        """
        at_by_version = self._missed_at_by_version | {
            item.version: item.at for item in self._declared if item.is_dated
        }
        retire_times = []
        for version, received_at in self._received_at_by_version.items():
            if version <= held_version:
                continue
            retire_times.append(received_at + self.version_bound)
            if version in at_by_version:
                expires_at = at_by_version[version] + self.version_bound
                had_expired = expires_at <= received_at
                retire_times.append(
                    received_at + RETIRE_DELAY
                    if had_expired
                    else expires_at - RETIRE_MARGIN
                )
        return min(retire_times, default=None)

    def _newest_arrives_in_time(self, chosen):
        """Return whether the newest version is usable before the engine's expires."""
        usable_at = self._declared[-1].at + self.transfer_time + SWITCH_TIME
        return self._engine.is_complete and usable_at < chosen.at + self.version_bound

    def _install_time(self, chosen):
        complete_at = self._complete_at_by_version[chosen.version]
        if not self._engine.is_complete:
            return complete_at
        expires_at = min(
            declared.at + self.version_bound
            for declared in self._declared
            if declared.version > self._engine.version
        )
        return order_time(
            complete_at=complete_at, expires_at=expires_at, position=self._position
        )
