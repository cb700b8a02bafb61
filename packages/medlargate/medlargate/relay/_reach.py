"""Services of which this node reaches no server."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence

from .._tasks import call_logged, share_task
from ..policy import (
    OpenAttempt,
    ReachEvidence,
    choose_probed_services,
    compute_recheck_pause,
    list_silent_servers,
)
from ..routing import Registration
from ..transport import (
    CONNECT_TIMEOUT,
    ConnectFaultError,
    ExchangeFaultError,
    open_connection,
)

log = logging.getLogger(__name__)

# Servers that are probed at the same time. A service with many servers of which none of
# these responds counts as unreachable.
MAX_CHECKED_SERVERS = 8
# The first probes go to few servers, since most checks follow the loss of one.
N_FIRST_CHECKED = 2
# Health checks are answered at once. The other servers are probed after this time
# without a response of the first ones.
FIRST_PROBE_TIME = 0.15  # seconds
# A server that is silent for a second is no unreachable one: an attempt is overdue for
# 0.7 s before its service is probed.
PROBE_TIMEOUT = 1.0  # seconds
# If a failed check took so much longer than its probes may take, this process was
# paused, and the check proves nothing.
MAX_CHECK_DELAY = 0.5  # seconds
MIN_CHECK_INTERVAL = 0.5  # seconds for which a reached service is not checked again
SILENCE_CHECK_INTERVAL = 0.1  # seconds between looks at overdue answers
RECHECK_INTERVAL = 0.5  # seconds after which a refused caller may try again


async def responds_to_probe(server: Registration, path: str) -> bool:
    """Return whether a server responds to a health check, with any status.

    An accepted connection does not show that a server is reached: a proxy or an address
    translation may accept it and reset it or deliver nothing.

    Parameters
    ----------
    server : Registration
        Server to probe.
    path : str
        Path of the service's health checks.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            conn = await open_connection(
                server.host, server.port, timeout=CONNECT_TIMEOUT
            )
            try:
                conn.send("GET", path, [(b"Host", server.address.encode())], b"")
                await conn.read_head()
            finally:
                conn.abort()
    except (ConnectFaultError, ExchangeFaultError, TimeoutError):
        return False
    except Exception:
        # For instance a path that can't be encoded: no sign of an unreachable server.
        log.exception("server not probed", extra={"server": server.server_id})
    return True


