"""Load estimates of all backend servers and the states of placement candidates."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from ..platform import PromptPart, ServerLoad
from ..policy import (
    MAX_TRIAL_INTERVAL,
    HeldRequest,
    LinkTimes,
    ProbeBudget,
    ServerSpeed,
    ServerState,
    ServiceTimes,
    SlotCapacity,
    SlowEngines,
    draw_rejection_pause,
    has_brittle_room,
    rank_by_hash,
    select_speeds,
)
from ..routing import Registration, ServiceSpec
from ._memory_tracker import MemoryTracker
from ._server_view import (
    INITIAL_SUSPENSION,
    MAX_SLOWNESS,
    MAX_SUSPENSION,
    MIN_SLOWNESS,
    PEER_LIFETIME,
    REPLACED_LIFETIME,
    SMOOTHING,
    DomainPartition,
    PeerLoad,
    RunningRequest,
    ServerView,
    ServiceTimesEstimator,
)

log = logging.getLogger(__name__)

# Number of servers to which all nodes prefer to send prompts with the same prefix.
N_PREFERRED_SERVERS = 2
TRIAL_WAIT = 0.05  # seconds until a server on trial is looked at again
PEER_REPORT_DELAY = 0.01  # seconds that a report from another node took, at least
# Before, differences to the initial values of the service would count as those of the
# server that answered first.
MIN_SERVICE_SAMPLES = 20
MIN_MEASURED_TIMES = 15  # responses after which a lasting speed is known
SLOW_MACHINE = 1.5  # slowness from which a machine is logged as slow
SPEED_LOG_INTERVAL = 0.5  # seconds between log lines about the speed of one server
MAX_REPORTED = 200  # servers of which a node reports the learned slots
# Ages in messages are rounded and do not include the time of the transfer.
CAPACITY_AGE_ERROR = 0.1  # seconds
MIN_FETCH_TOKENS = 1_500  # shortest prefix, in tokens, that is worth fetching


class LoadTracker:
    """Tracker of the load, cache, speed and reachability of all backend servers.

    Parameters
    ----------
    domain : str
        Failure domain of this node.

    Attributes
    ----------
    views : dict of str to ServerView
        Estimated states by server id.
    estimators : dict of str to ServiceTimesEstimator
        Estimators of response times by service.
    announce_speeds : callable
        Called when a response to this node first shows that a machine has become slow
        or usual; set when the node starts.
    uses_speed : bool
        Whether reported speeds of machines are used; set when the node starts.
    random_state : random.Random
        Source of the choice of servers to probe.
    slow_engines : SlowEngines
        Engines that are reserved for short prompts last.
    links : LinkTimes
        Measured delay and failures of the links to failure domains.
    memory : MemoryTracker
        Tokens that requests of all nodes hold at the engines.
    count_waiting : callable
        Returns the number of requests of a service that wait at this node.
    """

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self._partitions: dict[str, DomainPartition] = {}
        self._loaded_by_peer: dict[str, set[str]] = {}
        self.views: dict[str, ServerView] = {}
        self.estimators: dict[str, ServiceTimesEstimator] = {}
        self.random_state = random.Random()
        self.announce_speeds: Callable[[], None] = lambda: None
        self.uses_speed = True
        self.slow_engines = SlowEngines()
        self._probe_budgets: dict[str, ProbeBudget] = {}
        self._invalid_speeds: set[str] = set()
        self.links = LinkTimes(domain)
        self.memory = MemoryTracker()
        self.count_waiting: Callable[[str], int] = lambda _: 0
        self._brittle_services: dict[str, float] = {}

    def get_view(self, server_id: str) -> ServerView:
        """Return the view of a server, creating it if the server is new."""
        view = self.views.get(server_id)
        if view is None:
            view = self.views[server_id] = ServerView()
        return view

    def _read_view(self, server_id: str) -> ServerView:
        """Return the view of a server, or that of an unknown server."""
        return self.views.get(server_id) or ServerView()

    def get_service_times(self, spec: ServiceSpec) -> ServiceTimes:
        """Return the estimated times of a service."""
        estimator = self.estimators.get(spec.name) or ServiceTimesEstimator(
            plain=spec.engine is None
        )
        times = estimator.estimate()
        if spec.engine is not None:
            return replace(times, per_fetched=spec.engine.transfer_time_per_token)
        return times

    def _get_estimator(self, spec: ServiceSpec) -> ServiceTimesEstimator:
        estimator = self.estimators.get(spec.name)
        if estimator is None:
            estimator = self.estimators[spec.name] = ServiceTimesEstimator(
                plain=spec.engine is None
            )
        return estimator

    def make_states(
        self,
        spec: ServiceSpec,
        servers: Iterable[Registration],
        parts: tuple[PromptPart, ...],
        n_tokens: int,
        request: HeldRequest | None = None,
        *,
        may_probe: bool = True,
    ) -> list[ServerState]:
        """Return the states of the candidate servers of a request.

        Parameters
        ----------
        spec : ServiceSpec
            Service of the request.
        servers : iterable of Registration
            Candidate servers.
        parts : tuple of PromptPart
            Prompt parts of the request.
        n_tokens : int
            Length of the prompt in tokens.
        request : HeldRequest or None
            Tokens that the request will occupy; None sets no bound.
        may_probe : bool, default=True
            Whether the request may be sent to an avoided server to learn its speed.

        Returns
        -------
        list of ServerState
            States of the servers that are not suspended, neither themselves nor with
            their failure domain, or of all servers if every one is suspended.
        """
        now = time.monotonic()
        # Runs for each engine of the service and each decision, so that views and
        # suspensions are looked up once.
        candidates = [(it, self._read_view(it.server_id)) for it in servers]
        cut_off = {name for name in self._partitions if self._is_cut_off(name, now)}
        available = [
            (server, view)
            for server, view in candidates
            if view.suspended_until <= now and server.zone not in cut_off
        ] or candidates
        preferred_ranks = _rank_preferred_servers([it for it, _ in available], parts)
        source = self._find_prefix_source(spec, parts)
        n_slots = spec.engine.n_slots if spec.engine else None
        reports_speed = any(view.speed.has_reports for _, view in available)
        probe = None
        if may_probe and reports_speed:
            probe = self._choose_probe(spec, available, now)
        compute_room = None
        if request is not None:
            compute_room = self.memory.make_room_function(
                spec,
                request,
                trial=self.memory.choose_trial_server(
                    spec, request, [it.server_id for it, _ in candidates]
                ),
                contended=self.count_waiting(spec.name) > 1,
            )
        states = []
        for server, view in available:
            speed = view.speed.estimate(now) if reports_speed else None
            has_memory, n_free_tokens = True, None
            if compute_room is not None:
                has_memory, n_free_tokens = compute_room(server.server_id)
            cached = view.count_cached(parts) if view.cached_parts else 0
            # Fewer tokens than MIN_FETCH_TOKENS are not fetched (`source` is None), but
            # they still count as fetchable: the predictions include the time of a
            # transfer instead of their prefill.
            n_fetchable = max(0, source[1] - cached) if source else 0
            states.append(
                ServerState(
                    name=server.server_id,
                    domain=server.zone,
                    n_running=view.count_running(now),
                    n_slots=n_slots or server.n_slots,
                    backlog=view.total_prefill_time(now),
                    n_uncached=max(0, n_tokens - cached),
                    n_fetchable=n_fetchable,
                    source=source[0]
                    if source and n_fetchable >= MIN_FETCH_TOKENS
                    else None,
                    slowness=speed.fixed_slowness
                    if speed and view.speed.has_reports
                    else view.slowness,
                    failure_share=view.failure_share(now),
                    home_rank=preferred_ranks.get(server.server_id),
                    machine_slowness=speed.machine_slowness if speed else 1.0,
                    speed_error=speed.error if speed else None,
                    probe_age=probe[1]
                    if probe and probe[0] == server.server_id
                    else None,
                    has_room=has_memory and self._has_slot(server, view, n_slots),
                    n_free_tokens=n_free_tokens,
                )
            )
        return states

    def _choose_probe(
        self, spec: ServiceSpec, rows: list[tuple[Registration, ServerView]], now: float
    ) -> tuple[str, float] | None:
        budget = self._probe_budgets.setdefault(
            spec.name, ProbeBudget(self.random_state.random())
        )
        if budget.credit < 1.0:
            return None
        # Nodes of the other failure domains probe their servers.
        speeds = [
            (
                server.server_id,
                view.speed.estimate(now),
                _has_unmeasured_work(server, view, now),
            )
            for server, view in rows
            if server.zone == self.domain
        ]
        return budget.choose(speeds, random_state=self.random_state)

    def _has_slot(
        self, server: Registration, view: ServerView, n_slots: int | None
    ) -> bool:
        """Return whether this node may send a request to a server that is brittle.

        Slots are the least of those that the configuration, the registration, the
        server and its rejections state. A registration of one slot may lack the number.
        """
        if not view.has_answered and server.service in self._brittle_services:
            # A server that failed comes back under a new id.
            view.max_rejections = self._brittle_services[server.service]
        if view.max_rejections is None:
            return True
        server_id, now = server.server_id, time.monotonic()
        turn = self.memory.has_turn(server_id)
        if view.on_trial and not turn:
            return False
        limits = [it for it in (n_slots, server.n_slots) if it is not None and it > 1]
        if view.reported_load is not None and view.reported_load.n_slots > 0:
            limits.append(view.reported_load.n_slots)
        if view.slot_capacity is None:
            view.slot_capacity = SlotCapacity.start(min(limits, default=1), now)
        limits.append(view.slot_capacity.get_limit(now, turn=turn))
        return has_brittle_room(
            n_running=self.memory.count_running(server_id, len(view.running)),
            n_slots=min(limits),
            turn=turn,
            contended=self.count_waiting(server.service) > 1,
        )

    def _find_prefix_source(
        self, spec: ServiceSpec, parts: tuple[PromptPart, ...]
    ) -> tuple[str, int] | None:
        """Return the server with the longest fetchable prefix, and its tokens.

        Servers of all services are compared, except those that are suspended
        themselves; a suspension of their failure domain does not exclude them. The
        result is None if the service has no engines or they do not transfer cache
        entries, or if no fetchable prefix has at least ``MIN_FETCH_TOKENS`` tokens.
        """
        if spec.engine is None or not spec.engine.transfer_time_per_token:
            return None
        now = time.monotonic()
        best: tuple[str, int] | None = None
        for server_id, view in self.views.items():
            if view.suspended_until > now or not view.cached_parts:
                continue
            n_tokens = view.count_fetchable(parts, now)
            if n_tokens >= MIN_FETCH_TOKENS and (best is None or n_tokens > best[1]):
                best = (server_id, n_tokens)
        return best

    def observe_send(
        self,
        exchange_id: int,
        spec: ServiceSpec,
        state: ServerState,
        parts: tuple[PromptPart, ...],
        predicted: float,
    ) -> None:
        """Add a request that is sent to a server.

        Parameters
        ----------
        exchange_id : int
            Identifier of the request on this node.
        spec : ServiceSpec
            Service of the request.
        state : ServerState
            State of the server at the time of the decision.
        parts : tuple of PromptPart
            Prompt parts of the request.
        predicted : float
            Predicted time to the first token or answer, in seconds.
        """
        view = self.get_view(state.name)
        now = time.monotonic()
        prefill_time = (
            state.n_prefill_tokens
            * self.get_service_times(spec).prefill_per_token
            * view.slowness
            * state.machine_slowness
        )
        budget = self._probe_budgets.get(spec.name)
        if budget is not None:
            budget.observe_request(is_probe=state.probe_age is not None)
        view.observe_prefill(prefill_time, now)
        view.running[exchange_id] = RunningRequest(
            prefill_time=prefill_time,
            sent_at=now,
            predicted=predicted,
            n_uncached=state.n_prefill_tokens,
            unqueued=state.backlog < 0.005 and state.n_running < state.n_slots,
            parts=parts,
            log_slowness=view.speed.compute_log_reported(now),
            domain=state.domain,
        )
        if spec.engine is not None:
            view.cache_capacity = spec.engine.n_cache_tokens
            view.observe_parts(parts, ready_at=now + predicted)
        if view.max_rejections is not None:
            self.memory.announce(state.name)

    def observe_response_start(
        self, exchange_id: int, spec: ServiceSpec, server_id: str
    ) -> None:
        """Update the estimates that depend on the time to the first token or answer.

        Parameters
        ----------
        exchange_id : int
            Identifier of the request on this node.
        spec : ServiceSpec
            Service of the request.
        server_id : str
            Server that sent the answer.
        """
        view = self.get_view(server_id)
        request = view.running.get(exchange_id)
        if request is None or request.has_started:
            return
        request.has_started = True
        now = time.monotonic()
        elapsed = now - request.sent_at
        view.on_trial = False
        self.memory.observe_started(server_id)
        self._observe_slot(server_id, view, now)
        view.observe_prefill_done(request.parts, now)
        view.observe_prediction_error(elapsed - request.predicted, now)
        view.suspension = INITIAL_SUSPENSION
        for partition in self._partitions.values():
            if server_id in partition.unreachable_servers:
                partition.unreachable_servers.clear()
                partition.suspended_until = float("-inf")
        if request.unqueued:
            # The slowness of a server in another domain includes the delay of the link.
            slowness = view.slowness
            if view.speed.has_reports:
                slowness = view.speed.estimate(now).fixed_slowness
            usual = request.predicted / max(slowness, MIN_SLOWNESS)
            self.links.observe_answer(request.domain, elapsed - usual, now)
        if view.speed.has_reports:
            self._observe_time(spec, view, request, elapsed, now)
            return
        if request.unqueued:
            ratio = elapsed / max(request.predicted, 0.005) * view.slowness
            sample = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
            view.slowness += SMOOTHING * (sample - view.slowness)
        if request.unqueued and view.slowness < 2.0:
            self._get_estimator(spec).observe(request.n_uncached, elapsed)

    def _observe_time(
        self,
        spec: ServiceSpec,
        view: ServerView,
        request: RunningRequest,
        elapsed: float,
        now: float,
    ) -> None:
        """Update the estimates of a server that reports the slowness of its machine."""
        estimator = self._get_estimator(spec)
        if estimator.n_samples >= MIN_SERVICE_SAMPLES:
            view.speed.observe_time(
                elapsed,
                request.predicted,
                log_sent=request.log_slowness,
                queued=not request.unqueued,
                now=now,
            )
        view.slowness = view.speed.estimate(now).fixed_slowness
        if request.unqueued:
            log_reported = view.speed.compute_log_reported(now)
            log_mean = (
                view.speed.sensitivity * (request.log_slowness + log_reported) / 2
            )
            estimator.observe(request.n_uncached, elapsed / math.exp(log_mean))

    def observe_token_time(
        self, spec: ServiceSpec, server_id: str, token_time: float
    ) -> None:
        """Update a service's time per output token with that of a complete stream.

        Parameters
        ----------
        spec : ServiceSpec
            Service of the stream.
        server_id : str
            Server that sent the stream.
        token_time : float
            Mean time between two output tokens, in seconds.
        """
        view = self.get_view(server_id)
        if view.speed.has_reports:
            speed = view.speed.estimate(time.monotonic())
            slowness = speed.machine_slowness * speed.fixed_slowness
            self._get_estimator(spec).observe_token_time(token_time / slowness)

    def observe_end(self, exchange_id: int, server_id: str) -> None:
        """Remove a request whose attempt has ended.

        Parameters
        ----------
        exchange_id : int
            Identifier of the request on this node.
        server_id : str
            Server that the request was sent to.
        """
        view = self.get_view(server_id)
        view.running.pop(exchange_id, None)
        self.memory.observe_end(exchange_id, server_id)
        if view.max_rejections is not None:
            self.memory.announce(server_id)

    def is_memory_full(self, server_id: str) -> bool:
        """Return whether a server's memory was full within the last second."""
        return self.memory.is_full(server_id)

    def is_suspended(self, server_id: str, domain: str) -> bool:
        """Return whether a server gets no requests after failed connections.

        Parameters
        ----------
        server_id : str
            Server to look up.
        domain : str
            Failure domain of the server.

        Returns
        -------
        bool
            Whether the server or its whole failure domain is suspended.
        """
        now = time.monotonic()
        if self._is_cut_off(domain, now):
            return True
        return self._read_view(server_id).suspended_until > now

    def _is_cut_off(self, domain: str, now: float) -> bool:
        partition = self._partitions.get(domain)
        return partition is not None and now < partition.suspended_until

    def observe_unreachable(self, server_id: str, domain: str = "") -> None:
        """Suspend a server that could not be used, and clear its cached parts.

        Its failure domain is suspended as a whole if ``MIN_UNREACHABLE_SERVERS`` of its
        servers fail with at most ``UNREACHABLE_WINDOW`` between the failures.

        Parameters
        ----------
        server_id : str
            Server that could not be reached or whose address another server now has.
        domain : str, default=""
            Failure domain of the server; this node's own domain is never suspended
            as a whole. The empty string leaves the domain out of account.
        """
        view = self.get_view(server_id)
        now = time.monotonic()
        if domain:
            self.links.observe_connect_failure(domain, now)
        if domain not in ("", self.domain):
            partition = self._partitions.setdefault(domain, DomainPartition())
            partition.observe_unreachable(server_id, now)
        view.suspended_until = now + view.suspension
        view.suspension = min(MAX_SUSPENSION, 2 * view.suspension)
        view.cached_parts.clear()
        view.n_cached_tokens = 0

    def observe_replaced(self, server_id: str, new_id: str) -> None:
        """Send nothing to a server at whose address another one answers.

        Parameters
        ----------
        server_id : str
            Server that the address was registered for.
        new_id : str
            Server that answered.
        """
        view = self.get_view(server_id)
        now = time.monotonic()
        if not view.is_replaced(now):
            log.info(
                "another server answers at the address of a registered one",
                extra={"server": server_id, "new_server": new_id},
            )
        view.replaced_until = now + REPLACED_LIFETIME

    def is_replaced(self, server_id: str) -> bool:
        """Return whether another server has lately answered at a server's address."""
        view = self.views.get(server_id)
        return view is not None and view.is_replaced(time.monotonic())

    def observe_retry_after(self, server_id: str, seconds: float) -> None:
        """Store for how long a server wants no requests from this node.

        Parameters
        ----------
        server_id : str
            Server that refused a request.
        seconds : float
            Time from now, in seconds.
        """
        view = self.get_view(server_id)
        view.refuses_until = max(view.refuses_until, time.monotonic() + seconds)

    def get_refusal_time(self, server_id: str) -> float:
        """Return for how long a server still wants no requests, in seconds."""
        view = self._read_view(server_id)
        if view.on_trial and view.running:
            return TRIAL_WAIT
        return max(0.0, view.refuses_until - time.monotonic())

    def observe_answer(
        self, server_id: str, service: str, max_rejections: float | None
    ) -> None:
        """Store how many rejections a second a server and its service bear.

        Parameters
        ----------
        server_id, service : str
            Server that answered, and its service.
        max_rejections : float or None
            Rejections a second; None if the server does not limit them.
        """
        self.get_view(server_id).has_answered = True
        if max_rejections is None:
            self._brittle_services.pop(service, None)
        else:
            self._brittle_services[service] = max_rejections
        self.observe_brittle(server_id, max_rejections)

    def observe_brittle(self, server_id: str, max_rejections: float | None) -> None:
        """Store how many rejections a second a server bears, by its last answer.

        Parameters
        ----------
        server_id : str
            Server that answered.
        max_rejections : float or None
            Rejections a second; None if the server does not limit them.
        """
        view = self.get_view(server_id)
        if view.max_rejections != max_rejections:
            log.warning(
                "rejections that a backend server bears changed",
                extra={"server": server_id, "max_rejections": max_rejections},
            )
        view.max_rejections = max_rejections

    def observe_rejection(
        self,
        server_id: str,
        max_rejections: float,
        *,
        random_state: random.Random,
    ) -> None:
        """Send nothing to a brittle server for a while after it rejected a request.

        Parameters
        ----------
        server_id : str
            Server that rejected a request of any node.
        max_rejections : float
            Rejections a second that the server bears.
        random_state : random.Random
            Source of the variation between nodes.
        """
        # One node at a time has the turn to try again.
        pause = draw_rejection_pause(
            max_rejections, n_nodes=1, random_state=random_state
        )
        self.observe_brittle(server_id, max_rejections)
        self.observe_retry_after(server_id, pause)
        self.get_view(server_id).on_trial = True

    def observe_report(self, server_id: str, load: ServerLoad) -> None:
        """Store the load that a server reported with an answer.

        Parameters
        ----------
        server_id : str
            Reporting server.
        load : ServerLoad
            Load from the headers of the answer.
        """
        view = self.get_view(server_id)
        now = time.monotonic()
        view.reported_load, view.reported_at = load, now
        if load.has_invalid_slowness and server_id not in self._invalid_speeds:
            self._invalid_speeds.add(server_id)
            log.warning(
                "a backend server reports an invalid speed of its machine",
                extra={"server": server_id},
            )
        if self.uses_speed and load.slowness is not None:
            if not view.speed.has_reports:
                view.speed = ServerSpeed(log_fixed=math.log(view.slowness))
            view.speed.observe_own_report(load.slowness, now)
            self._log_speed(server_id, view, now, is_own=True)
        self.memory.observe_report(
            server_id,
            self.memory.count_running(server_id, len(view.running)),
            load.n_running + load.n_waiting,
        )

    def _log_speed(
        self, server_id: str, view: ServerView, now: float, *, is_own: bool = False
    ) -> None:
        slowness = view.speed.estimate(now).machine_slowness
        if (slowness > SLOW_MACHINE) == view.is_slow:
            return
        if now - view.speed_logged_at >= SPEED_LOG_INTERVAL:
            view.is_slow, view.speed_logged_at = not view.is_slow, now
            log.info(
                "speed of a backend server's machine changed",
                extra={"server": server_id, "slowness": round(slowness, 2)},
            )
            if is_own:
                self.announce_speeds()

    def decide_slow_engines(self, time_of_day: float) -> None:
        """Decide which engines have a lasting speed below that of the others.

        Called on the holder of the duties.
        """
        slownesses = {
            server_id: view.slowness
            for server_id, view in self.views.items()
            if view.speed.n_times >= MIN_MEASURED_TIMES and view.cached_parts
        }
        if self.slow_engines.decide(slownesses, time_of_day):
            self._log_slow_engines()

    def merge_slow_engines(
        self, decided_at: float, names: Iterable[str], time_of_day: float
    ) -> None:
        """Take over a newer decision of another node about slow engines."""
        if self.slow_engines.merge(decided_at, list(names), time_of_day):
            self._log_slow_engines()

    def _log_slow_engines(self) -> None:
        names = sorted(self.slow_engines.names)
        log.info("engines reserved for short prompts last", extra={"servers": names})

    def list_speeds(self) -> dict[str, tuple[float, float]]:
        """Return the machines' slowness and its age for the nodes of this domain."""
        speeds = {
            server_id: view.speed
            for server_id, view in self.views.items()
            if view.speed.has_reports
        }
        return select_speeds(speeds, time.monotonic())

    def observe_peer_speeds(self, speeds: Mapping[str, tuple[float, float]]) -> None:
        """Store what another node knows of the machines' slowness.

        Parameters
        ----------
        speeds : mapping of str to (float, float)
            Slowness and age of the report in seconds, by server. Servers that this node
            does not know yet are left out.
        """
        if not self.uses_speed:
            return
        now = time.monotonic()
        for server_id, (slowness, age) in speeds.items():
            view = self.views.get(server_id)
            if view is None:
                continue
            if not view.speed.has_reports:
                view.speed = ServerSpeed(log_fixed=math.log(view.slowness))
            view.speed.observe_report(slowness, now - max(0.0, age) - PEER_REPORT_DELAY)
            self._log_speed(server_id, view, now)

    def learn_capacity(self, server_id: str) -> int:
        """Lower the slots of a server that has rejected a request of this node.

        Returns
        -------
        int
            Number of requests that the server is believed to run concurrently.
        """
        view, now = self.get_view(server_id), time.monotonic()
        n_running = self.memory.count_running(server_id, len(view.running))
        report = view.reported_load
        if report is not None and report.n_running and now - view.reported_at < 0.05:
            # The rejection states how many requests run.
            n_running = min(n_running, report.n_running + 1)
        self._set_capacity(
            server_id,
            SlotCapacity.learn(view.slot_capacity, n_running=n_running, now=now),
        )
        assert view.slot_capacity is not None
        return view.slot_capacity.n_slots

    def _observe_slot(self, server_id: str, view: ServerView, now: float) -> None:
        """Raise the slots of a server that accepted one request more."""
        capacity = view.slot_capacity
        if capacity is None or view.max_rejections is None:
            return
        n_running = self.memory.count_running(server_id, len(view.running))
        if capacity.observe_accepted(n_running, now):
            self._log_capacity(server_id, capacity.n_slots)

    def _set_capacity(self, server_id: str, capacity: SlotCapacity) -> None:
        view = self.get_view(server_id)
        before, view.slot_capacity = view.slot_capacity, capacity
        if before is None or before.n_slots != capacity.n_slots:
            self._log_capacity(server_id, capacity.n_slots)

    def _log_capacity(self, server_id: str, n_slots: int) -> None:
        log.warning(
            "capacity of a brittle server changed",
            extra={"server": server_id, "slots": n_slots},
        )

    def list_capacities(self) -> dict[str, tuple[int, float]]:
        """Return the learned slots of servers and their ages in seconds."""
        now = time.monotonic()
        rows = {
            server_id: (view.slot_capacity.n_slots, now - view.slot_capacity.changed_at)
            for server_id, view in self.views.items()
            if view.slot_capacity is not None and view.slot_capacity.trial_interval
        }
        return {
            server_id: (n_slots, round(age, 2))
            for server_id, (n_slots, age) in list(rows.items())[-MAX_REPORTED:]
        }

    def merge_capacities(self, rows: Mapping[str, tuple[int, float]]) -> None:
        """Take over slots of servers that other nodes have learned more recently."""
        now = time.monotonic()
        for server_id, (n_slots, age) in rows.items():
            view = self.views.get(server_id)
            if view is None or n_slots < 1:
                continue
            known, learned_at = view.slot_capacity, now - max(0.0, age)
            if known is None or not known.trial_interval:
                self._set_capacity(server_id, SlotCapacity(n_slots, learned_at))
            elif learned_at > known.changed_at + CAPACITY_AGE_ERROR:
                interval = known.trial_interval
                if n_slots < known.n_slots:
                    interval = min(MAX_TRIAL_INTERVAL, 2 * interval)
                capacity = SlotCapacity(n_slots, learned_at, interval)
                self._set_capacity(server_id, capacity)

    def observe_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, tuple[int, float]],
        *,
        lifetime: float = PEER_LIFETIME,
    ) -> None:
        """Replace the loads reported by a peer or by another failure domain.

        Parameters
        ----------
        peer : str
            Name of the peer or of the failure domain.
        loads : mapping of str to (int, float)
            Number of running requests and outstanding prefill work in seconds, by
            server id; a missing server has no load.
        lifetime : float, default=2.5
            Time for which the loads are used, in seconds.
        """
        now = time.monotonic()
        for server_id in self._loaded_by_peer.get(peer, set()) - loads.keys():
            if server_id in self.views:
                self.views[server_id].peer_loads.pop(peer, None)
        for server_id, (n_running, prefill_time) in loads.items():
            load = PeerLoad(n_running, prefill_time, now, now + lifetime)
            self.get_view(server_id).peer_loads[peer] = load
        self._loaded_by_peer[peer] = set(loads)

    def observe_parts(self, server_id: str, parts: Sequence[PromptPart]) -> None:
        """Add prompt parts that were sent to a server.

        The parts count as cached at once. Parts that the server did not have cached
        count as fetchable after the prefill work that is outstanding on it now.

        Parameters
        ----------
        server_id : str
            Server that got the prompt.
        parts : sequence of PromptPart
            Parts of the prompt.
        """
        view = self.get_view(server_id)
        now = time.monotonic()
        ready_at = now
        if any(part.part_id not in view.cached_parts for part in parts):
            ready_at += view.total_prefill_time(now)
        view.observe_parts(parts, ready_at=ready_at)

    def observe_load_update(
        self,
        peer: str,
        server_id: str,
        n_running: int,
        prefill_time: float,
        parts: Iterable[PromptPart],
    ) -> None:
        """Store the load and prompt parts that a peer announced for one server.

        Parameters
        ----------
        peer : str
            Name of the peer.
        server_id : str
            Server that runs the peer's requests.
        n_running : int
            Number of the peer's running requests on the server.
        prefill_time : float
            Outstanding prefill work of these requests, in seconds.
        parts : iterable of PromptPart
            Prompt parts that the server caches after this work.
        """
        view = self.get_view(server_id)
        now = time.monotonic()
        view.peer_loads[peer] = PeerLoad(
            n_running, prefill_time, now, now + PEER_LIFETIME
        )
        self._loaded_by_peer.setdefault(peer, set()).add(server_id)
        view.observe_parts(parts, ready_at=now + prefill_time)

    def get_own_load(self, server_id: str) -> tuple[int, float]:
        """Return this node's running requests and prefill seconds on one server."""
        view = self.get_view(server_id)
        prefill_time = view.sum_own_prompts(time.monotonic())
        return len(view.running), round(prefill_time, 3)

    def reports_speed(self, server_id: str) -> bool:
        """Return whether a server has reported the speed of its machine."""
        load = self._read_view(server_id).reported_load
        return load is not None and load.slowness is not None

    def count_by_source(self, server_id: str) -> dict[str, int]:
        """Return the requests that run on a server, by who sent them.

        Parameters
        ----------
        server_id : str
            Server to look up.

        Returns
        -------
        dict of str to int
            Numbers of requests by failure domain or peer; this node's are under the
            name of its failure domain.
        """
        view = self._read_view(server_id)
        now = time.monotonic()
        counts = {
            peer: load.n_running
            for peer, load in view.peer_loads.items()
            if now < load.valid_until
        }
        counts[self.domain] = len(view.running)
        return counts

    def list_own_loads(self) -> dict[str, tuple[int, float]]:
        """Return this node's load on each server.

        Returns
        -------
        dict of str to (int, float)
            Number of running requests and outstanding prefill work in seconds, by
            server id. Servers without a request of this node are left out.
        """
        return {
            server_id: self.get_own_load(server_id)
            for server_id, view in self.views.items()
            if view.running
        }

    def sum_loads(self, peers: Iterable[str]) -> dict[str, tuple[int, float]]:
        """Return the summed load of this node and the given peers on each server.

        Parameters
        ----------
        peers : iterable of str
            Names of the peers to include.

        Returns
        -------
        dict of str to (int, float)
            Number of running requests and outstanding prefill work in seconds, by
            server id. Servers without requests are left out.
        """
        now = time.monotonic()
        names = frozenset(peers)
        sums = {}
        for server_id, view in self.views.items():
            n_running, prefill_time = self.get_own_load(server_id)
            for peer, load in view.peer_loads.items():
                if peer in names and now < load.valid_until:
                    n_running += load.n_running
                    prefill_time += load.remaining_prefill_time(now)
            if n_running:
                sums[server_id] = (n_running, round(prefill_time, 2))
        return sums

    def forget(self, server_id: str) -> None:
        """Drop the view of an unregistered server that runs no request of this node.

        Parameters
        ----------
        server_id : str
            Unregistered server.
        """
        view = self.views.get(server_id)
        if view is not None and not view.running:
            del self.views[server_id]
        self._invalid_speeds.discard(server_id)
        self.memory.forget(server_id)


def _has_unmeasured_work(server: Registration, view: ServerView, now: float) -> bool:
    """Return whether a probe is under way, or would have to wait for other requests."""
    return (
        any(not it.has_started for it in view.running.values())
        or view.total_prefill_time(now) > 0
        or view.count_running(now) >= server.n_slots
    )


def _rank_preferred_servers(
    servers: list[Registration], parts: tuple[PromptPart, ...]
) -> dict[str, int]:
    """Return the ranks of the preferred servers of a prompt, by server id.

    Preferred servers are chosen by hashing the last shared part of the prompt, so that
    all nodes choose the same ones without coordination. The last part of a prompt is
    specific to the request, so the one before it is the last shared part.
    """
    if len(parts) < 2:
        return {}
    ranked = rank_by_hash(parts[-2].part_id, sorted(it.server_id for it in servers))
    return {name: rank for rank, name in enumerate(ranked[:N_PREFERRED_SERVERS])}
