"""Queue of requests that wait for a backend server, the most urgent first."""

from __future__ import annotations

import asyncio
import math
import random
import time
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Collection
from copy import copy
from dataclasses import dataclass, replace

from .._tasks import call_logged
from ..fleet import ClusterState
from ..policy import (
    LONG_PREFILL_TIME,
    SHORT_PROMPT_JITTER,
    FillLimits,
    Placement,
    QueueClass,
    Refusal,
    ResponseLimits,
    ServerState,
    ServiceTimes,
    SpillOptions,
    Suspicion,
    TokenSupply,
    Verdict,
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
from ._cold_servers import ColdServers
from ._crash_guard import CrashGuard
from ._exchange import Exchange
from ._load_tracker import LoadTracker
from ._queue_order import QueueKey, QueueOrder, QueuePosition
from ._server_limits import ServerLimits
from ._spillover import TYPICAL_ANSWER_BYTES, Spillover

# Loads that peers put on servers change without an event on this node, so the queues
# are rechecked periodically.
RECHECK_INTERVAL = 0.05  # seconds
# The prediction for a waiting request changes little within the first time. One with
# much time left is predicted again after half of it, within the second time.
MIN_REFUSAL_CHECK_INTERVAL = 0.1  # seconds
MAX_REFUSAL_CHECK_INTERVAL = 1.0  # seconds
# Other nodes report their demand about this often.
SHORT_PROMPT_ENGINES_INTERVAL = 0.25  # seconds
# A restarting server is back within a few seconds. A request to a service without a
# usable server is therefore not refused at once, but after NO_SERVER_WAIT.
NO_SERVER_WAIT = 1.0  # seconds in the queue
SPILL_OFF = SpillOptions("off")
NO_SERVER_RETRY_AFTER = 0.7  # seconds, sent to the caller with the refusal
# Requests that one pass through a queue in the order of customers' shares tries without
# success, of long prompts and of others. Passes follow each change of a load, and each
# try compares all servers.
MAX_FAILED_TRIES = 4
# Pause between two passes, as a multiple of the time that the last one took, so that
# passes through long queues take a fifth of the processor at most.
PASS_PAUSE_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class ServerAssignment:
    """Assignment of a request to a backend server.

    Attributes
    ----------
    server : Registration
        Registration of the chosen server.
    state : ServerState
        State of the server at the time of the decision.
    placement : Placement
        Placement decision with its predicted time and cost.
    fetch_from : str or None
        Address of the engine from which the server fetches the cached prefix of the
        prompt; None if nothing is fetched.
    confined_for : str or None
        Suspected prompt part to whose servers the request is confined.
    """

    server: Registration
    state: ServerState
    placement: Placement
    fetch_from: str | None = None
    confined_for: str | None = None


@dataclass(frozen=True, slots=True)
class Candidate:
    """Server of a service, for a request that is not sent.

    Attributes
    ----------
    state : ServerState
        State of the server for the request.
    excluded : str or None
        Why the server would not get the request; None if it could.
    """

    state: ServerState
    excluded: str | None


@dataclass(frozen=True, slots=True)
class PlacementOutlook:
    """Where a request would go now.

    Attributes
    ----------
    assignment : ServerAssignment or None
        Server that it would be sent to; None if it would wait or be refused.
    candidates : list of Candidate
        Servers of the service that are not leaving.
    times : ServiceTimes
        Latency parameters of the service.
    ahead : list of Exchange
        Waiting requests that would be served before it.
    predicted_answer : float
        Time to the first token or answer if it waits, in seconds.
    refusal : Refusal or None
        Refusal that it would get; None if it would be sent or wait.
    """

    assignment: ServerAssignment | None
    candidates: list[Candidate]
    times: ServiceTimes
    ahead: list[Exchange]
    predicted_answer: float
    refusal: Refusal | None


@dataclass(frozen=True, slots=True)
class _AnswerPrediction:
    """Parts of the time until a waiting request is answered, in seconds.

    ``n_free`` is the number of servers whose free memory would hold the request,
    whether or not this node may fill it now.
    """

    earliest: float
    queue_wait: float
    memory_wait: float
    n_free: int

    @property
    def total(self) -> float:
        return self.earliest + self.queue_wait + self.memory_wait

    @property
    def evidence(self) -> str:
        """Name of the largest part."""
        parts = {
            "memory": self.memory_wait,
            "server_limits": self.queue_wait,
            "prefill": self.earliest,
        }
        return max(parts, key=parts.__getitem__)


@dataclass(eq=False)
class _QueuedRequest:
    exch: Exchange
    future: asyncio.Future[ServerAssignment] | None
    queued_at: float
    check_at: float = float("-inf")
    position: QueuePosition | None = None


class RequestQueue:
    """Queue that holds requests until a suitable backend server has capacity.

    A request to an engine waits until the best server has capacity, even if others have
    capacity. After a fraction of its target time (see ``accepts_any_server``) it takes
    the best of the servers with capacity. A request to a plain server does so from the
    start.

    Parameters
    ----------
    cluster_state : ClusterState
        Registered backend servers.
    loads : LoadTracker
        Load estimates of the servers.
    limits : ServerLimits
        Request rates that servers limit.
    cold : ColdServers
        Request rates of cold servers.
    crash_guard : CrashGuard
        Names the servers that requests suspected of crashes should not share, or to
        which they are confined.
    clock : callable
        Returns the node's monotonic time in seconds.
    observe_dispatch : callable
        Called for each request that is assigned to an engine, with the request, the
        server's id, the predicted prefill work (the prefill time at normal speed, in
        seconds) and whether the stream is prefill-sensitive.
    sum_sensitive_demand : callable
        Returns the prefill work of prefill-sensitive streams that arrives at the whole
        fleet for a service, in engine-seconds per second.
    list_connected : callable
        Returns the servers to which the node has an idle connection that a request may
        reuse; its argument tells whether only those in use recently count.
    connection_preference : float, default=0.0
        Delay that is accepted to reuse a connection, in seconds.
    random_state : random.Random or None
        Source of a random addition to the cost of servers for short prompts, so that
        nodes do not all choose the same server.
    spill_options : SpillOptions, default=SpillOptions("off")
        Settings of the spillover to other failure domains.

    Attributes
    ----------
    spillover : Spillover
        Decides which requests are sent to other failure domains.
    order : QueueOrder or None
        Order by customers' shares; None for the order of arrival in each class.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: LoadTracker,
        limits: ServerLimits,
        cold: ColdServers,
        crash_guard: CrashGuard,
        clock: Callable[[], float],
        observe_dispatch: Callable[[Exchange, str, float, bool], None],
        sum_sensitive_demand: Callable[[str], float],
        *,
        list_connected: Callable[[bool], Collection[str]] = lambda _: (),
        connection_preference: float = 0.0,
        random_state: random.Random | None = None,
        spill_options: SpillOptions = SPILL_OFF,
        order: QueueOrder | None = None,
    ) -> None:
        self._list_connected = list_connected
        self._connection_preference = connection_preference
        self.spillover = Spillover(
            loads,
            self.list_usable_servers,
            self._list_waiting,
            spill_options,
            clock,
        )
        self._order = order
        self._reserved: dict[str, tuple[Exchange, str]] = {}
        self._scheduled: set[str] = set()
        self._next_pass_at: dict[str, float] = {}
        self._random_state = random_state or random.Random()
        self._sum_sensitive_demand = sum_sensitive_demand
        self._short_prompt_engines: dict[str, tuple[float, frozenset[str]]] = {}
        self._observe_dispatch = observe_dispatch
        self._cluster_state = cluster_state
        self._loads = loads
        self._limits = limits
        self._cold = cold
        self._crash_guard = crash_guard
        self._clock = clock
        self._queues: dict[str, list[_QueuedRequest]] = {}
        self._has_waiting = asyncio.Event()
        loads.count_waiting = lambda service: len(self._queues.get(service, ()))

    def list_usable_servers(self, service: str) -> list[Registration]:
        """Return the servers of a service that are not leaving or evacuated."""
        evacuated = self._cluster_state.evacuated
        return [it for it in self._list_staying(service) if it.zone not in evacuated]

    def _list_staying(self, service: str) -> list[Registration]:
        """Return the servers of a service that are neither leaving nor replaced."""
        leaving = self._cluster_state.leaving
        return [
            it
            for it in self._cluster_state.servers.values()
            if it.service == service
            and not it.draining
            and it.server_id not in leaving
            and not self._loads.is_replaced(it.server_id)
        ]

    def _list_open_servers(
        self, service: str, *, dry_run: bool = False
    ) -> list[Registration]:
        """Return the usable servers to which a request may be sent now."""
        return [
            it
            for it in self.list_usable_servers(service)
            if not self.get_server_wait(it.server_id, dry_run=dry_run)
        ]

    def get_server_wait(self, server_id: str, *, dry_run: bool = False) -> float:
        """Return the time until a server may get a request, in seconds.

        A server may have asked this node for a pause or limit the rate of its requests.

        Parameters
        ----------
        server_id : str
            Server to look up.
        dry_run : bool, default=False
            Whether to leave this node's share of a limit as it is.
        """
        limits, cold = self._limits, self._cold
        wait = limits.peek_wait(server_id) if dry_run else limits.get_wait(server_id)
        cold_wait = cold.peek_wait(server_id) if dry_run else cold.get_wait(server_id)
        return max(self._loads.get_refusal_time(server_id), wait, cold_wait)

    def has_untried_server(
        self, exch: Exchange, *, include_suspended: bool = False
    ) -> bool:
        """Return whether a usable server has not yet received the request.

        Parameters
        ----------
        exch : Exchange
            Accepted request.
        include_suspended : bool, default=False
            Whether servers count that are suspended after failed connections, by
            themselves or with their failure domain.

        Returns
        -------
        bool
            False if every server of the service was tried or is suspended.
        """
        return any(
            it.server_id not in exch.tried_servers
            and exch.can_run_at(it)
            and (
                include_suspended or not self._loads.is_suspended(it.server_id, it.zone)
            )
            for it in self._list_open_servers(exch.service.name)
        )

    def _list_waiting(self, service: str) -> list[Exchange]:
        return [it.exch for it in self._queues.get(service, ())]

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {name: len(queue) for name, queue in self._queues.items()}

    def list_waiting(self) -> list[Exchange]:
        """Return the waiting requests of all services."""
        return [it.exch for queue in self._queues.values() for it in queue]

    async def acquire(self, exch: Exchange) -> ServerAssignment:
        """Assign a server to a request, waiting until a suitable one has capacity.

        A new request is tried at once, even if others wait, because those were already
        tried without success. Queued requests are tried again in order of urgency after
        a change of a load or of the servers, and periodically. With customers' shares,
        a new request that others precede is queued and tried in its turn, except a
        short prompt that only long ones precede.

        Parameters
        ----------
        exch : Exchange
            Accepted request.

        Returns
        -------
        ServerAssignment
            Server chosen for the request.

        Raises
        ------
        Refusal
            If the service has no usable server once the request has waited for
            ``NO_SERVER_WAIT``, or if no first token or answer is predicted before the
            deadline.
        """
        if exch.states.state == "received":
            exch.states.observe("enqueue")
        memory = self._loads.memory
        position = self._get_position(exch, is_new=True)
        exch.held = memory.make_request(exch, urgency=self._get_urgency(exch))
        refusal = self._find_oversize(exch)
        if refusal is not None:
            raise refusal
        queue = self._queues.setdefault(exch.service.name, [])
        ahead = _list_ahead(queue, position)
        if not self._has_rival(exch, ahead):
            assignment = self._try_place(exch)
            if assignment is not None:
                return self._commit(exch, assignment)
        refusal = self._find_certain_lateness(exch, queue, position, len(ahead))
        if refusal is not None:
            raise refusal
        future = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(exch, future, self._clock(), position=position)
        exch.record("wait", n_waiting=len(queue), priority=exch.priority)
        queue.append(queued)
        self._has_waiting.set()
        if position is not None:
            self._schedule_pass(exch.service.name)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                # A server was assigned just before the cancellation: release it.
                self.observe_end(exch, future.result().server.server_id)
            raise
        finally:
            if queued in queue:
                queue.remove(queued)
            memory.release_reservation(exch.held)
            self._release_reservation(exch)

    def refuse_waiting(
        self, find_refusal: Callable[[Exchange], Refusal | None]
    ) -> None:
        """End the wait of requests that may not be sent any more.

        Parameters
        ----------
        find_refusal : callable
            Returns the refusal of a waiting request; None if it may wait on.
        """
        for queue in self._queues.values():
            for queued in list(queue):
                refusal = find_refusal(queued.exch)
                if refusal is not None:
                    _fail_queued(queue, queued, refusal)

    def _get_position(
        self, exch: Exchange, *, is_new: bool = False
    ) -> QueuePosition | None:
        """Return the position of a request; None if shares do not apply."""
        if self._order is None or not self._order.is_active:
            return None
        times = self._loads.get_service_times(exch.service)
        if is_new:
            self._order.observe_arrival(exch, times)
        return self._order.get_position(exch, times)

    def _find_certain_lateness(
        self,
        exch: Exchange,
        queue: list[_QueuedRequest],
        position: QueuePosition | None,
        n_ahead: int,
        *,
        dry_run: bool = False,
    ) -> Refusal | None:
        """Return the refusal of a new request that would be served too late."""
        if self._order is None or position is None:
            return None
        times = self._loads.get_service_times(exch.service)
        supply = self._find_token_supply(exch.service.name, dry_run=dry_run)
        if supply is not None and _may_use_any_server(exch):
            late_key = _make_late_key(position)
            refusal = self._order.decide_limited_rejection(
                exch,
                position,
                times,
                supply,
                n_ahead=n_ahead,
                n_ahead_if_late=sum(
                    it.position is not None and _make_late_key(it.position) <= late_key
                    for it in queue
                ),
                dry_run=dry_run,
            )
            if refusal is not None or supply.waits[0] > 0:
                return refusal
        return self._order.decide_rejection(
            exch,
            position,
            times,
            n_ahead=n_ahead,
            n_ahead_in_class=sum(
                it.position is not None
                and it.position.queue_class == position.queue_class
                and it.position.key < position.key
                for it in queue
            ),
            dry_run=dry_run,
        )

    def _find_oversize(self, exch: Exchange) -> Refusal | None:
        """Return the refusal of a prompt that no engine's memory can hold."""
        if exch.held and not self._loads.memory.can_ever_fit(exch.service, exch.held):
            message = f"a prompt of {exch.n_tokens} tokens exceeds the engines' memory"
            return Refusal(503, "too_large", message, Verdict.NOT_RUN)
        return None

    def _try_place(
        self, exch: Exchange, *, dry_run: bool = False
    ) -> ServerAssignment | None:
        """Return the best server, or None if the request should wait for it.

        A dry run changes no state, also not that of the random numbers.
        """
        reserved = self._get_reserved_server(exch)
        servers = {
            it.server_id: it
            for it in self._list_open_servers(exch.service.name, dry_run=dry_run)
            if it.server_id != reserved
        }
        times = self._loads.get_service_times(exch.service)
        waited = self._clock() - exch.arrived_at
        accept_any = accepts_any_server(waited=waited, target=exch.rule.target)
        states = self._make_states(exch, servers, times, dry_run=dry_run)
        limits = self._get_fill_limits(exch)
        suspicion = self._crash_guard.find_suspicion(exch)
        confined: list[ServerState] = []
        if suspicion is not None:
            confined = self._list_confined(exch, suspicion, states, times, limits)
        states = confined or self.spillover.select(
            exch, states, times, accept_any=accept_any, dry_run=dry_run
        )
        if accept_any or exch.service.engine is None:
            states = [
                it
                for it in states
                if self._can_accept(exch, it, times, accept_any, limits)
            ]
        placement = decide_placement(
            states,
            times,
            domain=self._loads.domain,
            n_bytes=len(exch.req.body) + TYPICAL_ANSWER_BYTES,
            limits=_make_limits(exch, waited),
            jitter=SHORT_PROMPT_JITTER if self._is_short_prompt(exch, times) else 0.0,
            random_state=copy(self._random_state) if dry_run else self._random_state,
            connected=self._list_connected(exch.needs_recent_connection),
            connection_preference=self._connection_preference,
        )
        if placement is None:
            return None
        state = next(it for it in states if it.name == placement.name)
        if not self._can_accept(exch, state, times, accept_any, limits):
            return None
        holder = self._cluster_state.servers.get(state.source) if state.source else None
        if holder is not None and holder.zone in self._cluster_state.evacuated:
            holder = None
        fetch_from = holder.address if holder is not None else None
        return ServerAssignment(
            servers[placement.name],
            state,
            placement,
            fetch_from,
            confined_for=suspicion.part if suspicion is not None and confined else None,
        )

    def _list_confined(
        self,
        exch: Exchange,
        suspicion: Suspicion,
        states: list[ServerState],
        times: ServiceTimes,
        limits: FillLimits | None,
    ) -> list[ServerState]:
        """Return the servers that run requests with a suspected part.

        They are the same on all nodes, and may be in another failure domain.
        """
        registered = self._cluster_state.servers
        crashed = self._crash_guard.list_crashed_runs()
        open_states = [
            it
            for it in states
            if registered[it.name].run_id not in crashed
            and self._can_accept(exch, it, times, True, limits)
        ]
        names = self._crash_guard.choose_confined_servers(
            suspicion, open_states, self._loads.domain
        )
        return [it for it in open_states if it.name in names]

    def explain(self, exch: Exchange) -> PlacementOutlook:
        """Return where a request would go now, without a change of any state.

        Parameters
        ----------
        exch : Exchange
            Request that is not in the queue.

        Returns
        -------
        PlacementOutlook
            Result of the functions that place requests.
        """
        urgency = self._get_urgency(exch)
        exch.held = self._loads.memory.make_request(exch, urgency=urgency)
        refusal = self._find_oversize(exch)
        queue = self._queues.get(exch.service.name, [])
        position = self._get_position(exch)
        preceding = _list_ahead(queue, position)
        assignment = None
        if refusal is None and not self._has_rival(exch, preceding):
            assignment = self._try_place(exch, dry_run=True)
        times = self._loads.get_service_times(exch.service)
        usable = [
            it
            for it in self.list_usable_servers(exch.service.name)
            if exch.can_run_at(it)
        ]
        # Suspended servers are left out of the states of several servers.
        states = [
            state
            for it in usable
            for state in self._loads.make_states(
                exch.service,
                [it],
                exch.facts.parts,
                exch.n_tokens,
                exch.held,
                may_probe=False,
            )
        ]
        allowed = self._make_states(
            exch, {it.server_id: it for it in usable}, times, dry_run=True
        )
        kept = self.spillover.select(exch, allowed, times, dry_run=True)
        rows = [
            Candidate(state, self._find_exclusion(exch, state, times, allowed, kept))
            for state in states
        ]
        ahead: list[Exchange] = []
        if assignment is None and refusal is None:
            queued = _QueuedRequest(exch, None, self._clock(), position=position)
            ahead = [it.exch for it in queue if self._precedes(it, queued)]
            n_tokens_ahead = sum(it.held.n_tokens for it in ahead if it.held)
            refusal = self._find_certain_lateness(
                exch, queue, position, len(preceding), dry_run=True
            ) or self._decide_refusal(queued, len(ahead), n_tokens_ahead, dry_run=True)
        wait = 0.0
        if assignment is None and usable:
            n_tokens_ahead = sum(it.held.n_tokens for it in ahead if it.held)
            wait = self._predict_answer(
                exch, usable, len(ahead), n_tokens_ahead, dry_run=True
            ).total
        return PlacementOutlook(assignment, rows, times, ahead, wait, refusal)

    def _precedes(self, first: _QueuedRequest, second: _QueuedRequest) -> bool:
        if first.position is not None and second.position is not None:
            return first.position.key <= second.position.key
        return self._make_queue_key(first) <= self._make_queue_key(second)

    def _find_exclusion(
        self,
        exch: Exchange,
        state: ServerState,
        times: ServiceTimes,
        allowed: list[ServerState],
        kept: list[ServerState],
    ) -> str | None:
        """Return why a server does not get a request; None if it is a candidate."""
        wait = self.get_server_wait(state.name, dry_run=True)
        if wait:
            return f"wants no request for {wait:.2f} s"
        if self._loads.is_suspended(state.name, state.domain):
            return "cannot be reached"
        if all(it.name != state.name for it in allowed):
            return "is reserved for short prompts"
        if all(it.name != state.name for it in kept):
            return (
                "is in another failure domain, and the request stays or goes elsewhere"
            )
        limits = self._get_fill_limits(exch)
        if not self._can_accept(exch, state, times, False, limits):
            return "has no capacity"
        return None

    def _get_fill_limits(self, exch: Exchange) -> FillLimits | None:
        if self._order is None or not self._order.is_active:
            return None
        return self._order.get_fill_limits(exch)

    def _get_urgency(self, exch: Exchange) -> float | None:
        if self._order is None or not self._order.is_active:
            return None
        return self._order.get_urgency(exch)

    def _can_accept(
        self,
        exch: Exchange,
        state: ServerState,
        times: ServiceTimes,
        accept_any: bool,
        limits: FillLimits | None,
    ) -> bool:
        """Return whether a server has capacity for a request now."""
        if limits is not None:
            view = self._loads.get_view(state.name)
            n_occupied = view.count_occupied(time.monotonic())
            if n_occupied >= limits.compute_slot_limit(state.n_slots):
                return False
        return has_capacity(
            state,
            is_engine=exch.service.engine is not None,
            prefill_time=_predict_prefill_time(state, times),
            accept_any=accept_any,
            limits=limits,
        )

    def _is_short_prompt(self, exch: Exchange, times: ServiceTimes) -> bool:
        """Return whether prefill of the whole prompt takes at most LONG_PREFILL_TIME.

        The time is that at the service's average speed, with nothing cached. False for
        plain services.
        """
        if exch.service.engine is None:
            return False
        return exch.n_tokens * times.prefill_per_token <= LONG_PREFILL_TIME

    def _has_rival(self, exch: Exchange, ahead: list[Exchange]) -> bool:
        """Return whether one of the requests ahead waits for the same capacity.

        A short prompt is sent to engines whose prefill keeps long ones waiting. How far
        it may fill them is limited by its class (``FillLimits``), not by the order.
        """
        times = self._loads.get_service_times(exch.service)
        if not self._is_short_prompt(exch, times):
            return bool(ahead)
        return any(self._is_short_prompt(it, times) for it in ahead)

    def _make_states(
        self,
        exch: Exchange,
        servers: dict[str, Registration],
        times: ServiceTimes,
        *,
        dry_run: bool = False,
    ) -> list[ServerState]:
        """Return the states of the candidate servers of a request.

        A stream goes on only at servers of the version that began it. Servers that the
        request has already been sent to, or that it must not share with another one
        suspected of crashes, are candidates only if no other server is left. Engines
        reserved for short prompts are excluded for long prompts unless no other engine
        remains.
        """
        allowed_servers = [it for it in servers.values() if exch.can_run_at(it)]
        untried = [
            it for it in allowed_servers if it.server_id not in exch.tried_servers
        ]
        avoided = self._crash_guard.list_avoided_servers(exch)
        if avoided:
            untried = [it for it in untried if it.server_id not in avoided] or untried
        states = self._loads.make_states(
            exch.service,
            untried or allowed_servers,
            exch.facts.parts,
            exch.n_tokens,
            exch.held,
            may_probe=not dry_run,
        )
        if exch.service.engine is None:
            return states
        reserved = self._get_short_prompt_engines(
            exch.service.name, servers, dry_run=dry_run
        )
        prefill_sensitive = bool(reserved) and _is_prefill_sensitive(exch, times)
        allowed = [
            replace(state, risks_pauses=True)
            if prefill_sensitive and state.name not in reserved
            else state
            for state in states
            if state.name not in reserved
            or _predict_prefill_time(state, times) <= LONG_PREFILL_TIME
        ]
        return allowed or states

    def _get_short_prompt_engines(
        self, service: str, servers: Collection[str], *, dry_run: bool = False
    ) -> frozenset[str]:
        now = self._clock()
        cached = self._short_prompt_engines.get(service)
        if cached is None or now - cached[0] > SHORT_PROMPT_ENGINES_INTERVAL:
            reserved = self._choose_short_prompt_engines(service, servers)
            cached = (now, reserved)
            if not dry_run:
                self._short_prompt_engines[service] = cached
        return cached[1]

    def _choose_short_prompt_engines(
        self, service: str, servers: Collection[str]
    ) -> frozenset[str]:
        """Choose the reserved engines; where requests stay, in each failure domain."""
        demand = self._sum_sensitive_demand(service)
        groups: dict[str, list[str]] = {}
        stays = self.spillover.applies_to(service)
        for name in servers:
            domain = self._cluster_state.servers[name].zone if stays else ""
            groups.setdefault(domain, []).append(name)
        return frozenset().union(
            *(
                choose_short_prompt_engines(
                    names,
                    sensitive_demand=demand * len(names) / len(servers),
                    slow=self._loads.slow_engines.names,
                )
                for names in groups.values()
            )
        )

    def _commit(self, exch: Exchange, assignment: ServerAssignment) -> ServerAssignment:
        now = self._clock()
        self._release_reservation(exch)
        position = self._get_position(exch)
        if self._order is not None and position is not None:
            self._order.observe_dispatch(exch, position.queue_class)
        exch.placed_at = now
        placement = assignment.placement
        exch.record(
            "place",
            server=placement.name,
            software_version=assignment.server.software_version,
            predicted=round(placement.predicted, 3),
            cost=round(placement.cost, 3),
            n_candidates=placement.n_candidates,
            backlog=round(assignment.state.backlog, 3),
            n_running=assignment.state.n_running,
            n_uncached=assignment.state.n_uncached,
            n_fetchable=assignment.state.n_fetchable,
            fetch_from=assignment.fetch_from,
            home_rank=assignment.state.home_rank,
            risks_pauses=assignment.state.risks_pauses,
            machine_slowness=round(assignment.state.machine_slowness, 2),
            probe=assignment.state.probe_age is not None,
            confined_for=assignment.confined_for,
            waited=round(now - exch.arrived_at, 3),
            servers_revision=self._cluster_state.servers_revision,
        )
        try:
            self._observe_send(exch, assignment)
        except Exception:
            self.observe_end(exch, placement.name)
            raise
        return assignment

    def observe_end(self, exch: Exchange, server_id: str) -> None:
        """Record that a request no longer occupies the server it was placed on."""
        self._loads.observe_end(exch.exchange_id, server_id)
        self._crash_guard.observe_end(exch)
        self.spillover.observe_end(exch.exchange_id)

    def _observe_send(self, exch: Exchange, assignment: ServerAssignment) -> None:
        placement = assignment.placement
        times = self._loads.get_service_times(exch.service)
        prefill_work = assignment.state.n_prefill_tokens * times.prefill_per_token
        # The load is counted immediately, so that the next decision includes it.
        self._loads.observe_send(
            exch.exchange_id,
            exch.service,
            assignment.state,
            exch.facts.parts,
            placement.predicted,
        )
        self._loads.memory.observe_send(exch, placement.name)
        self._limits.observe_send(placement.name)
        self._cold.observe_send(placement.name)
        self._crash_guard.observe_send(exch, placement.name)
        self.spillover.observe_send(exch, assignment.state)
        if exch.service.engine is not None:
            prefill_sensitive = _is_prefill_sensitive(exch, times)
            self._observe_dispatch(
                exch, placement.name, prefill_work, prefill_sensitive
            )

    def observe_change(self) -> None:
        """Process all queues again after a change of a load or of the servers."""
        is_ordered = self._order is not None and self._order.is_active
        for service, queue in self._queues.items():
            if is_ordered:
                self._schedule_pass(service)
            else:
                call_logged(self._process_queue, queue)

    def _schedule_pass(self, service: str) -> None:
        """Process a queue soon, once for all changes until then."""
        if service not in self._scheduled:
            self._scheduled.add(service)
            pause = self._next_pass_at.get(service, 0.0) - time.monotonic()
            loop = asyncio.get_running_loop()
            loop.call_later(
                min(max(pause, 0.0), RECHECK_INTERVAL), self._run_pass, service
            )

    def _run_pass(self, service: str) -> None:
        self._scheduled.discard(service)
        started_at = time.monotonic()
        queue = self._queues[service]
        if self._order is None or not self._order.is_active:
            self._process_queue(queue)
            return
        queue[:] = [it for it in queue if not it.future.done()]
        for queued in queue:
            queued.position = self._get_position(queued.exch)
        queue.sort(key=_get_sort_key)
        classes = [it.position.queue_class for it in queue if it.position is not None]
        self._order.observe_waiting(service, classes)
        self._place_in_order(service, queue, self._order)
        ended_at = time.monotonic()
        self._next_pass_at[service] = ended_at + PASS_PAUSE_FACTOR * (
            ended_at - started_at
        )

    def _place_in_order(
        self, service: str, queue: list[_QueuedRequest], order: QueueOrder
    ) -> None:
        """Try the waiting requests of a service in their order, reject late ones."""
        has_servers = bool(self.list_usable_servers(service))
        holder, server_id = self._reserved.get(service, (None, None))
        if holder is not None and server_id not in self._cluster_state.servers:
            del self._reserved[service]
        # The others leave the reserved server alone, so its request is always tried.
        ordered = sorted(queue, key=lambda it: it.exch is not holder)
        n_failed: Counter[bool] = Counter()
        n_ahead = 0
        n_tokens_ahead = 0.0
        n_ahead_by_class: Counter[QueueClass] = Counter()
        supply = self._find_token_supply(service)
        late_keys = []
        if supply is not None:
            positions = (it.position for it in queue)
            late_keys = sorted(_make_late_key(it) for it in positions if it)
        for queued in ordered:
            exch, position = queued.exch, queued.position
            assert position is not None
            refusal = None
            limits = supply if _may_use_any_server(exch) else None
            is_closed = limits is not None and limits.waits[0] > 0
            late_rank = 0
            if late_keys:
                late_rank = bisect_left(late_keys, _make_late_key(position))
            times = self._loads.get_service_times(exch.service)
            is_short = self._is_short_prompt(exch, times)
            is_tried = n_failed[is_short] < MAX_FAILED_TRIES or not has_servers
            if is_tried and not is_closed:
                try:
                    if self._place_queued(queue, queued):
                        del late_keys[late_rank : late_rank + 1]
                        if supply is not None:
                            supply = self._find_token_supply(service)
                        continue
                    self._reserve_server(exch)
                    refusal = self._decide_refusal(queued, n_ahead, n_tokens_ahead)
                except Exception as exc:
                    _fail_queued(queue, queued, exc)
                    continue
                n_failed[is_short] += 1
                if exch.service.engine is None and not exch.tried_servers:
                    # No other request of the service finds a server that has capacity.
                    n_failed[is_short] = MAX_FAILED_TRIES
            if refusal is None and limits is not None:
                refusal = order.decide_limited_rejection(
                    exch,
                    position,
                    times,
                    limits,
                    n_ahead=n_ahead,
                    n_ahead_if_late=late_rank,
                )
            if refusal is None and not is_closed:
                refusal = order.decide_rejection(
                    exch,
                    position,
                    times,
                    n_ahead=n_ahead,
                    n_ahead_in_class=n_ahead_by_class[position.queue_class],
                )
            if refusal is None:
                n_ahead += 1
                n_ahead_by_class[position.queue_class] += 1
                n_tokens_ahead += exch.held.n_tokens if exch.held else 0.0
            else:
                queue.remove(queued)
                del late_keys[late_rank : late_rank + 1]
                queued.future.set_exception(refusal)

    def _reserve_server(self, exch: Exchange) -> None:
        """Reserve an engine for the first long prompt that has waited for any.

        Long prompts are sent only to engines whose prefill is almost complete. Without
        a reservation, short prompts that arrive later would keep all engines busy.
        """
        service = exch.service.name
        waited = self._clock() - exch.arrived_at
        times = self._loads.get_service_times(exch.service)
        if (
            exch.service.engine is None
            or service in self._reserved
            or self._is_short_prompt(exch, times)
            or not accepts_any_server(waited=waited, target=exch.rule.target)
        ):
            return
        servers = {it.server_id: it for it in self._list_open_servers(service)}
        states = self._make_states(exch, servers, times)
        if len(states) > 1:
            nearest = min(states, key=lambda it: predict_first_token(it, times))
            self._reserved[service] = (exch, nearest.name)

    def _release_reservation(self, exch: Exchange) -> None:
        """Release the server that is reserved for a request which waits no more."""
        holder, _ = self._reserved.get(exch.service.name, (None, None))
        if holder is exch:
            del self._reserved[exch.service.name]

    def _get_reserved_server(self, exch: Exchange) -> str | None:
        """Return the server that is reserved for another request than this one."""
        holder, server_id = self._reserved.get(exch.service.name, (None, None))
        if holder is None or holder is exch or holder.priority > exch.priority:
            return None
        return server_id

    def _make_queue_key(self, queued: _QueuedRequest) -> QueueKey:
        exch = queued.exch
        prefill_per_token = self._loads.get_service_times(
            exch.service
        ).prefill_per_token
        return make_queue_key(
            priority=exch.priority,
            arrived_at=exch.arrived_at,
            time_to_target=exch.target_at - self._clock(),
            prefill_time=exch.n_tokens * prefill_per_token,
        )

    def _process_queue(self, queue: list[_QueuedRequest]) -> None:
        n_ahead, n_tokens_ahead = 0, 0.0
        for queued in sorted(queue, key=self._make_queue_key):
            assert queued.future is not None
            if queued.future.done():
                continue
            try:
                if self._place_queued(queue, queued):
                    continue
                refusal = self._decide_refusal(queued, n_ahead, n_tokens_ahead)
            except Exception as exc:
                _fail_queued(queue, queued, exc)
                continue
            if refusal is None:
                n_ahead += 1
                if queued.exch.held is not None:
                    n_tokens_ahead += queued.exch.held.n_tokens
            else:
                queue.remove(queued)
                queued.future.set_exception(refusal)

    def _place_queued(
        self, queue: list[_QueuedRequest], queued: _QueuedRequest
    ) -> bool:
        """Assign a server to a waiting request; return False if it waits on."""
        assert queued.future is not None
        assignment = self._try_place(queued.exch)
        if assignment is None:
            return False
        queue.remove(queued)
        queued.future.set_result(self._commit(queued.exch, assignment))
        return True

    def _decide_refusal(
        self,
        queued: _QueuedRequest,
        n_ahead: int,
        n_tokens_ahead: float,
        *,
        dry_run: bool = False,
    ) -> Refusal | None:
        exch = queued.exch
        now = self._clock()
        if now < queued.check_at:
            return None
        queued.check_at = now + MIN_REFUSAL_CHECK_INTERVAL
        servers = [
            it
            for it in self.list_usable_servers(exch.service.name)
            if exch.can_run_at(it)
        ]
        if not servers:
            # Evacuated servers do not come back within the wait.
            is_evacuated = any(
                it.zone in self._cluster_state.evacuated
                for it in self._list_staying(exch.service.name)
            )
            if not is_evacuated and now - queued.queued_at < NO_SERVER_WAIT:
                return None
            return Refusal(
                503,
                "no_server",
                _describe_missing_server(exch),
                Verdict.NOT_RUN,
                retry_after=NO_SERVER_RETRY_AFTER,
            )
        prediction = self._predict_answer(
            exch, servers, n_ahead, n_tokens_ahead, dry_run=dry_run
        )
        predicted = prediction.total
        time_left = exch.deadline - now
        decision = decide_wait(
            predicted_first_token=predicted,
            time_left=time_left,
            time_to_target=exch.target_at - now,
        )
        if decision.wait:
            pause = max(MIN_REFUSAL_CHECK_INTERVAL, (time_left - predicted) / 2)
            queued.check_at = now + min(pause, MAX_REFUSAL_CHECK_INTERVAL)
            return None
        if self._order is not None and not dry_run:
            self._order.observe_rejection(
                exch,
                evidence=prediction.evidence,
                wait=predicted,
                n_ahead=n_ahead,
                n_tokens_ahead=round(n_tokens_ahead),
                memory_wait=round(prediction.memory_wait, 3),
                n_free=prediction.n_free,
            )
        return Refusal(
            503,
            "too_late",
            decision.reason,
            Verdict.NOT_RUN,
            retry_after=decision.retry_after,
        )

    def _predict_answer(
        self,
        exch: Exchange,
        servers: list[Registration],
        n_ahead: int,
        n_tokens_ahead: float,
        *,
        dry_run: bool = False,
    ) -> _AnswerPrediction:
        """Return an optimistic time to the first token or answer."""
        times = self._loads.get_service_times(exch.service)
        states = self._loads.make_states(
            exch.service,
            servers,
            exch.facts.parts,
            exch.n_tokens,
            exch.held,
            may_probe=False,
        )
        memory_wait, n_free = 0.0, len(states)
        if exch.held is not None and not any(it.has_room for it in states):
            memory = self._loads.memory
            if not dry_run:
                waited = self._clock() - exch.arrived_at
                memory.try_reserve(exch, (it.name for it in states), waited=waited)
            free = [it.n_free_tokens or 0.0 for it in states]
            memory_wait = memory.predict_wait(exch, n_tokens_ahead, free)
            n_free = sum(it >= exch.held.n_tokens for it in free)
        earliest = min(
            _predict_earliest_answer(exch, state, times)
            + self.get_server_wait(state.name, dry_run=dry_run)
            for state in states
        )
        queue_wait = self._predict_queue_wait(servers, n_ahead, dry_run=dry_run)
        return _AnswerPrediction(earliest, queue_wait, memory_wait, n_free)

    def _predict_queue_wait(
        self, servers: list[Registration], n_ahead: int, *, dry_run: bool = False
    ) -> float:
        """Return the time that the limits of all servers add to a wait, in seconds.

        It is 0 if one of the servers does not limit the rate of its requests.
        """
        limits, cold = self._limits, self._cold
        get_rate = limits.peek_rate if dry_run else limits.get_rate
        get_cold_rate = cold.peek_rate if dry_run else cold.get_rate
        total_rate = sum(
            min(get_rate(it.server_id), get_cold_rate(it.server_id)) for it in servers
        )
        return n_ahead / total_rate if total_rate else 0.0

    def _find_token_supply(
        self, service: str, *, dry_run: bool = False
    ) -> TokenSupply | None:
        """Return what may be sent to servers that all limit the rate of requests.

        None if a usable server has no limit, or if other nodes share all limits.
        """
        limits, cold = self._limits, self._cold
        get_rate = limits.peek_rate if dry_run else limits.get_rate
        get_cold_rate = cold.peek_rate if dry_run else cold.get_rate
        waits, total_rate = [], 0.0
        for it in self.list_usable_servers(service):
            rate = get_rate(it.server_id)
            if math.isinf(rate):
                return None
            rate = min(rate, get_cold_rate(it.server_id))
            if rate:
                total_rate += rate
                waits.append(self.get_server_wait(it.server_id, dry_run=dry_run))
        return TokenSupply(tuple(sorted(waits)), total_rate) if waits else None

    async def run(self) -> None:
        """Process all queues periodically while requests wait, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(RECHECK_INTERVAL)
            self.observe_change()
            if not any(self._queues.values()):
                self._has_waiting.clear()


def _fail_queued(
    queue: list[_QueuedRequest], queued: _QueuedRequest, exc: Exception
) -> None:
    """End the wait of a request whose placement failed; the others are placed."""
    if queued in queue:
        queue.remove(queued)
    if queued.future is not None and not queued.future.done():
        queued.future.set_exception(exc)


def _get_sort_key(queued: _QueuedRequest) -> QueueKey:
    assert queued.position is not None
    return queued.position.key


def _make_late_key(position: QueuePosition) -> tuple[int, int, float]:
    """Return the key of a request among those that are late."""
    priority, share_rank, _, arrived_at = position.key
    return priority, share_rank, arrived_at


def _may_use_any_server(exch: Exchange) -> bool:
    return exch.origin is None and not exch.misdirected_servers


def _list_ahead(
    queue: list[_QueuedRequest], position: QueuePosition | None
) -> list[Exchange]:
    """Return the waiting requests that precede one; none without shares."""
    if position is None:
        return []
    return [
        it.exch
        for it in queue
        if it.position is not None and it.position.key <= position.key
    ]


def _describe_missing_server(exch: Exchange) -> str:
    message = f"service {exch.service.name} has no available server"
    if exch.origin is not None:
        message += f" of version {exch.origin.version or '(none)'}"
    return message


def _make_limits(exch: Exchange, waited: float) -> ResponseLimits:
    engine = exch.service.engine
    return ResponseLimits(
        time_to_target=exch.rule.target - waited,
        max_pause=exch.rule.max_pause if exch.rule.streams else 0.0,
        n_tokens_per_event=engine.n_tokens_per_event if engine else 1,
    )


def _is_prefill_sensitive(exch: Exchange, times: ServiceTimes) -> bool:
    """Return whether prefill of long prompts would delay events of a stream."""
    engine = exch.service.engine
    if engine is None or not exch.rule.streams:
        return False
    return is_prefill_sensitive(
        times,
        max_pause=exch.rule.max_pause,
        n_tokens_per_event=engine.n_tokens_per_event,
    )


def _predict_earliest_answer(
    exch: Exchange, state: ServerState, times: ServiceTimes
) -> float:
    """Return an optimistic time to the first token or answer on a server, in seconds.

    For an engine it consists of the backlog and of the prefill of the prompt at normal
    speed, without the base time. The backlog and the slowness of a plain server are
    ignored: if the answers of all servers are overdue at once, this node itself has
    most likely been paused.
    """
    if exch.service.engine is None:
        return predict_first_token(
            replace(state, backlog=0.0, slowness=1.0, machine_slowness=1.0), times
        )
    return (
        state.backlog * state.slowness
        + state.n_prefill_tokens * times.prefill_per_token
    )


def _predict_prefill_time(state: ServerState, times: ServiceTimes) -> float:
    """Return the prefill time of a request's prompt in seconds, including slowness."""
    slowness = state.slowness * state.machine_slowness
    return state.n_prefill_tokens * times.prefill_per_token * slowness
