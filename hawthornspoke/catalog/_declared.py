"""Declared weight versions, and until when requests may start on older ones."""

import contextlib

from hawthornspoke.base import boottime_clock
from hawthornspoke.catalog._declaration import (
    UNKNOWN_TIME,
    Declaration,
    DeclarationBounds,
)

#: Declarations kept per model. Older ones have no effect once requests may start only
#: on the newest version.
MAX_DECLARATIONS = 4

#: Version of the weights before any is declared.
FIRST_VERSION = 1

#: A version expires when no request may start on it any more. From this many seconds
#: before, newer versions are preferred and it is no longer loaded. A request starts
#: running some time after it is sent: up to 0.84 s were measured, 0.18 s of them on a
#: link saturated by transfers of weights and the rest in the engine.
EXPIRY_MARGIN = 0.95

#: Seconds by which a lower bound must rise to be reported again. Agents report it to
#: the millisecond, and several times a second.
MIN_REPORTED_CHANGE = 0.02


class DeclaredVersions:
    """Declared versions by model, with the earliest possible time of each declaration.

    A declared version becomes mandatory a fixed time after its declaration was
    accepted: from then on, no request may start on older versions. A process that
    counted from when it learned of the declaration would extend this time by the
    propagation delay, and after a restart by its whole length. So each declaration has
    a lower bound of its time, and one whose time is unknown is mandatory at once.

    Parameters
    ----------
    on_dated : callable or None, default=None
        Called with a model, a version, the new and the former time to go by and the
        source of the new one, when that time has become later.
    """

    __slots__ = (
        "on_dated",
        "_declared_by_model",
        "_unaware_by_model",
        "_aware_by_model",
    )

    def __init__(self, *, on_dated=None):
        self.on_dated = on_dated
        self._declared_by_model = {}
        self._unaware_by_model = {}
        self._aware_by_model = {}

    def add(
        self,
        declared,
        *,
        earliest,
        latest=float("inf"),
        known_until=UNKNOWN_TIME,
        outage_ended_at=UNKNOWN_TIME,
        source="table",
    ):
        """Add a declaration from the platform.

        For a known version only the time is updated; an older version is ignored.

        A process that was disconnected may have missed a declaration before this one.
        Versions older than the missed one expire a fixed time after its declaration,
        and so sooner than this declaration implies: a host that started 1 s after the
        second of two declarations sent requests to weights older than both, 3.6 s after
        they had expired. So the previous version is assumed to have been declared as
        well, at the earliest possible time.

        Parameters
        ----------
        declared : DeclaredWeights
        earliest : float
            Proven lower bound of the time of the declaration, ``UNKNOWN_TIME`` if there
            is none.
        latest : float, default=inf
            Proven upper bound, such as the time at which a report of the declaration
            was received.
        known_until : float, default=UNKNOWN_TIME
            Time up to which this process knew of all declarations.
        outage_ended_at : float, default=UNKNOWN_TIME
            End of an outage within which this process may have missed the declaration.
        source : str, default="table"
            Where the times are from, for ``on_dated``.

        Returns
        -------
        bool
            Whether the declaration was new.
        """
        declarations = self._declared_by_model.setdefault(declared.model, [])
        last = max(
            (item.version for item in declarations if item.is_from_platform), default=0
        )
        if declared.version < max(last, FIRST_VERSION):
            return False
        item = _find(declarations, declared.version)
        is_new = item is None or not item.is_from_platform
        if is_new:
            previous = max(
                (
                    other.version
                    for other in declarations
                    if other.version < declared.version
                ),
                default=FIRST_VERSION - 1,
            )
            if previous < declared.version - 1:
                missed = Declaration(
                    version=declared.version - 1, is_from_platform=True
                )
                _insert(declarations, missed)
                with self._reporting(declared.model, missed, "missed"):
                    missed.assume(outage_ended_at)
                    missed.add_bounds(
                        earliest=min(earliest, known_until), latest=latest
                    )
        if item is None:
            item = Declaration(version=declared.version, is_from_platform=True)
            _insert(declarations, item)
        item.is_from_platform = True
        with self._reporting(declared.model, item, source):
            item.assume(outage_ended_at)
            item.add_bounds(earliest=earliest, latest=latest)
        return is_new

    def add_bounds(self, model, bounds, *, source="agent"):
        """Add proven bounds on the time at which a version was declared.

        A version that only agents have reported so far becomes mandatory as well. A
        host whose calls the platform rejects would otherwise send requests to outdated
        weights until its calls succeed again, and then assume that the version was
        declared only at that time, 8.5 s too late in a test.

        Parameters
        ----------
        model : str
        bounds : DeclarationBounds
        source : str, default="agent"
            Where the bounds are from, for ``on_dated``.
        """
        declarations = self._declared_by_model.setdefault(model, [])
        item = _find(declarations, bounds.version)
        if item is None:
            item = Declaration(version=bounds.version, is_from_platform=False)
            _insert(declarations, item)
        with self._reporting(model, item, source):
            item.add_bounds(earliest=bounds.earliest, latest=bounds.latest)

    def add_report(self, model, newest_version, *, made_at, received_at, is_remote):
        """Record which version was the newest that an agent knew at a time.

        A host that can't read the platform can't tell whether others can. Agents hear
        from all entry hosts; as long as those of other failure domains don't know of a
        version, no host in reach has read its declaration.

        Parameters
        ----------
        model : str
        newest_version : int
        made_at : float
            Lower bound of the time at which the agent made its report, in seconds of
            ``boottime_clock``.
        received_at : float
            Upper bound of that time, at which the agent knew of the version.
        is_remote : bool
            Whether the agent is in another failure domain than this process.
        """
        aware = self._aware_by_model.setdefault(model, {})
        aware[newest_version] = min(aware.get(newest_version, received_at), received_at)
        _keep_newest(aware)
        made_at_by_version = self._unaware_by_model.setdefault(model, {}).setdefault(
            is_remote, {}
        )
        known = made_at_by_version.get(newest_version, UNKNOWN_TIME)
        made_at_by_version[newest_version] = max(known, made_at)
        _keep_newest(made_at_by_version)

    def declared_versions(self, model, *, declared_after):
        """Return the versions that are proven to be declared after a given time.

        Parameters
        ----------
        model : str
        declared_after : float
            Earliest time of the returned declarations.

        Returns
        -------
        list of DeclarationBounds
            Versions without a proven lower bound are omitted.
        """
        return [
            item.bounds()
            for item in self._declared_by_model.get(model, ())
            if item.earliest >= declared_after and item.earliest != UNKNOWN_TIME
        ]

    def versions_from_platform(self, model):
        """Return the versions that the platform reported, the oldest first.

        Parameters
        ----------
        model : str

        Returns
        -------
        list of (int, float)
            Version and the time of its declaration to go by.
        """
        return [
            (item.version, self._lower_bound(model, item))
            for item in self._from_platform(model)
        ]

    def latest_version(self, model):
        """Return the newest version reported by the platform, None if there is none."""
        from_platform = self._from_platform(model)
        return from_platform[-1].version if from_platform else None

    def bounds(self, model, version):
        """Return the proven bounds of a declaration.

        Parameters
        ----------
        model : str
        version : int or None

        Returns
        -------
        DeclarationBounds
            Without bounds if the version is not known.
        """
        item = _find(self._declared_by_model.get(model, ()), version)
        if item is None:
            return DeclarationBounds(version=version)
        return item.bounds()

    def expires_at(self, model, version, *, bound):
        """Return the time from which no request may start on a version.

        Parameters
        ----------
        model : str
        version : int
        bound : float
            Seconds after a declaration during which requests may start on older
            versions.

        Returns
        -------
        float or None
            None if no newer version is declared.
        """
        deadlines = [
            self._lower_bound(model, item) + bound
            for item in self._declared_by_model.get(model, ())
            if item.version > version
        ]
        return min(deadlines, default=None)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            model: [
                {
                    "version": item.version,
                    "age": declaration_age(self._lower_bound(model, item), now),
                    "max_age": declaration_age(item.earliest, now),
                    "min_age": (
                        None
                        if item.latest == float("inf")
                        else round(now - item.latest, 3)
                    ),
                }
                for item in declarations
            ]
            for model, declarations in self._declared_by_model.items()
        }

    def _lower_bound(self, model, item):
        if item.outage_ended_at == UNKNOWN_TIME:
            return item.earliest
        unaware_until = min(
            self._unaware_until(model, item.version),
            self._aware_from(model, item.version),
        )
        return item.lower_bound(unaware_until)

    def _unaware_until(self, model, version):
        """Return until when agents are known not to have heard of a version.

        Agents of this host's own failure domain may have been cut off with it, so they
        count only where there are no others.
        """
        reports = self._unaware_by_model.get(model, {})
        made_at_by_version = reports.get(True) or reports.get(False) or {}
        return max(
            (at for known, at in made_at_by_version.items() if known < version),
            default=UNKNOWN_TIME,
        )

    def _aware_from(self, model, version):
        """Return when an agent is first known to have heard of a version."""
        received_at_by_version = self._aware_by_model.get(model, {})
        return min(
            (at for known, at in received_at_by_version.items() if known >= version),
            default=float("inf"),
        )

    @contextlib.contextmanager
    def _reporting(self, model, item, source):
        before = self._lower_bound(model, item)
        yield
        now = self._lower_bound(model, item)
        if self.on_dated and now > before + MIN_REPORTED_CHANGE:
            self.on_dated(model, item.version, now, before, source)

    def _from_platform(self, model):
        return [
            item
            for item in self._declared_by_model.get(model, ())
            if item.is_from_platform
        ]


