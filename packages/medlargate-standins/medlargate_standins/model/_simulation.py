"""Simulated nodes that run the real schedulers against engine models."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from medlargate.policy import (
    Assignment,
    BackendView,
    Candidate,
    ConcurrencyLimit,
    CrashTracker,
    Job,
    OutputEstimator,
    PoolOptions,
    PoolScheduler,
    Preemption,
    RetryBudget,
    Shed,
    Verdict,
    compute_work,
    decide_quotas,
    decide_retry,
    decide_share,
    rank_backends,
)

from ._engines import EngineModel, Stream, VirtualClock

SCHEDULING_INTERVAL = 0.05  # seconds between two runs of each scheduler
EXCHANGE_INTERVAL = 0.5  # seconds between two exchanges of state among the nodes
N_TOP_CUSTOMERS = 16  # rows of customer work that a node sends in an exchange


@dataclass(frozen=True)
class Variant:
    """Scheduling policy under comparison.

    Attributes
    ----------
    name : str
        Label of the policy in tables.
    fair : bool
        Whether tiers, fair queueing and early rejection are in use. False gives
        first-come, first-served order.
    sharing : str
        How the nodes divide the slots of an engine. ``"each"`` sets no shares, so
        that every node may use all slots up to its own limit. ``"reports"`` sets no
        shares either, but deducts the load of the other nodes: the load that the
        engine last reported, less the node's own requests in flight. ``"split"``
        gives equal shares, ``"demand"`` shares by demand, ``"demand+reports"`` both
        shares by demand and the deduction. ``"owner"`` gives each node its requests in
        flight and an equal part, rounded up, of the slots that are free at the
        exchange.
    preempt : bool
        Whether urgent higher-tier requests preempt lower-tier streams.
    share_work : bool
        Whether the nodes send each other the work of their heaviest customers, at
        most ``N_TOP_CUSTOMERS`` rows in an exchange. Without effect if ``fair`` is
        False.
    ranking : str
        Order of the candidate servers: ``"expected"`` by predicted first-token time,
        ``"round_robin"`` in turn, or ``"omniscient"`` by the exact time to first
        token of every engine with a free slot, ignoring shares and the job's
        exclusions.
    overflow : bool
        Whether urgent requests may exceed a node's share of slots.
    """

    name: str
    fair: bool = True
    sharing: str = "demand"
    preempt: bool = True
    share_work: bool = True
    ranking: str = "expected"
    overflow: bool = True


@dataclass(frozen=True)
class Profile:
    """Request class of a scenario.

    Attributes
    ----------
    name, pool : str
        Name of the request class and of the pool that serves it.
    tier : int
        Priority tier; 0 is the highest.
    first_token, interval : float
        Latency targets in seconds: time to first token and time between tokens.
    mean_output_tokens, mean_prompt_tokens : float
        Mean number of tokens of an answer and of a prompt.
    heavy_tail : bool
        Whether output lengths follow a Pareto distribution instead of a normal one.
    repeatable : bool
        Whether a request may be executed again after a failed attempt.
    cheap : bool
        Whether requests may run on cheap servers.
    min_share : float
        Fraction of the work of other classes that is credited to the class while it has
        waiting requests.
    """

    name: str
    pool: str
    tier: int
    first_token: float
    interval: float
    mean_output_tokens: float
    mean_prompt_tokens: float
    heavy_tail: bool = False
    repeatable: bool = True
    cheap: bool = True
    min_share: float = 0.05


@dataclass
class Outcome:
    """Outcome of one request.

    Attributes
    ----------
    profile : Profile
        Request class.
    customer : str
        Customer that sent the request.
    arrived_at, ended_at : float
        Virtual times of arrival and end.
    n_tokens : int
        Number of output tokens of a complete answer.
    state : str
        ``"open"``, ``"done"``, ``"shed"`` or ``"failed"``.
    first_at : float or None
        Virtual time of the first token.
    wasted_seconds : float
        Slot-seconds spent on a failed request or on repeated prefill.
    n_sent : int
        Number of attempts sent to engines.
    cheap_tokens : int
        Number of tokens generated on cheap servers.
    slot_seconds : float
        Slot-seconds of all attempts.
    """

    profile: Profile
    customer: str
    arrived_at: float
    n_tokens: int
    state: str = "open"
    first_at: float | None = None
    ended_at: float = 0.0
    wasted_seconds: float = 0.0
    n_sent: int = 0
    cheap_tokens: int = 0
    slot_seconds: float = 0.0

    @property
    def met(self) -> bool:
        """Whether the answer was complete and met both latency targets."""
        if self.state != "done" or self.first_at is None:
            return False
        pause = (self.ended_at - self.first_at) / max(1, self.n_tokens)
        return (
            self.first_at - self.arrived_at <= self.profile.first_token
            and pause <= self.profile.interval
        )


def _make_ranking(
    kind: str, engines: dict[str, EngineModel]
) -> Callable[..., tuple[Candidate, ...]]:
    if kind == "expected":
        return rank_backends
    counter = itertools.count()

    def rank_in_turn(job, views, **options) -> tuple[Candidate, ...]:
        ranked = rank_backends(job, views, **options)
        if not ranked:
            return ()
        first = next(counter) % len(ranked)
        by_name = sorted(ranked, key=lambda candidate: candidate.backend)
        return tuple(by_name[first:] + by_name[:first])

    def rank_omniscient(job, views, **options) -> tuple[Candidate, ...]:
        """Rank by exact times to first token, which no real node can know."""
        free = [
            engine
            for engine in (engines[view.name] for view in views)
            if engine.up and engine.n_present < engine.batch
        ]
        free.sort(key=lambda engine: engine.compute_first_token(job))
        return tuple(
            Candidate(engine.name, engine.compute_first_token(job), 0.0, False)
            for engine in free
        )

    return rank_omniscient if kind == "omniscient" else rank_in_turn


class SimulatedNode:
    """Router node with one scheduler per pool and its requests in flight."""

    def __init__(self, sim: Simulation, name: str, domain: str, seed: int) -> None:
        self.sim = sim
        self.name = name
        self.domain = domain
        self.budget = RetryBudget()
        self.crashes = CrashTracker()
        self.estimator = OutputEstimator()
        self.schedulers: dict[str, PoolScheduler] = {}
        self.streams: dict[str, tuple[Stream, EngineModel]] = {}
        self.n_tokens_done: dict[str, int] = defaultdict(int)
        self.n_attempts: dict[str, int] = defaultdict(int)
        self.unreported_work: dict[tuple[str, str, str], float] = defaultdict(float)
        for pool, engines in sim.pools.items():
            options = PoolOptions(
                domain=domain,
                fair=sim.variant.fair,
                preempt=sim.variant.preempt,
                overflow=sim.variant.overflow,
                ranking=_make_ranking(sim.variant.ranking, sim.engines),
            )
            scheduler = PoolScheduler(pool, options=options, random_state=seed)
            for engine in engines:
                limit = ConcurrencyLimit(engine.batch)
                scheduler.views[engine.name] = BackendView(
                    engine.name, engine.failure_domain, engine.cheap, limit
                )
            self.schedulers[pool] = scheduler

    def handle_arrival(self, job: Job, outcome: Outcome) -> None:
        """Estimate the work of a new request and queue or reject it."""
        now = self.sim.clock.now
        route = outcome.profile.name
        output = self.estimator.predict(job.customer, route)
        job.work = compute_work(job.prompt_tokens, 0, output)
        shed = self.schedulers[job.pool].observe_arrival(job, now)
        if shed is not None:
            self._record_shed(shed)
        self.run_scheduler(job.pool)

    def _record_shed(self, shed: Shed) -> None:
        outcome = self.sim.outcomes[shed.job.request_id]
        outcome.state = "shed"
        outcome.ended_at = self.sim.clock.now

    def run_scheduler(self, pool: str) -> None:
        """Run the scheduler of a pool and carry out its decisions."""
        scheduler = self.schedulers[pool]
        for decision in scheduler.decide(self.sim.clock.now):
            match decision:
                case Assignment():
                    self._dispatch(decision)
                case Shed():
                    self._record_shed(decision)
                case Preemption():
                    self._preempt(decision)

    def _dispatch(self, assignment: Assignment) -> None:
        job, engine = assignment.job, self.sim.engines[assignment.backend]
        outcome = self.sim.outcomes[job.request_id]
        sent_at = self.sim.clock.now
        outcome.n_sent += 1
        if outcome.n_sent == 1:
            self.unreported_work[job.pool, job.class_name, job.customer] += (
                job.charged_work
            )
        self.n_attempts[job.request_id] += 1
        scheduler = self.schedulers[job.pool]

        def on_first() -> None:
            scheduler.observe_first_token(job, self.sim.clock.now - sent_at)
            if outcome.first_at is None:
                outcome.first_at = self.sim.clock.now
            else:
                outcome.wasted_seconds += stream.slot_seconds(self.sim.clock.now)

        def on_end(n_tokens: int, finished: bool) -> None:
            outcome.slot_seconds += stream.slot_seconds(self.sim.clock.now)
            self._handle_stream_end(job, outcome, engine, stream, n_tokens, finished)

        n_remaining = outcome.n_tokens - self.n_tokens_done[job.request_id]
        stream = Stream(job, n_remaining, on_first, on_end)
        self.streams[job.request_id] = (stream, engine)
        engine.start(stream)

    def _handle_stream_end(
        self,
        job: Job,
        outcome: Outcome,
        engine: EngineModel,
        stream: Stream,
        n_tokens: int,
        finished: bool,
    ) -> None:
        now = self.sim.clock.now
        self.streams.pop(job.request_id, None)
        scheduler = self.schedulers[job.pool]
        self.n_tokens_done[job.request_id] += n_tokens
        if engine.cheap:
            outcome.cheap_tokens += n_tokens
        if finished:
            self._record_completion(job, outcome, engine, stream, now)
        else:
            scheduler.observe_dispatch_end(job, now, completed=False)
            scheduler.observe_failure(engine.name, now)
            self._retry(job, outcome, engine)
        self.run_scheduler(job.pool)

    def _record_completion(
        self,
        job: Job,
        outcome: Outcome,
        engine: EngineModel,
        stream: Stream,
        now: float,
    ) -> None:
        scheduler = self.schedulers[job.pool]
        total = self.n_tokens_done[job.request_id]
        work = compute_work(job.prompt_tokens, 0, total)
        outcome.state = "done"
        outcome.ended_at = now
        view = scheduler.views[engine.name]
        interval = (now - stream.decoding_at) / max(1, stream.n_tokens)
        view.observe_interval(interval, target=job.token_interval, now=now)
        charged = job.charged_work
        scheduler.observe_dispatch_end(job, now, work=work)
        self.estimator.observe(job.customer, outcome.profile.name, total)
        self.budget.observe_success()
        self.crashes.observe_success(job.fingerprint)
        self.unreported_work[job.pool, job.class_name, job.customer] += work - charged
        self.sim.completed_work.append((now, job.customer, job.class_name, work))

    def _retry(self, job: Job, outcome: Outcome, engine: EngineModel) -> None:
        now = self.sim.clock.now
        job.excluded_backends.add(engine.name)
        decision = decide_retry(
            job,
            Verdict.MAY_HAVE_RUN,
            n_attempts=self.n_attempts[job.request_id],
            budget=self.budget,
            now=now,
            delivered=outcome.first_at is not None,
        )
        crash = self.crashes.decide(job.fingerprint, now)
        if not decision.should_retry or not crash.run:
            outcome.state = "failed"
            outcome.ended_at = now
            outcome.wasted_seconds = outcome.slot_seconds
            return
        job.isolated = crash.isolated
        job.resumed = outcome.first_at is not None
        self.schedulers[job.pool].observe_requeue(job, now)

    def _preempt(self, decision: Preemption) -> None:
        job = decision.victim
        active = self.streams.pop(job.request_id, None)
        if active is None:
            return
        stream, engine = active
        n_cancelled = engine.cancel(stream)
        outcome = self.sim.outcomes[job.request_id]
        outcome.slot_seconds += stream.slot_seconds(self.sim.clock.now)
        self.n_tokens_done[job.request_id] += n_cancelled
        scheduler = self.schedulers[job.pool]
        scheduler.observe_dispatch_end(job, self.sim.clock.now, completed=False)
        job.resumed = True
        scheduler.observe_requeue(job, self.sim.clock.now)
        self.run_scheduler(job.pool)

    def observe_crash(self, engine: EngineModel, running: list[str]) -> None:
        """Record an engine crash that the fleet reported, with its running requests."""
        self.crashes.observe_crash(
            engine.name,
            running,
            now=self.sim.clock.now,
            domain=engine.failure_domain,
        )


@dataclass
class Simulation:
    """Discrete-event simulation of a fleet of nodes, engines and callers.

    Attributes
    ----------
    variant : Variant
        Scheduling policy of the nodes.
    clock : VirtualClock
        Clock that runs the events of the simulation.
    pools : dict of str to list of EngineModel
        Engines of each pool.
    n_nodes : int
        Number of nodes.
    domains : list of str
        Failure domains, to which the nodes are assigned in turn.
    seed : int
        Seed of the arrivals, prompt and output lengths, and node selection. The
        scheduler of each node is seeded with the node's index instead.
    outcomes : dict of str to Outcome
        Outcome of each request by request id.
    completed_work : list of (float, str, str, float)
        Completion time, customer, request class and work of each completed request.
    engines : dict of str to EngineModel
        All engines by name.
    nodes : list of SimulatedNode
        All nodes.
    n_crashes : int
        Number of engine crashes so far.
    """

    variant: Variant
    clock: VirtualClock
    pools: dict[str, list[EngineModel]]
    n_nodes: int
    domains: list[str]
    seed: int = 1
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    completed_work: list[tuple[float, str, str, float]] = field(default_factory=list)
    engines: dict[str, EngineModel] = field(default_factory=dict)
    nodes: list[SimulatedNode] = field(default_factory=list)
    n_crashes: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.engines = {e.name: e for es in self.pools.values() for e in es}
        for index in range(self.n_nodes):
            domain = self.domains[index % len(self.domains)]
            self.nodes.append(SimulatedNode(self, f"node-{index}", domain, index))
        self.clock.call_at(0.0, self._run_schedulers)
        self.clock.call_at(0.0, self._exchange_state)

    def _run_schedulers(self) -> None:
        for node in self.nodes:
            for pool in node.schedulers:
                node.run_scheduler(pool)
        self.clock.call_at(self.clock.now + SCHEDULING_INTERVAL, self._run_schedulers)

    def _exchange_state(self) -> None:
        """Exchange state among the nodes, in place of heartbeats."""
        self._update_shares()
        if self.variant.share_work and self.variant.fair:
            self._exchange_work()
        self.clock.call_at(self.clock.now + EXCHANGE_INTERVAL, self._exchange_state)

    def _update_shares(self) -> None:
        for pool, engines in self.pools.items():
            demands = {
                node.name: node.schedulers[pool].snapshot_demand(self.clock.now)
                for node in self.nodes
            }
            waiting = {
                node.name: node.schedulers[pool].snapshot_waiting()
                for node in self.nodes
            }
            equal = dict.fromkeys(demands, 1.0)
            for node in self.nodes:
                scheduler = node.schedulers[pool]
                scheduler.observe_remote_waiting(
                    _sum_remote_waiting(waiting, node.name)
                )
                quotas = decide_quotas(scheduler.count_slots(self.clock.now), demands)
                for engine in engines:
                    view = scheduler.views[engine.name]
                    self._update_view(view, engine, node.name, quotas, equal)

    def _update_view(
        self,
        view: BackendView,
        engine: EngineModel,
        node: str,
        quotas: dict[str, float],
        equal: dict[str, float],
    ) -> None:
        limit = view.limit.get_limit()
        match self.variant.sharing:
            case "reports":
                view.others = max(0, engine.reported_load - view.in_flight)
            case "split":
                view.share = decide_share(engine.name, limit, equal, node)
            case "demand":
                view.share = decide_share(engine.name, limit, quotas, node)
            case "demand+reports":
                view.share = decide_share(engine.name, limit, quotas, node)
                view.others = max(0, engine.reported_load - view.in_flight)
            case "owner":
                # The grants of a central owner, delayed only by the exchange interval.
                free = limit - engine.n_present
                view.share = view.in_flight + max(0, free) // len(self.nodes)
                view.share += free % len(self.nodes) > 0 and free > 0

    def _exchange_work(self) -> None:
        for node in self.nodes:
            heaviest = sorted(
                node.unreported_work.items(), key=lambda item: -abs(item[1])
            )[:N_TOP_CUSTOMERS]
            for (pool, cls, customer), work in heaviest:
                for other in self.nodes:
                    if other is not node:
                        scheduler = other.schedulers[pool]
                        scheduler.observe_remote_work(cls, customer, work)
            node.unreported_work.clear()

    def add_arrivals(
        self,
        profile: Profile,
        customer: str,
        rate: Callable[[float], float],
        *,
        max_rate: float,
        end: float,
        node_index: int | None = None,
        weight: float = 1.0,
    ) -> None:
        """Schedule the requests of a customer as a Poisson process of varying rate.

        Parameters
        ----------
        profile : Profile
            Class of the requests.
        customer : str
            Customer that sends the requests.
        rate : callable
            Function from a virtual time to the arrival rate, in requests per second.
        max_rate : float
            Upper bound of ``rate``; candidate arrivals are drawn at this rate and
            thinned to ``rate``.
        end : float
            Virtual time after which no request arrives.
        node_index : int or None
            Node that receives all requests; a random node for each request if None.
        weight : float, default=1.0
            Fair-queueing weight of the customer.
        """
        rng = random.Random(f"{self.seed}/{profile.name}/{customer}")

        def handle_candidate() -> None:
            if rng.random() < rate(self.clock.now) / max_rate:
                self._send_request(profile, customer, rng, node_index, weight)
            next_at = self.clock.now + rng.expovariate(max_rate)
            if next_at < end:
                self.clock.call_at(next_at, handle_candidate)

        self.clock.call_at(rng.expovariate(max_rate), handle_candidate)

    def _send_request(
        self,
        profile: Profile,
        customer: str,
        rng: random.Random,
        node_index: int | None,
        weight: float,
    ) -> None:
        now = self.clock.now
        n_tokens = _draw_length(profile, rng)
        request_id = f"r{len(self.outcomes)}"
        job = Job(
            request_id=request_id,
            customer=customer,
            class_name=profile.name,
            pool=profile.pool,
            tier=profile.tier,
            arrived_at=now,
            deadline=now + profile.first_token,
            weight=weight,
            token_interval=profile.interval,
            min_share=profile.min_share,
            repeatable=profile.repeatable,
            cheap_allowed=profile.cheap,
            prefix_hash=rng.randrange(50),
            prompt_tokens=int(rng.expovariate(1 / profile.mean_prompt_tokens)) + 1,
            fingerprint=request_id,
        )
        self.outcomes[request_id] = Outcome(profile, customer, now, n_tokens)
        index = node_index if node_index is not None else rng.randrange(len(self.nodes))
        self.nodes[index].handle_arrival(job, self.outcomes[request_id])

    def crash(self, names: list[str], downtime: float) -> None:
        """Crash engines for ``downtime`` seconds and notify every node.

        All running requests are recorded before the first engine stops.
        """
        running = {}
        for name in names:
            engine = self.engines[name]
            present = [*engine.running, *engine.queue]
            running[name] = [stream.job.fingerprint for stream in present]
        for name in names:
            self.n_crashes += 1
            for node in self.nodes:
                node.observe_crash(self.engines[name], running[name])
        for name in names:
            self.engines[name].crash(downtime)


def _sum_remote_waiting(waiting: dict[str, dict[int, int]], own: str) -> dict[int, int]:
    merged: dict[int, int] = defaultdict(int)
    for node, counts in waiting.items():
        if node != own:
            for tier, n in counts.items():
                merged[tier] += n
    return merged


def _draw_length(profile: Profile, rng: random.Random) -> int:
    if not profile.heavy_tail:
        return max(
            1,
            int(
                rng.gauss(profile.mean_output_tokens, profile.mean_output_tokens * 0.2)
            ),
        )
    shape = 1.6
    scale = profile.mean_output_tokens * (shape - 1) / shape
    return max(
        1,
        min(
            int(profile.mean_output_tokens * 12), int(scale * rng.paretovariate(shape))
        ),
    )
