"""Cost-based placement of requests on backend servers.

The cost model is designed for bursts of long prompts that share a prefix. Prefill of an
uncached prefix delays every other request on the engine, so its time is weighted and a
wait for an engine that has the prefix cached can be cheaper. Each prefix has the same
preferred servers on all nodes, by hashing and without coordination. Short urgent
requests avoid engines with pending prefill of long prompts, and streams that tolerate
only short pauses (see ``_prefill_isolation``) avoid all engines that serve long
prompts. Traffic between failure domains has a cost per byte, usually far below that of
another prefill.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from ._server_speed import (
    LATE_PENALTY,
    MIN_TOLERANCE,
    choose_similar,
    compute_late_probability,
    may_probe,
)

# Traffic between failure domains is billed by the byte. At the more expensive site, the
# bytes of a long prompt cost about an eighth of another prefill of its shared prefix
# (0.35 s, multiplied by the weight below).
CROSS_DOMAIN_COST_PER_BYTE = 4.5e-6  # seconds
# Time that a failed attempt costs the caller: a retry on a new connection.
FAILURE_PENALTY = 3.0  # seconds
# Prefill delays the other requests on the engine and is billed even if another engine
# has already processed the same tokens. Its time is counted this many times in addition
# to the wait of the request itself.
PREFILL_WEIGHT = 2.0
# Additional weight of cache entries that are transferred from another engine instead,
# as a multiple of the prefill time saved; a transfer is billed at about a quarter of
# prefill.
TRANSFER_WEIGHT = 0.55
# A stream that tolerates only short pauses mostly misses its target on an engine that
# serves long prompts. The penalty is the delay that is accepted to avoid such an
# engine, about half of the usual target.
PAUSE_PENALTY = 0.25  # seconds
# Other nodes learn of a short request only after about half a second. In a burst, an
# engine receives as many requests in that time as take it this long to serve.
SHORT_PROMPT_JITTER = 0.06  # seconds
# Fraction of the weighted prefill time that is deducted for the first and the second
# preferred server of a prompt, because other nodes send the same prefix there.
AFFINITY_DISCOUNTS = (0.8, 0.4)
# Initial value of a service's time per output token, on a well-filled engine.
INITIAL_TOKEN_TIME = 0.012  # seconds


@dataclass(frozen=True, slots=True)
class ServerState:
    """State of a candidate server for a request, as known to this node.

    Attributes
    ----------
    name : str
        Name of the server.
    domain : str
        Failure domain of the server.
    n_running, n_slots : int
        Number of requests on the server, including those of other nodes as far as
        known, and number of its slots.
    backlog : float
        Prefill time ahead of a new request, in seconds.
    n_uncached : int
        Number of the request's prompt tokens that the server does not have cached.
    n_fetchable : int
        Number of the uncached tokens whose cache entries can be transferred from
        another engine.
    source : str or None
        Name of the engine to transfer from; None if too few tokens could be
        transferred.
    slowness : float
        Lasting ratio of measured to predicted times; 1 is normal.
    machine_slowness : float
        Time that work takes on the server's machine now, relative to the usual time.
    speed_error : float or None
        Relative error of predicted times; None if no server of the service reports the
        slowness of its machine.
    probe_age : float or None
        Age of what is known of an avoided server's speed, in seconds, if the request
        may be sent there to learn whether it is still slow; None if it may not.
    failure_share : float
        Fraction of the server's recent answers that failed, between 0 and 1.
    home_rank : int or None
        Rank of the server among the preferred servers of the request's prompt,
        starting at 0; None for other servers.
    risks_pauses : bool
        Whether the server may run prefill of long prompts that would delay the
        request's stream beyond its longest tolerated pause.
    has_room : bool
        False for a server that must not reject requests and may be full, and for one
        whose memory has no room for the request.
    n_free_tokens : float or None
        Tokens of the server's memory that requests may still fill; None if not bounded.
    """

    name: str
    domain: str
    n_running: int
    n_slots: int
    backlog: float = 0.0
    n_uncached: int = 0
    n_fetchable: int = 0
    source: str | None = None
    slowness: float = 1.0
    failure_share: float = 0.0
    home_rank: int | None = None
    risks_pauses: bool = False
    has_room: bool = True
    machine_slowness: float = 1.0
    speed_error: float | None = None
    probe_age: float | None = None
    n_free_tokens: float | None = None

    @property
    def n_prefill_tokens(self) -> int:
        """Number of prompt tokens that need prefill on the server."""
        return max(0, self.n_uncached - self.n_fetchable)


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Parameters of the latency model for the servers of a service.

    Attributes
    ----------
    base : float
        Time to the first token without prefill, or duration of a call to a plain
        server, in seconds.
    prefill_per_token : float
        Prefill time per prompt token, in seconds.
    per_running_request : float
        Delay caused by each concurrent request on the server, in seconds.
    per_fetched : float
        Time to transfer the cache entry of a prompt token from another engine, in
        seconds.
    per_output_token : float
        Time between two output tokens, in seconds.
    """

    base: float
    prefill_per_token: float = 0.0
    per_running_request: float = 0.0
    per_fetched: float = 0.0
    per_output_token: float = INITIAL_TOKEN_TIME