def _insert(declarations, item):
    """Add a declaration in order of versions, and drop the oldest of too many."""
    declarations.append(item)
    declarations.sort(key=lambda other: other.version)
    del declarations[:-MAX_DECLARATIONS]


def _keep_newest(item_by_version):
    """Drop the items of the oldest of too many versions."""
    for version in sorted(item_by_version)[:-MAX_DECLARATIONS]:
        del item_by_version[version]


def _find(declarations, version):
    return next((item for item in declarations if item.version == version), None)


def newest_version_by_model(declared):
    """Return the newest of some declared versions, by model.

    Parameters
    ----------
    declared : iterable of DeclaredWeights

    Returns
    -------
    dict of str to int
    """
    version_by_model = {}
    for item in declared:
        newest = version_by_model.get(item.model, 0)
        version_by_model[item.model] = max(newest, item.version)
    return version_by_model


def declaration_age(declared_at, now):
    """Return the age of a declaration in seconds, None if it is unknown."""
    return None if declared_at == UNKNOWN_TIME else round(now - declared_at, 3)


def declaration_date_logger(log):
    """Return a callable for ``DeclaredVersions.on_dated`` that logs each new bound.

    Parameters
    ----------
    log : EventLog

    Returns
    -------
    callable
    """

    def log_date(model, version, at, before, source):
        log.change(
            "declaration_dated",
            model=model,
            version=version,
            age=declaration_age(at, boottime_clock()),
            later_by=None if before == UNKNOWN_TIME else round(at - before, 3),
            source=source,
        )

    return log_date
