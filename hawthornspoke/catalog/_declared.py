"""Which versions of a model may answer."""

#: Declarations of one model that are remembered; older ones bind no longer than
#: the newest of them does.
KEPT = 4

#: Version of weights before any is declared.
FIRST_VERSION = 1

#: The moment of a declaration of which nothing is known but that it was made.
UNKNOWN = float("-inf")


class _Declared:
    """A declared version.

    ``at`` is a moment before which it was not declared, ``heard_at`` the same by
    the word of agents, which is used while the platform's own is unknown.
    """

    __slots__ = ("version", "at", "heard_at")

    def __init__(self, *, version, at):
        self.version = version
        self.at = at
        self.heard_at = UNKNOWN

    @property
    def since(self):
        return self.at if self.at != UNKNOWN else self.heard_at


class DeclaredVersions:
    """Declared versions by model, and the earliest moment of each declaration.

    A version binds a fixed time after its declaration was accepted. A process that
    counts from the moment at which it learns of one grants itself the time that the
    news took, and all of it anew when it starts again. So each declaration has a
    moment before which it can't have been made, and one whose moment is unknown
    binds at once.
    """

    __slots__ = ("_declared_by_model",)

    def __init__(self):
        self._declared_by_model = {}

    def add(self, declared, *, at, known_until=UNKNOWN):
        """Take a declaration; one that is known or older changes nothing but its time.

        A process that was away may have missed a version in between, and what is
        older than that one is too old sooner than the newest declaration tells: a
        host that started 1 s after the second of two sent requests to weights that
        both had replaced, 3.6 s beyond their bound. So the version before it is
        taken to have been declared as well, at the earliest possible moment.

        Parameters
        ----------
        declared : DeclaredWeights
        at : float
            A moment before which it was not declared, ``UNKNOWN`` if there is none.
        known_until : float, default=UNKNOWN
            A moment until which all declarations were known.

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._declared_by_model.setdefault(declared.model, [])
        last = known[-1].version if known else FIRST_VERSION - 1
        if last >= declared.version:
            if known and last == declared.version:
                known[-1].at = max(known[-1].at, at)
            return False
        if last < declared.version - 1:
            missed_at = min(at, known_until)
            known.append(_Declared(version=declared.version - 1, at=missed_at))
        known.append(_Declared(version=declared.version, at=at))
        del known[:-KEPT]
        return True

    def hear(self, model, version, *, at):
        """Take an agent's word of a moment before which a version was not declared.

        Each agent's word is such a moment, so the latest tells most: that of a host
        which was cut off for long is true as well, and of no use.

        Parameters
        ----------
        model : str
        version : int
        at : float
        """
        for item in self._declared_by_model.get(model, ()):
            if item.version == version:
                item.heard_at = max(item.heard_at, at)

    def dated(self, model, *, youngest):
        """Return the versions that were declared after a moment.

        Parameters
        ----------
        model : str
        youngest : float

        Returns
        -------
        list of (int, float)
            Version and moment; those of unknown age are left out.
        """
        return [
            (item.version, item.since)
            for item in self._declared_by_model.get(model, ())
            if item.since >= youngest and item.since != UNKNOWN
        ]

    def latest(self, model):
        """Return the newest declared version, None if there is none."""
        known = self._declared_by_model.get(model)
        return known[-1].version if known else None

    def since(self, model):
        """Return the moment of the newest declaration, ``UNKNOWN`` if it is."""
        known = self._declared_by_model.get(model)
        return known[-1].since if known else UNKNOWN

    def floor(self, model, *, bound, now):
        """Return the oldest version that may begin to answer.

        Parameters
        ----------
        model : str
        bound : float
            Seconds after a declaration from which older ones may not.
        now : float

        Returns
        -------
        int
            0 if every version may.
        """
        floor = 0
        for item in self._declared_by_model.get(model, ()):
            if now >= item.since + bound:
                floor = item.version
        return floor

    def too_old_at(self, model, version, *, bound):
        """Return from when a version may no longer begin to answer.

        Parameters
        ----------
        model : str
        version : int
        bound : float

        Returns
        -------
        float or None
            None if no newer one is declared.
        """
        newer = [
            item.since + bound
            for item in self._declared_by_model.get(model, ())
            if item.version > version
        ]
        return min(newer, default=None)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            model: [
                {"version": item.version, "age": age_of(item.since, now)}
                for item in known
            ]
            for model, known in self._declared_by_model.items()
        }


def age_of(moment, now):
    """Return the age of a declaration in seconds, None if it is unknown."""
    return None if moment == UNKNOWN else round(now - moment, 3)
