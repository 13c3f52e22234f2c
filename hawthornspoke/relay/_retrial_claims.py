"""Claims for requests that test whether a feature crashes endpoints."""

import asyncio

#: Seconds between two claims for a retrial of the same feature.
CLAIM_PAUSE = 0.5


class RetrialClaims:
    """Claims retrials and turns from agents, one at a time for each feature.

    Parameters
    ----------
    sharing : EvidenceSharing
    on_granted : callable
        Called with a RetrialGranted.
    metrics : Metrics
    """

    __slots__ = ("_sharing", "_on_granted", "_metrics", "_task_by_feature")

    def __init__(self, *, sharing, on_granted, metrics):
        self._sharing = sharing
        self._on_granted = on_granted
        self._metrics = metrics
        self._task_by_feature = {}

    def claim(self, features):
        """Claim retrials of some features, for the next request that has them.

        Parameters
        ----------
        features : iterable of str

        Returns
        -------
        list of Future
            Of the claims that begin now, done once an agent has decided.
        """
        return [
            self._begin(feature)
            for feature in features
            if feature not in self._task_by_feature
        ]

    def close(self):
        """Cancel all claims."""
        for task in self._task_by_feature.values():
            task.cancel()

    def _begin(self, feature):
        loop = asyncio.get_running_loop()
        decided = loop.create_future()
        self._task_by_feature[feature] = loop.create_task(self._claim(feature, decided))
        return decided

    async def _claim(self, feature, decided):
        try:
            granted = await self._sharing.claim_retrial(feature)
            if granted is not None:
                self._on_granted(granted)
            outcome = "denied" if granted is None else "granted"
            self._metrics.count("retrial_claims_total", outcome=outcome)
            _finish(decided)
            await asyncio.sleep(CLAIM_PAUSE)
        finally:
            _finish(decided)
            del self._task_by_feature[feature]


def _finish(future):
    if not future.done():
        future.set_result(None)