@dataclass(frozen=True, slots=True)
class Placement:
    """Chosen server with its predicted latency and cost.

    Attributes
    ----------
    name : str
        Name of the chosen server.
    predicted : float
        Predicted time to the first token or answer, in seconds.
    cost : float
        Cost by which servers were compared, in seconds.
    n_candidates : int
        Number of servers that were compared.
    crossing : bool
        Whether the server is in another failure domain than the node.
    """

    name: str
    predicted: float
    cost: float
    n_candidates: int
    crossing: bool


def predict_first_token(state: ServerState, times: ServiceTimes) -> float:
    """Predict the time to the first token or answer of a request.

    Parameters
    ----------
    state : ServerState
        State of the server for the request.
    times : ServiceTimes
        Latency parameters of the service.

    Returns
    -------
    float
        Predicted time in seconds.
    """
    prefill_time = state.n_prefill_tokens * times.prefill_per_token
    prefill_time += state.n_fetchable * times.per_fetched
    interference = state.n_running * times.per_running_request
    queue_factor = max(0, state.n_running + 1 - state.n_slots) / max(1, state.n_slots)
    # The backlog is known as time on the machine, with its slowness.
    work_time = prefill_time + times.base * (1 + queue_factor) + interference
    return (state.backlog + work_time * state.machine_slowness) * state.slowness


