"""Tells an outage of the store from calls that fail while others are answered."""

from __future__ import annotations

from dataclasses import dataclass

# A server's registration outlives three intervals of its renewal, so that an outage
# lets none of a live server expire unless it lasts for more than one. Shorter gaps
# between a failed call and the next answer are failures of single calls.
MIN_OUTAGE = 0.75  # seconds
MIN_FAILURES = 3  # failed calls in an outage
# Calls without an answer fail so late that there are few in an outage.
MIN_SILENT_OUTAGE = 1.5  # seconds
# A registration that disappears within this time after an outage may have expired
# instead of being deleted. The window is shorter than the time after which the store
# counts as stable again.
LAPSE_DETECTION_WINDOW = 2.5  # seconds
NO_OUTAGE = (float("-inf"), float("-inf"))


@dataclass(slots=True)
class StoreOutage:
    """Time for which no node has had an answer from the store.

    Answers that peers have received count like those to this node: a node whose own
    calls fail, or that is short of processor time, sees no outage while others are
    answered.

    Attributes
    ----------
    began_at : float or None
        When the first of the calls that failed since the last answer was sent, in
        seconds; None while the last call was answered.
    answered_at : float
        Time of the last answer, in seconds.
    last_outage : tuple of (float, float)
        Begin and end of the last outage, in seconds; minus infinity before the first.
    n_failures : int
        Calls that failed since the last answer.

    Examples
    --------
    >>> outage = StoreOutage()
    >>> outage.observe_failure(sent_at=10.0)
    >>> outage.observe_answer(11.0)
    >>> outage.may_have_expired(11.1)
    False
    >>> for sent_at in (12.0, 12.2, 12.4):
    ...     outage.observe_failure(sent_at=sent_at)
    >>> outage.observe_answer(13.0)
    >>> outage.may_have_expired(13.5), outage.may_have_expired(16.0)
    (True, False)
    >>> outage.observe_answer(12.6)  # to a peer, which says so later
    >>> outage.may_have_expired(13.5)
    False
    """

    began_at: float | None = None
    n_failures: int = 0
    answered_at: float = float("-inf")
    last_outage: tuple[float, float] = NO_OUTAGE

    def observe_failure(self, *, sent_at: float) -> None:
        """Record a call that failed.

        Parameters
        ----------
        sent_at : float
            When the call was sent, in seconds.
        """
        # An answer to another call that was sent in the meantime excludes an outage.
        sent_at = max(sent_at, self.answered_at)
        if self.began_at is None:
            self.began_at = sent_at
        self.n_failures += 1

    def observe_answer(self, answered_at: float) -> None:
        """Record an answer of the store to this node or to a peer.

        Parameters
        ----------
        answered_at : float
            Time of the answer, in seconds. A peer reports it some time later.
        """
        self.answered_at = max(self.answered_at, answered_at)
        start, end = self.last_outage
        if start < answered_at < end:
            # The longer part is left if it is an outage by itself.
            parts = ((start, answered_at), (answered_at, end))
            start, end = max(parts, key=lambda part: part[1] - part[0])
            self.last_outage = (start, end) if end - start >= MIN_OUTAGE else NO_OUTAGE
        if self.began_at is None or answered_at < self.began_at:
            return
        if self._is_outage(answered_at):
            self.last_outage = (self.began_at, answered_at)
        self.began_at, self.n_failures = None, 0

    def may_have_expired(self, now: float) -> bool:
        """Return whether an outage may have let registrations of live servers expire.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        ended_at = self.last_outage[1]
        return self._is_outage(now) or now - ended_at < LAPSE_DETECTION_WINDOW

    def _is_outage(self, now: float) -> bool:
        if self.began_at is None:
            return False
        duration = now - self.began_at
        return duration >= MIN_SILENT_OUTAGE or (
            duration >= MIN_OUTAGE and self.n_failures >= MIN_FAILURES
        )
