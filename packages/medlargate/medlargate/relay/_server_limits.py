"""Request rates that backend servers limit in their answers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping
from copy import copy
from dataclasses import dataclass

from ..policy import TokenBucket, decide_rate

log = logging.getLogger(__name__)

SHARE_INTERVAL = 0.5  # seconds between two decisions on this node's share
LIFTED_LIFETIME = 30.0  # seconds for which peers are told that a limit was lifted
MAX_REPORTED = 200  # servers of which a node reports the limit to its peers


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Last known limit of a server.

    Attributes
    ----------
    max_rate : float or None
        Requests a second that the server accepts from all nodes together; None for
        no limit.
    observed_at : float
        Time on this node's clock, in seconds, at which a node learned it from the
        server.
    """

    max_rate: float | None
    observed_at: float


class ServerLimits:
    """Limits that servers state in their answers, and this node's share of them.

    Parameters
    ----------
    name : str
        Name of this node.
    clock : callable
        Returns the node's monotonic time in seconds.
    list_nodes : callable
        Returns the names of the live peers.
    is_registered : callable
        Returns whether a server is registered. A peer may still report the limit of a
        server that is gone.
    """

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        list_nodes: Callable[[], Collection[str]],
        is_registered: Callable[[str], bool],
    ) -> None:
        self._name = name
        self._clock = clock
        self._list_nodes = list_nodes
        self._is_registered = is_registered
        self._notices: dict[str, LimitNotice] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._shared_at: dict[str, float] = {}

    def observe_answer(
        self, server_id: str, max_rate: float | None, *, sent_at: float
    ) -> None:
        """Update a server's limit with an answer.

        An answer without a limit lifts it only if its request was sent after the limit
        had been learned, since answers on different connections may overtake each
        other.

        Parameters
        ----------
        server_id : str
            Server that answered.
        max_rate : float or None
            Limit in the answer, in requests a second; None if there is none.
        sent_at : float
            Time on the node's clock at which the request was sent, in seconds.
        """
        notice = self._notices.get(server_id)
        if max_rate is None and (notice is None or notice.observed_at >= sent_at):
            return
        self._store(server_id, LimitNotice(max_rate, self._clock()))

    def merge(self, limits: Mapping[str, tuple[float | None, float]]) -> None:
        """Take over the limits that a peer has learned more recently.

        Parameters
        ----------
        limits : mapping of str to (float or None, float)
            Limits and the seconds since they were learned, by server.
        """
        now = self._clock()
        for server_id, (max_rate, age) in limits.items():
            notice = self._notices.get(server_id)
            if notice is None or now - age > notice.observed_at:
                self._store(server_id, LimitNotice(max_rate, now - age))

    def snapshot(self) -> dict[str, tuple[float | None, float]]:
        """Return the known limits, and those lifted recently, with their ages."""
        now = self._clock()
        for server_id, notice in list(self._notices.items()):
            age = now - notice.observed_at
            if notice.max_rate is None and age > LIFTED_LIFETIME:
                del self._notices[server_id]
        rows = list(self._notices.items())[-MAX_REPORTED:]
        return {
            server_id: (notice.max_rate, round(now - notice.observed_at, 2))
            for server_id, notice in rows
        }

    def _store(self, server_id: str, notice: LimitNotice) -> None:
        if not self._is_registered(server_id):
            return
        before = self._notices.get(server_id)
        self._notices[server_id] = notice
        if notice.max_rate == (before.max_rate if before else None):
            return
        log.warning(
            "limit of a backend server changed",
            extra={"server": server_id, "max_rate": notice.max_rate},
        )
        if notice.max_rate is None:
            self._buckets.pop(server_id, None)
        self._shared_at.pop(server_id, None)

    def get_wait(self, server_id: str) -> float:
        """Return the time until this node may send a server a request, in seconds.

        Parameters
        ----------
        server_id : str
            Server to look up.

        Returns
        -------
        float
            0 without a limit; infinity if other nodes share the server's limit.
        """
        bucket = self._find_bucket(server_id)
        return bucket.compute_wait(self._clock()) if bucket is not None else 0.0

    def peek_wait(self, server_id: str) -> float:
        """Return the time of ``get_wait`` without updating this node's share."""
        notice = self._notices.get(server_id)
        if notice is None or notice.max_rate is None:
            return 0.0
        bucket = self._buckets.get(server_id)
        return copy(bucket).compute_wait(self._clock()) if bucket else float("inf")

    def get_rate(self, server_id: str) -> float:
        """Return the requests a second that this node may send to a server.

        Parameters
        ----------
        server_id : str
            Server to look up.

        Returns
        -------
        float
            Infinity without a limit; 0 if other nodes share the server's limit.
        """
        bucket = self._find_bucket(server_id)
        return bucket.rate if bucket is not None else float("inf")

    def peek_rate(self, server_id: str) -> float:
        """Return the rate of ``get_rate`` without updating this node's share."""
        notice = self._notices.get(server_id)
        if notice is None or notice.max_rate is None:
            return float("inf")
        bucket = self._buckets.get(server_id)
        return bucket.rate if bucket is not None else 0.0

    def _find_bucket(self, server_id: str) -> TokenBucket | None:
        """Return the bucket for a server's limit; None if it has none."""
        notice = self._notices.get(server_id)
        if notice is None or notice.max_rate is None:
            return None
        now = self._clock()
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = self._buckets[server_id] = TokenBucket(rate=0.0, updated_at=now)
        if now - self._shared_at.get(server_id, float("-inf")) > SHARE_INTERVAL:
            self._shared_at[server_id] = now
            rate = decide_rate(
                server_id,
                notice.max_rate,
                nodes=self._list_nodes(),
                name=self._name,
                notice_age=now - notice.observed_at,
            )
            if rate != bucket.rate:
                log.info(
                    "share of a server's limit changed",
                    extra={"server": server_id, "rate": round(rate, 3)},
                )
                bucket.set_rate(rate, now)
        return bucket

    def observe_send(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            bucket.spend(self._clock())

    def forget(self, server_id: str) -> None:
        """Forget the limit of a server that is gone."""
        self._notices.pop(server_id, None)
        self._buckets.pop(server_id, None)
        self._shared_at.pop(server_id, None)
