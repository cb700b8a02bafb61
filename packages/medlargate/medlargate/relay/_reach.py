"""Services of which this node reaches no server."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Collection, Sequence

from ..routing import Registration

log = logging.getLogger(__name__)

# Servers to which a connection is tried at the same time. A service with many servers
# of which none of these can be reached counts as unreachable.
MAX_CHECKED_SERVERS = 8
# The first connections go to few servers, since most checks follow the loss of one.
N_FIRST_CHECKED = 2
MIN_CHECK_INTERVAL = 0.5  # seconds for which a reached service is not checked again
SILENCE_CHECK_INTERVAL = 0.2  # seconds between looks at overdue answers
# Answers of overloaded servers are overdue for long, and each check opens connections.
MIN_SILENCE_CHECK_INTERVAL = 2.0  # seconds
RECHECK_INTERVAL = 0.5  # seconds between attempts to reach an unreachable service


class ReachMonitor:
    """Finds out whether this node reaches any server of a service.

    Parameters
    ----------
    list_servers : callable
        Returns the usable servers of a service.
    list_services : callable
        Returns the names of the services with registered servers.
    can_reach : callable
        Returns whether a server accepts a new connection.
    clock : callable
        Returns the node's monotonic time in seconds.
    random_state : random.Random or None
        Source of the order in which servers are tried.

    Attributes
    ----------
    listeners : list of callable
        Called with the name of a service that became unreachable or reachable.
    """

    def __init__(
        self,
        list_servers: Callable[[str], Sequence[Registration]],
        list_services: Callable[[], Collection[str]],
        can_reach: Callable[[Registration], Awaitable[bool]],
        clock: Callable[[], float],
        *,
        random_state: random.Random | None = None,
    ) -> None:
        self._list_servers = list_servers
        self._list_services = list_services
        self._can_reach = can_reach
        self._clock = clock
        self._random_state = random_state or random.Random()
        self._unreachable: dict[str, float] = {}
        self._reached_at: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._has_unreachable = asyncio.Event()
        self.listeners: list[Callable[[str], None]] = []

    def is_unreachable(self, service: str) -> bool:
        """Return whether no server of a service could be reached."""
        return service in self._unreachable

    def list_unreachable(self) -> list[str]:
        """Return the services of which no server could be reached, sorted."""
        return sorted(self._unreachable)

    async def check(self, service: str) -> bool:
        """Try to reach servers of a service after an attempt has failed.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether one of them accepted a connection. True without a new connection if
            one was accepted within ``MIN_CHECK_INTERVAL``.
        """
        if self.is_unreachable(service):
            return False
        reached_at = self._reached_at.get(service, float("-inf"))
        if self._clock() - reached_at < MIN_CHECK_INTERVAL:
            return True
        task = self._checks.get(service)
        if task is None:
            task = asyncio.create_task(self._check(service))
            self._checks[service] = task
            task.add_done_callback(lambda _: self._checks.pop(service, None))
        return await asyncio.shield(task)

    async def reaches_any_server(self, service: str) -> bool:
        """Return whether this node reaches a server, of this service or another one.

        Parameters
        ----------
        service : str
            Name of the service of which a server has failed, tried first.
        """
        if await self.check(service):
            return True
        others = [name for name in self._list_services() if name != service]
        return any([await self.check(name) for name in others])

    async def _check(self, service: str) -> bool:
        servers = list(self._list_servers(service))
        self._random_state.shuffle(servers)
        groups = servers[:N_FIRST_CHECKED], servers[N_FIRST_CHECKED:MAX_CHECKED_SERVERS]
        for group in groups:
            if group and await self._reaches_one(group):
                self._reached_at[service] = self._clock()
                return True
        if servers:
            self._observe_unreachable(service, len(servers))
        return False

    async def _reaches_one(self, servers: Sequence[Registration]) -> bool:
        """Return whether one of the servers accepts a connection, once it does."""
        tasks = [asyncio.create_task(self._can_reach(it)) for it in servers]
        try:
            for result in asyncio.as_completed(tasks):
                if await result:
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    def _observe_unreachable(self, service: str, n_servers: int) -> None:
        self._unreachable[service] = self._clock()
        log.warning(
            "no server of a service can be reached",
            extra={"service": service, "n_servers": n_servers},
        )
        self._has_unreachable.set()
        for listener in self.listeners:
            listener(service)

    def _observe_reached(self, service: str) -> None:
        since = self._unreachable.pop(service)
        self._reached_at[service] = self._clock()
        log.warning(
            "a server of a service can be reached again",
            extra={"service": service, "after": round(self._clock() - since, 2)},
        )
        for listener in self.listeners:
            listener(service)

    async def run_checks(self, list_overdue: Callable[[], Collection[str]]) -> None:
        """Check services whose servers are silent, until cancelled.

        Open connections of a partitioned node may hang without an error.

        Parameters
        ----------
        list_overdue : callable
            Returns the services with answers that take far longer than predicted.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL)
            for service in list_overdue():
                if len(self._list_servers(service)) < 2:
                    # A single server may just be silent for a while.
                    continue
                reached_at = self._reached_at.get(service, float("-inf"))
                if self._clock() - reached_at > MIN_SILENCE_CHECK_INTERVAL:
                    await self.check(service)

    async def run(self) -> None:
        """Try to reach the servers of unreachable services again, until cancelled."""
        while True:
            await self._has_unreachable.wait()
            await asyncio.sleep(RECHECK_INTERVAL)
            for service in self.list_unreachable():
                servers = self._list_servers(service)
                if not servers or await self._can_reach(
                    self._random_state.choice(servers)
                ):
                    self._observe_reached(service)
            if not self._unreachable:
                self._has_unreachable.clear()
