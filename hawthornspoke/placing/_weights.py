"""Which versions of a model may answer."""

#: Declarations of one model that are remembered; older ones bind no longer than
#: the newest of them does.
KEPT = 4


class DeclaredVersions:
    """Declared versions by model, and when this process learned of each."""

    __slots__ = ("_declared_by_model",)

    def __init__(self):
        self._declared_by_model = {}

    def add(self, declared, *, at):
        """Take a declaration; one that is known or older changes nothing.

        Parameters
        ----------
        declared : DeclaredWeights
        at : float

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._declared_by_model.setdefault(declared.model, [])
        if known and known[-1][0] >= declared.version:
            return False
        known.append((declared.version, at))
        del known[:-KEPT]
        return True

    def latest(self, model):
        """Return the newest declared version, None if there is none."""
        known = self._declared_by_model.get(model)
        return known[-1][0] if known else None

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
        for version, at in self._declared_by_model.get(model, ()):
            if now >= at + bound:
                floor = version
        return floor

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            model: [
                {"version": version, "age": round(now - at, 3)} for version, at in known
            ]
            for model, known in self._declared_by_model.items()
        }