def predict_pause(
    state: ServerState, times: ServiceTimes, *, n_tokens_per_event: int
) -> float:
    """Predict the time between two events of a stream.

    Parameters
    ----------
    state : ServerState
        State of the server for the request.
    times : ServiceTimes
        Latency parameters of the service.
    n_tokens_per_event : int
        Number of output tokens in one event.

    Returns
    -------
    float
        Predicted time in seconds, without prefill of other prompts.
    """
    token_time = times.per_output_token * state.machine_slowness * state.slowness
    return n_tokens_per_event * token_time


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Times after which a caller counts a response as late.

    Attributes
    ----------
    time_to_target : float
        Time until the first event or answer is late, in seconds.
    max_pause : float
        Longest allowed time between two events, in seconds; 0 if not declared.
    n_tokens_per_event : int
        Number of output tokens in one event.
    """

    time_to_target: float
    max_pause: float = 0.0
    n_tokens_per_event: int = 1


def decide_placement(
    states: Sequence[ServerState],
    times: ServiceTimes,
    *,
    domain: str,
    n_bytes: int = 0,
    jitter: float = 0.0,
    limits: ResponseLimits | None = None,
    random_state: Random | None = None,
    connected: Collection[str] = (),
    connection_preference: float = 0.0,
) -> Placement | None:
    """Choose a server with the lowest expected cost.

    If the servers report the slowness of their machines, the choice is random among
    those whose costs do not differ by more than the error of their predictions.

    Parameters
    ----------
    states : sequence of ServerState
        Candidate servers.
    times : ServiceTimes
        Latency parameters of the service.
    domain : str
        Failure domain of this node.
    n_bytes : int, default=0
        Size of the request and its answer, in bytes.
    jitter : float, default=0.0
        Upper bound of the random cost that is added to each server, in seconds.
        Nodes with the same knowledge then do not all choose the same server.
    limits : ResponseLimits or None
        Times after which the response is late. Only servers with a ``speed_error`` are
        compared by the probability that it is.
    random_state : random.Random or None
        Source of the jitter and of the choice among similar servers; None adds none.
    connected : collection of str
        Servers to which the node has an idle connection.
    connection_preference : float, default=0.0
        Delay that is accepted to reuse a connection, in seconds: opening one costs the
        server time that its other requests lack.

    Returns
    -------
    Placement or None
        Chosen server; None if there are no candidates.
    """
    placements = []
    for state in states:
        predicted = predict_first_token(state, times)
        crossing = state.domain != domain
        cost = _compute_cost(state, times, predicted)
        lateness = 0.0
        if limits is not None and state.speed_error is not None:
            lateness = _predict_lateness(state, times, limits, predicted)
            cost += LATE_PENALTY * lateness
        if random_state is not None:
            cost += jitter * random_state.random()
        if connection_preference and state.name in connected:
            cost -= connection_preference
        if crossing:
            cost += CROSS_DOMAIN_COST_PER_BYTE * n_bytes
        placement = Placement(state.name, predicted, cost, len(states), crossing)
        if state.has_room and may_probe(state.probe_age, lateness):
            return placement
        placements.append((placement, state))
    if not placements:
        return None
    if random_state is None or all(it.speed_error is None for it in states):
        return min(placements, key=lambda row: row[0].cost)[0]
    best = min((it for it, _ in placements), key=lambda it: it.cost)
    shortest = min(it.predicted for it, _ in placements)

    def get_tolerance(row: tuple[Placement, ServerState]) -> float:
        if row[0].crossing and not best.crossing:
            # Bytes between failure domains are billed whatever the error is.
            return 0.0
        return max(MIN_TOLERANCE, (row[1].speed_error or 0.0) * shortest)

    placement, _ = choose_similar(
        placements,
        get_cost=lambda row: row[0].cost,
        get_tolerance=get_tolerance,
        get_utilization=lambda row: row[1].n_running / max(1, row[1].n_slots),
        random_state=random_state,
    )
    return placement


def _compute_cost(state: ServerState, times: ServiceTimes, predicted: float) -> float:
    """Return the cost of a server for a request, without the traffic, in seconds."""
    prefill_time = state.n_prefill_tokens * times.prefill_per_token * state.slowness
    prefill_time *= state.machine_slowness
    cost = predicted + PREFILL_WEIGHT * prefill_time
    cost += TRANSFER_WEIGHT * state.n_fetchable * times.prefill_per_token
    cost += FAILURE_PENALTY * state.failure_share
    if state.risks_pauses:
        cost += PAUSE_PENALTY
    if state.home_rank is not None and state.home_rank < len(AFFINITY_DISCOUNTS):
        discount = AFFINITY_DISCOUNTS[state.home_rank]
        cost -= discount * (1 + PREFILL_WEIGHT) * prefill_time
    return cost


def _predict_lateness(
    state: ServerState, times: ServiceTimes, limits: ResponseLimits, predicted: float
) -> float:
    """Return the probability that the first event or a pause is late."""
    error = state.speed_error or 0.0
    on_time = 1.0 - compute_late_probability(predicted, limits.time_to_target, error)
    if limits.max_pause > 0:
        pause = predict_pause(
            state, times, n_tokens_per_event=limits.n_tokens_per_event
        )
        on_time *= 1.0 - compute_late_probability(pause, limits.max_pause, error)
    return 1.0 - on_time
