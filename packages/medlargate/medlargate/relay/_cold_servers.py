"""Cold servers, and this node's share of the rate at which they get requests."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping
from copy import copy

from .._tasks import call_logged
from ..fleet import ClusterState
from ..policy import TokenBucket, decide_cold_end, decide_cold_share
from ..routing import Registration, ServiceSpec

log = logging.getLogger(__name__)

SHARE_INTERVAL = 0.5  # seconds between two decisions on this node's share
MAX_REPORTED = 200  # cold servers of which a node tells its peers
# Transit of a status message makes a peer's remaining time look longer. Without a
# margin, two nodes would extend the time of a server for each other without end.
MAX_TRANSIT_TIME = 0.1  # seconds
MIN_EXTENSION = 0.25  # seconds by which a peer's statement must exceed what is known
# Bounds the effect of an incorrect statement; servers are cold for seconds.
MAX_COLD_TIME = 120.0  # seconds


class ColdServers:
    """Servers that are cold, by their own statements or by a recent start.

    Parameters
    ----------
    name : str
        Name of this node.
    cluster_state : ClusterState
        Services and registered servers.
    clock : callable
        Returns the node's monotonic time in seconds.
    wall_time : callable
        Returns the time of day in seconds since 1970.
    list_nodes : callable
        Returns the names of all known nodes, silent ones included.
    knows_nodes : callable
        Returns False while this node has just started and has heard no other node.
    overrun, slack : float
        A cold server must get fewer requests in any second than its rate times
        ``overrun``, plus ``slack``.
    registration_bound : float
        Seconds within which a changed registration is known. Servers of a domain whose
        evacuation has ended count as cold for this time, since the registration that
        says so may come later than the end of the evacuation.
    """

    def __init__(
        self,
        name: str,
        cluster_state: ClusterState,
        clock: Callable[[], float],
        wall_time: Callable[[], float],
        list_nodes: Callable[[], Collection[str]],
        knows_nodes: Callable[[], bool],
        *,
        overrun: float,
        slack: float,
        registration_bound: float,
    ) -> None:
        self._name = name
        self._cluster_state = cluster_state
        self._clock = clock
        self._wall_time = wall_time
        self._list_nodes = list_nodes
        self._knows_nodes = knows_nodes
        self._overrun = overrun
        self._slack = slack
        self._registration_bound = registration_bound
        self._traffic_started_at: float | None = None
        self._stated_ends: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._shared_at: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        self.cold_listeners: list[Callable[[], None]] = []

    # Events

    def observe_registration(self, server: Registration) -> None:
        """Record what a new or changed registration says.

        Parameters
        ----------
        server : Registration
            Registration as it stands in the store.
        """
        server_id = server.server_id
        if self._revisions.get(server_id, -1) >= server.revision:
            return
        self._revisions[server_id] = server.revision
        now = self._clock()
        if server.cold_for > 0:
            self._state_end(server_id, now + server.cold_for, source="registration")
        if server.born > 0:
            age = max(0.0, self._wall_time() - server.born / 1000)
            self._started_at[server_id] = now - age

    def observe_answer(self, server_id: str, cold_time: float | None) -> None:
        """Record for how long a server stays cold by its answer.

        Parameters
        ----------
        server_id : str
            Server that answered.
        cold_time : float or None
            Seconds; None if the answer says nothing.
        """
        if cold_time:
            end = self._clock() + cold_time
            # Every answer repeats the same end.
            if end > self._stated_ends.get(server_id, float("-inf")) + MIN_EXTENSION:
                self._state_end(server_id, end, source="answer")

    def observe_evacuation_end(self, domains: Collection[str]) -> None:
        """Take the servers of domains for cold whose evacuation has ended."""
        end = self._clock() + self._registration_bound
        for server in list(self._cluster_state.servers.values()):
            if server.zone in domains:
                self._state_end(server.server_id, end, source="evacuation")

    def _state_end(self, server_id: str, end: float, *, source: str) -> None:
        end = min(end, self._clock() + MAX_COLD_TIME)
        before = self._stated_ends.get(server_id, float("-inf"))
        self._stated_ends[server_id] = max(before, end)
        if end > before and self._find_service(server_id) is not None:
            self._log_cold(server_id, end, source)
            for listener in self.cold_listeners:
                call_logged(listener)

    def _log_cold(self, server_id: str, end: float, source: str) -> None:
        service = self._find_service(server_id)
        assert service is not None
        log.info(
            "backend server cold",
            extra={
                "server": server_id,
                "seconds": round(end - self._clock(), 2),
                "source": source,
                "max_rate": service.cold_rate,
            },
        )

    def observe_send(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        now = self._clock()
        if self._traffic_started_at is None:
            self._traffic_started_at = now
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            bucket.spend(now)

    def observe_misdirected(self, server_id: str) -> None:
        """Take back the count of a request to which another server answered."""
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            bucket.refund(self._clock())

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        for rows in (
            self._stated_ends,
            self._started_at,
            self._buckets,
            self._shared_at,
            self._revisions,
        ):
            rows.pop(server_id, None)

    # Exchange with peers

    def snapshot(self) -> dict[str, float]:
        """Return the remaining seconds of cold servers, by server."""
        now = self._clock()
        rows = {}
        for server_id in {**self._stated_ends, **self._started_at}:
            time_left = self._find_end(server_id) - now
            if time_left > 0 and len(rows) < MAX_REPORTED:
                rows[server_id] = round(time_left, 2)
        return rows

    def get_traffic_age(self) -> float | None:
        """Return the seconds since the fleet's first request; None before it.

        None as well if no service has cold servers.
        """
        table = self._cluster_state.route_table
        if self._traffic_started_at is None or table is None:
            return None
        if not any(it.cold_rate for it in table.routing_config.services.values()):
            return None
        return round(self._clock() - self._traffic_started_at, 1)

    def merge(self, rows: Mapping[str, float], traffic_age: float | None) -> None:
        """Take over what a peer knows.

        Parameters
        ----------
        rows : mapping of str to float
            Remaining seconds of cold servers, by server.
        traffic_age : float or None
            Seconds since the fleet's first request that the peer knows of.
        """
        now = self._clock()
        if traffic_age is not None:
            known = self._traffic_started_at
            traffic_started_at = now - traffic_age
            if known is None or traffic_started_at < known:
                self._traffic_started_at = traffic_started_at
        for server_id, time_left in rows.items():
            end = now + time_left - MAX_TRANSIT_TIME
            if server_id in self._cluster_state.servers and (
                end > self._find_end(server_id) + MIN_EXTENSION
            ):
                self._state_end(server_id, end, source="peer")

    # Decisions

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server is cold."""
        return self._find_end(server_id) > self._clock()

    def list_cold(self) -> list[str]:
        """Return the ids of the cold servers, sorted."""
        return sorted(self.snapshot())

    def get_wait(self, server_id: str) -> float:
        """Return the time until this node may send a server a request, in seconds.

        Parameters
        ----------
        server_id : str
            Server to look up.

        Returns
        -------
        float
            0 for a server that is not cold; at most the time until it is warm.
        """
        bucket = self._find_bucket(server_id)
        if bucket is None:
            return 0.0
        now = self._clock()
        return min(bucket.compute_wait(now), self._find_end(server_id) - now)

    def peek_wait(self, server_id: str) -> float:
        """Return the time of ``get_wait`` without updating this node's share."""
        if not self.is_cold(server_id):
            return 0.0
        now = self._clock()
        time_left = self._find_end(server_id) - now
        bucket = self._buckets.get(server_id)
        return min(copy(bucket).compute_wait(now), time_left) if bucket else time_left

    def peek_rate(self, server_id: str) -> float:
        """Return the rate of ``get_rate`` without updating this node's share."""
        if not self.is_cold(server_id):
            return float("inf")
        bucket = self._buckets.get(server_id)
        return bucket.rate if bucket is not None else 0.0

    def get_rate(self, server_id: str) -> float:
        """Return the requests a second that this node may send to a server.

        Parameters
        ----------
        server_id : str
            Server to look up.

        Returns
        -------
        float
            Infinity for a server that is not cold; 0 if other nodes share the rate.
        """
        bucket = self._find_bucket(server_id)
        return bucket.rate if bucket is not None else float("inf")

    def _find_service(self, server_id: str) -> ServiceSpec | None:
        """Return a server's service if its cold servers need care."""
        server = self._cluster_state.servers.get(server_id)
        table = self._cluster_state.route_table
        if server is None or table is None:
            return None
        service = table.routing_config.services.get(server.service)
        return service if service is not None and service.cold_rate > 0 else None

    def _find_end(self, server_id: str) -> float:
        stated_end = self._stated_ends.get(server_id)
        started_at = self._started_at.get(server_id)
        if stated_end is None and started_at is None:
            return float("-inf")
        service = self._find_service(server_id)
        if service is None:
            return float("-inf")
        traffic_started_at = self._traffic_started_at
        if not self._knows_nodes():
            # Other nodes may have had traffic for long.
            traffic_started_at = float("-inf")
        return decide_cold_end(
            stated_end=stated_end,
            started_at=started_at,
            cold_start_time=service.cold_start_time,
            traffic_started_at=traffic_started_at,
        )

    def _find_bucket(self, server_id: str) -> TokenBucket | None:
        """Return the bucket of a cold server; None for other servers."""
        if server_id not in self._stated_ends and server_id not in self._started_at:
            return None
        now = self._clock()
        if self._find_end(server_id) <= now:
            self._drop_expired(server_id, now)
            if self._buckets.pop(server_id, None) is not None:
                self._shared_at.pop(server_id, None)
                log.info("backend server warm", extra={"server": server_id})
            return None
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = TokenBucket(rate=0.0, updated_at=now, max_tokens=1.0)
            self._buckets[server_id] = bucket
            if server_id not in self._stated_ends:
                self._log_cold(server_id, self._find_end(server_id), "start")
        if now - self._shared_at.get(server_id, float("-inf")) > SHARE_INTERVAL:
            self._update_share(server_id, bucket, now)
        return bucket

    def _drop_expired(self, server_id: str, now: float) -> None:
        """Drop what no longer makes a server cold."""
        table = self._cluster_state.route_table
        if table is None:
            return
        self._stated_ends.pop(server_id, None)
        service = self._find_service(server_id)
        cold_start_time = service.cold_start_time if service is not None else 0.0
        started_at = self._started_at.get(server_id)
        if started_at is not None and started_at + cold_start_time <= now:
            del self._started_at[server_id]

    def _update_share(self, server_id: str, bucket: TokenBucket, now: float) -> None:
        service = self._find_service(server_id)
        assert service is not None
        nodes = self._list_nodes() if self._knows_nodes() else None
        if nodes is not None:
            self._shared_at[server_id] = now
        share = decide_cold_share(
            server_id,
            service.cold_rate,
            overrun=self._overrun,
            slack=self._slack,
            nodes=nodes,
            name=self._name,
        )
        bucket.max_tokens = share.burst
        if share.rate != bucket.rate:
            log.info(
                "share of a cold server's rate changed",
                extra={"server": server_id, "rate": round(share.rate, 3)},
            )
            bucket.set_rate(share.rate, now)
