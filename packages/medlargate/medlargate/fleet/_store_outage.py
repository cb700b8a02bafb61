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
    last_outage : tuple of (float, float) or None
        Begin and end of the last outage, in seconds; None before the first.
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
    last_outage: tuple[float, float] | None = None

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
        if (
            self.last_outage is not None
            and self.last_outage[0] < answered_at < self.last_outage[1]
        ):
            self._shorten_last_outage(answered_at)
        if self.began_at is None or answered_at < self.began_at:
            return
        if self._is_outage(answered_at):
            self.last_outage = (self.began_at, answered_at)
        self.began_at, self.n_failures = None, 0

    def _shorten_last_outage(self, answered_at: float) -> None:
        """Keep the longer part of the last outage if it is one by itself."""
        assert self.last_outage is not None
        parts = ((self.last_outage[0], answered_at), (answered_at, self.last_outage[1]))
        longest = max(parts, key=lambda part: part[1] - part[0])
        self.last_outage = longest if longest[1] - longest[0] >= MIN_OUTAGE else None

    def may_have_expired(self, now: float) -> bool:
        """Return whether an outage may have let registrations of live servers expire.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if self._is_outage(now):
            return True
        return (
            self.last_outage is not None
            and now - self.last_outage[1] < LAPSE_DETECTION_WINDOW
        )

    def _is_outage(self, now: float) -> bool:
        if self.began_at is None:
            return False
        duration = now - self.began_at
        return duration >= MIN_SILENT_OUTAGE or (
            duration >= MIN_OUTAGE and self.n_failures >= MIN_FAILURES
        )
