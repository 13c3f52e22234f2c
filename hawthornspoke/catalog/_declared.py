"""Which versions of a model may answer."""

#: Declarations of one model that are remembered; older ones bind no longer than
#: the newest of them does.
KEPT = 4

#: Version of weights before any is declared.
FIRST_VERSION = 1

#: The moment of a declaration of which nothing is known but that it was made.
UNKNOWN = float("-inf")

#: Seconds before a bound from which older weights come second to newer ones, and from
#: which none are taken up that end then. A request that is sent begins later: 0.84 s
#: were seen, 0.18 s of them on a link full of pieces and the rest in the engine.
SEND_MARGIN = 0.95


class _Declared:
    """A declared version.

    ``since`` is a moment before which it was not declared, by the platform's word or
    that of agents; ``made_by`` is a moment at which it was, as somebody had heard of
    it. ``is_told`` is whether the platform told it, or agents only.
    """

    __slots__ = ("version", "since", "made_by", "is_told")

    def __init__(self, *, version, is_told):
        self.version = version
        self.since = UNKNOWN
        self.made_by = float("inf")
        self.is_told = is_told

    def date(self, at):
        # Of true moments the latest tells most, whoever told it: a host that the
        # platform did not answer for a while knows only an early one. One behind the
        # first word of the version is false: its sender stood still in between, or
        # took the platform to have been away for all.
        if at <= self.made_by:
            self.since = max(self.since, at)


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

    def add(self, declared, *, at, known_until=UNKNOWN, heard_by=float("inf")):
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
        heard_by : float, default=inf
            A moment at which this word of it was here.

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._declared_by_model.setdefault(declared.model, [])
        last = max((item.version for item in known if item.is_told), default=0)
        if declared.version < max(last, FIRST_VERSION):
            return False
        item = _find(known, declared.version)
        is_new = item is None or not item.is_told
        if item is None:
            before = max((other.version for other in known), default=FIRST_VERSION - 1)
            if before < declared.version - 1:
                missed = _Declared(version=declared.version - 1, is_told=True)
                missed.date(min(at, known_until))
                known.append(missed)
            item = _Declared(version=declared.version, is_told=True)
            known.append(item)
            known.sort(key=lambda other: other.version)
            del known[:-KEPT]
        item.is_told = True
        item.date(at)
        item.made_by = min(item.made_by, heard_by)
        return is_new

    def hear(self, model, version, *, at, heard_by=float("inf")):
        """Take an agent's word of a moment before which a version was not declared.

        Each agent's word is such a moment, so the latest tells most: that of a host
        which was cut off for long is true as well, and of no use.

        A version that the platform has not told yet binds as well. A host that is
        turned away would otherwise send to old weights until it returns, and then
        date the version from its return, in a test 8.5 s too late.

        Parameters
        ----------
        model : str
        version : int
        at : float
        heard_by : float, default=inf
            A moment at which this word was here.
        """
        known = self._declared_by_model.setdefault(model, [])
        item = _find(known, version)
        if item is None:
            if known and version < known[-1].version:
                return
            item = _Declared(version=version, is_told=False)
            known.append(item)
            del known[:-KEPT]
        item.date(at)
        item.made_by = min(item.made_by, heard_by)

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
        """Return the newest version that the platform told, None if there is none."""
        newest = self._newest_told(model)
        return None if newest is None else newest.version

    def since(self, model):
        """Return the moment of that version's declaration, ``UNKNOWN`` if it is."""
        newest = self._newest_told(model)
        return UNKNOWN if newest is None else newest.since

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

    def _newest_told(self, model):
        told = [item for item in self._declared_by_model.get(model, ()) if item.is_told]
        return told[-1] if told else None

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            model: [
                {"version": item.version, "age": age_of(item.since, now)}
                for item in known
            ]
            for model, known in self._declared_by_model.items()
        }


def _find(known, version):
    return next((item for item in known if item.version == version), None)


def age_of(moment, now):
    """Return the age of a declaration in seconds, None if it is unknown."""
    return None if moment == UNKNOWN else round(now - moment, 3)
