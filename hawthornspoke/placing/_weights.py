"""Which versions of a model may answer."""

#: Declarations of one model that are remembered; older ones bind no longer than
#: the newest of them does.
KEPT = 4

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

    def add(self, declared, *, at):
        """Take a declaration; one that is known or older changes nothing but its time.

        Parameters
        ----------
        declared : DeclaredWeights
        at : float
            A moment before which it was not declared, ``UNKNOWN`` if there is none.

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._declared_by_model.setdefault(declared.model, [])
        if known and known[-1].version >= declared.version:
            if known[-1].version == declared.version:
                known[-1].at = max(known[-1].at, at)
            return False
        known.append(_Declared(version=declared.version, at=at))
        del known[:-KEPT]
        return True

    def hear(self, model, version, *, at):
        """Take an agent's word of when a version was declared.

        Agents hear of a declaration after it was made, so the earliest word is best.

        Parameters
        ----------
        model : str
        version : int
        at : float
        """
        for item in self._declared_by_model.get(model, ()):
            if item.version != version:
                continue
            if item.heard_at == UNKNOWN or at < item.heard_at:
                item.heard_at = at

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