class ReachMonitor:
    """Finds out whether this node reaches any server of a service.

    Parameters
    ----------
    list_servers : callable
        Returns the usable servers of a service.
    list_services : callable
        Returns the names of the services with registered servers.
    can_reach : callable
        Returns whether a server responds to a probe on a new connection.
    clock : callable
        Returns the node's monotonic time in seconds.
    random_state : random.Random or None
        Source of the order in which servers are tried.

    Attributes
    ----------
    listeners : list of callable
        Called with the name of a service that became unreachable or reachable.
    silent_listeners : list of callable
        Called again and again with the id of a server that is silent for long.
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
        # Time of the last check with a response, by service.
        self._reached_at: dict[str, float] = {}
        self._evidence: dict[str, ReachEvidence] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._has_unreachable = asyncio.Event()
        self.listeners: list[Callable[[str], None]] = []
        self.silent_listeners: list[Callable[[str], None]] = []

    def is_unreachable(self, service: str) -> bool:
        """Return whether no server of a service could be reached."""
        return service in self._unreachable

    def list_unreachable(self) -> list[str]:
        """Return the services of which no server could be reached, sorted."""
        return sorted(self._unreachable)

    def observe_response(self, service: str, *, is_new_connection: bool) -> None:
        """Record a response with any status to a request.

        Parameters
        ----------
        service : str
            Service of the server that responded.
        is_new_connection : bool
            Whether the request was the first one on its connection.
        """
        self._get_evidence(service).observe_response(
            self._clock(), is_new_connection=is_new_connection
        )

    def _get_evidence(self, service: str) -> ReachEvidence:
        return self._evidence.setdefault(service, ReachEvidence())

    async def check(self, service: str, *, since: float = float("inf")) -> bool:
        """Probe servers of a service after an attempt has failed.

        Parameters
        ----------
        service : str
            Name of the service.
        since : float, default=inf
            Time at which the failed attempt was sent, in seconds. No server is probed
            if one has responded on a new connection since.

        Returns
        -------
        bool
            Whether one of them responded. True without a probe if one responded to a
            probe within ``MIN_CHECK_INTERVAL``.
        """
        if self.is_unreachable(service):
            return False
        reached_at = self._reached_at.get(service, float("-inf"))
        if self._clock() - reached_at < MIN_CHECK_INTERVAL:
            return True
        if self._get_evidence(service).heard_on_new_at >= since:
            return True
        return await asyncio.shield(self._start_check(service))

    def _start_check(self, service: str) -> asyncio.Task[bool]:
        """Return the check in progress, or start one."""
        return share_task(self._checks, service, lambda: self._check(service))

    async def wait_for_check(self, service: str) -> None:
        """Wait for a check in progress.

        A request that is sent to a server that this node does not reach is lost, or
        has used up one of its attempts.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        task = self._checks.get(service)
        if task is not None:
            await asyncio.shield(task)

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
        while True:
            servers = list(self._list_servers(service))
            started_at = self._clock()
            if await self._reaches_one(servers):
                self._reached_at[service] = self._clock()
                self.observe_response(service, is_new_connection=True)
                return True
            longest = FIRST_PROBE_TIME + PROBE_TIMEOUT + MAX_CHECK_DELAY
            if self._clock() - started_at <= longest:
                break
            log.info("check discarded after a pause", extra={"service": service})
        if servers:
            self._observe_unreachable(service, len(servers))
        return False

    async def _reaches_one(self, servers: Sequence[Registration]) -> bool:
        """Return whether one of the servers responds, once it does."""
        order = self._random_state.sample(servers, len(servers))
        groups = (
            (order[:N_FIRST_CHECKED], FIRST_PROBE_TIME),
            (order[N_FIRST_CHECKED:MAX_CHECKED_SERVERS], None),
        )
        tasks: set[asyncio.Task[bool]] = set()
        try:
            for group, timeout in groups:
                tasks |= {asyncio.ensure_future(self._can_reach(it)) for it in group}
                if await _wait_for_any(tasks, timeout):
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
            call_logged(listener, service)

    def _observe_reached(self, service: str) -> None:
        since = self._unreachable.pop(service)
        self._reached_at[service] = self._clock()
        log.warning(
            "a server of a service can be reached again",
            extra={"service": service, "after": round(self._clock() - since, 2)},
        )
        for listener in self.listeners:
            call_logged(listener, service)

    async def run_checks(
        self,
        list_attempts: Callable[[float], Iterable[OpenAttempt]],
        abandon_silent: Callable[[str, ReachEvidence, float], None],
    ) -> None:
        """Check services whose servers are silent, until cancelled.

        Connections of a partitioned node may hang without an error.

        Parameters
        ----------
        list_attempts : callable
            Returns the attempts without a complete answer, given the current time.
        abandon_silent : callable
            Abandons the silent attempts at an unreachable service, given what was heard
            from it and the current time.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL)
            now = self._clock()
            for service in self.list_unreachable():
                abandon_silent(service, self._get_evidence(service), now)
            attempts = list(list_attempts(now))
            services = choose_probed_services(attempts, self._evidence, now=now)
            for service, server_id in list_silent_servers(attempts, now=now):
                if service not in self._unreachable:
                    for listener in self.silent_listeners:
                        call_logged(listener, server_id)
            for service in services - self._unreachable.keys():
                # A single server may just be silent for a while.
                if len(self._list_servers(service)) > 1:
                    self._start_check(service)

    async def run(self) -> None:
        """Try to reach the servers of unreachable services again, until cancelled."""
        n_failed = 0
        while True:
            await self._has_unreachable.wait()
            await asyncio.sleep(compute_recheck_pause(n_failed))
            services = self.list_unreachable()
            reached = await asyncio.gather(*map(self._is_reached_again, services))
            for service in (it for it, ok in zip(services, reached, strict=True) if ok):
                self._observe_reached(service)
            n_failed = 0 if any(reached) else n_failed + 1
            if not self._unreachable:
                self._has_unreachable.clear()

    async def _is_reached_again(self, service: str) -> bool:
        servers = self._list_servers(service)
        return not servers or await self._can_reach(self._random_state.choice(servers))


async def _wait_for_any(tasks: set[asyncio.Task[bool]], timeout: float | None) -> bool:
    """Return whether one of the tasks returns True within a time.

    Tasks that have returned are removed from the set.
    """
    loop = asyncio.get_running_loop()
    end = None if timeout is None else loop.time() + timeout
    while tasks:
        left = None if end is None else max(0.0, end - loop.time())
        done, _ = await asyncio.wait(
            tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        tasks -= done
        if any(it.result() for it in done):
            return True
        if not done:
            return False
    return False
