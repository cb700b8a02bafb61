"""Requests that wait for a server, the most urgent first."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from ..fleet import ClusterState
from ..policy import (
    LONG_PREFILL_TIME,
    SHORT_PROMPT_JITTER,
    Placement,
    Refusal,
    ServerState,
    ServiceTimes,
    accepts_any_server,
    choose_short_prompt_engines,
    decide_placement,
    decide_wait,
    has_capacity,
    is_prefill_sensitive,
    make_queue_key,
    predict_first_token,
)
from ..routing import Registration
from ._exchange import Exchange
from ._load_tracker import LoadTracker

LOOK_INTERVAL = 0.05  # seconds; peers' loads change without a sign here
LANE_INTERVAL = 0.25  # seconds; about as often as other nodes' demand is heard
ANSWER_BYTES = 3000  # of a usual answer with its headers
NO_SERVER_WAIT = 1.0  # seconds; a restarting server is back within a few
NO_SERVER_RETRY_AFTER = 0.7  # seconds


@dataclass(frozen=True, slots=True)
class ServerAssignment:
    """A server for a request.

    Attributes
    ----------
    server : Registration
        The server.
    state : ServerState
        As it was seen.
    placement : Placement
        Why.
    fetch_from : str or None
        Address of an engine from which it takes over the prompt's beginning.
    """

    server: Registration
    state: ServerState
    placement: Placement
    fetch_from: str | None = None


@dataclass(eq=False)
class _Waiter:
    exch: Exchange
    fut: asyncio.Future[ServerAssignment]
    since: float


class RequestQueue:
    """Holds requests until a server has room.

    Parameters
    ----------
    beliefs : Beliefs
        Which servers there are.
    loads : LoadTracker
        How busy they are.
    clock : callable
        Returns seconds.
    observe_work : callable
        Told server and seconds of reading of each request that goes on, and whether
        its stream is tight.
    sum_tight : callable
        Returns the reading for tight streams of a service that arrives at the fleet.
    random_state : random.Random or None
        Chooses among servers that are equal for a short request.
    """

    def __init__(
        self,
        beliefs: ClusterState,
        loads: LoadTracker,
        clock: Callable[[], float],
        observe_work: Callable[[Exchange, str, float, bool], None],
        sum_tight: Callable[[str], float],
        *,
        random_state: random.Random | None = None,
    ) -> None:
        self._random_state = random_state or random.Random()
        self._sum_tight = sum_tight
        self._lanes: dict[str, tuple[float, frozenset[str]]] = {}
        self._observe_work = observe_work
        self._beliefs = beliefs
        self._loads = loads
        self._clock = clock
        self._queues: dict[str, list[_Waiter]] = {}

    def usable(self, service: str) -> list[Registration]:
        """List the servers of a service that may get requests."""
        return [
            it
            for it in self._beliefs.servers.values()
            if it.service == service and not it.draining
        ]

    def snapshot(self) -> dict[str, int]:
        """Report how many requests wait for each service."""
        return {name: len(queue) for name, queue in self._queues.items()}

    async def acquire(self, exch: Exchange) -> ServerAssignment:
        """Wait for a server.

        A newcomer does not stand behind those that wait, since they wait for other
        servers; when one gets room, the most urgent of them is asked first.

        Parameters
        ----------
        exch : Exchange
            The request.

        Returns
        -------
        Assigned
            Its server.

        Raises
        ------
        Refusal
            No server, or none in time.
        """
        if exch.states.state == "received":
            exch.states.observe("enqueue")
        assigned = self._try_place(exch)
        if assigned is not None:
            return self._take(exch, assigned)
        queue = self._queues.setdefault(exch.service.name, [])
        fut = asyncio.get_running_loop().create_future()
        waiter = _Waiter(exch, fut, self._clock())
        exch.record("wait", n_waiting=len(queue), priority=exch.priority)
        queue.append(waiter)
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                # It was given a server and will not use it.
                self._loads.observe_end(exch.number, fut.result().server.server_id)
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def _try_place(self, exch: Exchange) -> ServerAssignment | None:
        """Find the best server, if it has room or the request can't wait for it."""
        servers = {it.server_id: it for it in self.usable(exch.service.name)}
        times = self._loads.times(exch.service)
        waited = self._clock() - exch.arrived_at
        pressed = accepts_any_server(waited=waited, target=exch.rule.target)
        states = self._make_states(exch, servers, times)
        if pressed or exch.service.engine is None:
            states = [it for it in states if _is_open(exch, it, times, pressed)]
        placement = decide_placement(
            states,
            times,
            domain=self._loads.domain,
            n_bytes=len(exch.req.body) + ANSWER_BYTES,
            jitter=SHORT_PROMPT_JITTER if self._is_short(exch, times) else 0.0,
            random_state=self._random_state,
        )
        if placement is None:
            return None
        state = next(it for it in states if it.name == placement.name)
        if not _is_open(exch, state, times, pressed):
            return None
        holder = self._beliefs.servers.get(state.source) if state.source else None
        fetch_from = holder.address if holder is not None else None
        return ServerAssignment(servers[placement.name], state, placement, fetch_from)

    def _is_short(self, exch: Exchange, times: ServiceTimes) -> bool:
        """Tell whether a request is too short for a note to the other nodes."""
        if exch.service.engine is None:
            return False
        return exch.n_tokens * times.prefill_per_token <= LONG_PREFILL_TIME

    def _make_states(
        self, exch: Exchange, servers: dict[str, Registration], times: ServiceTimes
    ) -> list[ServerState]:
        """Describe the servers that a request may go to, untried ones if any."""
        untried = [it for name, it in servers.items() if name not in exch.tried]
        states = self._loads.make_states(
            exch.service,
            untried or list(servers.values()),
            exch.facts.parts,
            exch.n_tokens,
        )
        if exch.service.engine is None:
            return states
        lane = self._find_lane(exch.service.name, servers)
        tight = bool(lane) and _is_tight(exch, times)
        allowed = [
            replace(state, risks_pauses=True)
            if tight and state.name not in lane
            else state
            for state in states
            if state.name not in lane or _read_time(state, times) <= LONG_PREFILL_TIME
        ]
        return allowed or states

    def _find_lane(self, service: str, servers: Collection[str]) -> frozenset[str]:
        now = self._clock()
        found = self._lanes.get(service)
        if found is None or now - found[0] > LANE_INTERVAL:
            lane = choose_short_prompt_engines(
                list(servers), sensitive_demand=self._sum_tight(service)
            )
            found = self._lanes[service] = (now, lane)
        return found[1]

    def _take(self, exch: Exchange, assigned: ServerAssignment) -> ServerAssignment:
        now = self._clock()
        exch.placed_at = now
        placement = assigned.placement
        exch.record(
            "place",
            server=placement.name,
            predicted=round(placement.predicted, 3),
            cost=round(placement.cost, 3),
            n_candidates=placement.n_candidates,
            backlog=round(assigned.state.backlog, 3),
            n_running=assigned.state.n_running,
            n_uncached=assigned.state.n_uncached,
            n_fetchable=assigned.state.n_fetchable,
            fetch_from=assigned.fetch_from,
            home_rank=assigned.state.home_rank,
            risks_pauses=assigned.state.risks_pauses,
            waited=round(now - exch.arrived_at, 3),
            servers_revision=self._beliefs.servers_revision,
        )
        times = self._loads.times(exch.service)
        reading = assigned.state.n_prefill_tokens * times.prefill_per_token
        # Counted at once, so that the next decision sees it.
        self._loads.observe_send(
            exch.number,
            exch.service,
            assigned.state,
            exch.facts.parts,
            placement.predicted,
        )
        if exch.service.engine is not None:
            tight = _is_tight(exch, times)
            self._observe_work(exch, placement.name, reading, tight)
        return assigned

    def observe_change(self) -> None:
        """Look again who may go on, after a load or a server changed."""
        for queue in self._queues.values():
            self._look(queue)

    def _rank(self, waiter: _Waiter) -> tuple[int, bool, float]:
        exch = waiter.exch
        per_token = self._loads.times(exch.service).prefill_per_token
        return make_queue_key(
            priority=exch.priority,
            arrived_at=exch.arrived_at,
            time_to_target=exch.target_at - self._clock(),
            prefill_time=exch.n_tokens * per_token,
        )

    def _look(self, queue: list[_Waiter]) -> None:
        for waiter in sorted(queue, key=self._rank):
            if waiter.fut.done():
                continue
            assigned = self._try_place(waiter.exch)
            if assigned is not None:
                queue.remove(waiter)
                waiter.fut.set_result(self._take(waiter.exch, assigned))
                continue
            refusal = self._decide_refusal(waiter)
            if refusal is not None:
                queue.remove(waiter)
                waiter.fut.set_exception(refusal)

    def _decide_refusal(self, waiter: _Waiter) -> Refusal | None:
        exch = waiter.exch
        now = self._clock()
        servers = self.usable(exch.service.name)
        if not servers:
            if now - waiter.since < NO_SERVER_WAIT:
                return None
            return Refusal(
                503,
                "no_server",
                f"no server of {exch.service.name} is known",
                retry_after=NO_SERVER_RETRY_AFTER,
            )
        states = self._loads.make_states(
            exch.service, servers, exch.facts.parts, exch.n_tokens
        )
        times = self._loads.times(exch.service)
        decision = decide_wait(
            predicted_first_token=min(_expect(exch, state, times) for state in states),
            time_left=exch.deadline - now,
            time_to_target=exch.target_at - now,
        )
        if decision.wait:
            return None
        return Refusal(
            503, "too_late", decision.reason, retry_after=decision.retry_after
        )

    async def run(self) -> None:
        """Look at the waiting requests from time to time, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            self.observe_change()


def _is_tight(exch: Exchange, times: ServiceTimes) -> bool:
    """Tell whether a request's stream is late beside long prompts."""
    engine = exch.service.engine
    if engine is None or not exch.rule.streams:
        return False
    return is_prefill_sensitive(
        times,
        max_pause=exch.rule.max_pause,
        n_tokens_per_event=engine.n_tokens_per_event,
    )


def _expect(exch: Exchange, state: ServerState, times: ServiceTimes) -> float:
    """Return the seconds until a server could answer a waiting request at the best.

    Of a plain server only the requests on it count. Overdue answers of all servers at
    once mostly mean that this node itself stood still.
    """
    if exch.service.engine is None:
        return predict_first_token(replace(state, backlog=0.0, slowness=1.0), times)
    return (
        state.backlog * state.slowness
        + state.n_prefill_tokens * times.prefill_per_token
    )


def _read_time(state: ServerState, times: ServiceTimes) -> float:
    """Return the seconds that a server reads a request's prompt."""
    return state.n_prefill_tokens * times.prefill_per_token * state.slowness


def _is_open(
    exch: Exchange, state: ServerState, times: ServiceTimes, pressed: bool
) -> bool:
    """Tell whether a server has room for a request now."""
    return has_capacity(
        state,
        is_engine=exch.service.engine is not None,
        prefill_time=_read_time(state, times),
        accept_any=pressed,
    )
