"""Which requests a node may still send to servers while it stops.

Load pattern: a planned stop under load. Callers keep connections open and send their
next request on them, requests wait for a server, and answers take longer than the
grace period.

The load balancer needs some time to remove the node. A request that comes at the end of
this time or later, or that still waits by then, is sent to a server only if its
deadline is within the grace period: any other could be cut off after it has run. Its
caller is told at once that it was not run, and finds another node.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop, in seconds on the node's clock.

    Attributes
    ----------
    admission_ends_at : float
        When requests that may outlast the grace period are no longer sent.
    answers_end_at : float
        When each request has its final answer.
    """

    admission_ends_at: float
    answers_end_at: float

    def may_send(self, *, deadline: float, now: float) -> bool:
        """Return whether a request may be sent to a server for the first time.

        Parameters
        ----------
        deadline : float
            Time after which an answer to the request is useless.
        now : float
            Current time.
        """
        return now < self.admission_ends_at or deadline <= self.answers_end_at
