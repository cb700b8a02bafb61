"""Which backend server gets a request.

Answers the load pattern of long prompts that share their beginnings, in bursts. Reading
a prompt's beginning again delays every request of that engine and is priced, so that
the engine that already holds it is worth waiting for; all nodes presume the same home
for the same beginning without asking each other. Short urgent requests keep away from
engines that still read long prompts, and streams with short pauses (``_lanes``) from
all that read such. Crossing failure domains costs by the byte, mostly
far less than reading again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# Bytes between failure domains are priced; at the dearer site a long prompt's bytes
# cost about an eighth of reading its shared beginning (0.35 s, weighed below) again.
CROSSING_PER_BYTE = 4.5e-6  # seconds
# What a failed attempt costs a caller, as time: a retry on a new connection.
FAILURE_PENALTY = 3.0  # seconds
# Reading delays the others on that engine and is priced when it was read elsewhere:
# it weighs this much beyond the time that the request itself waits for it.
READING_WEIGHT = 2.0
# The same for memory that is moved from another engine instead: priced at about a
# quarter of reading.
TRANSFER_WEIGHT = 0.55
# A stream with short pauses is mostly late at an engine that reads long prompts; so
# much delay it accepts to go to one that reads none, about half the usual target.
PAUSE_RISK = 0.25  # seconds
# Of short requests other nodes hear only after about half a second, in which a wave
# brings as many to an engine as it takes this long to serve.
SHORT_PROMPT_JITTER = 0.06  # seconds
# Share of the reading that the first and second choice for a prompt are presumed to
# save, since other nodes send the same beginning there.
HOME_SAVINGS = (0.8, 0.4)


@dataclass(frozen=True, slots=True)
class ServerState:
    """One candidate as the node knows it.

    Attributes
    ----------
    name : str
        The server.
    domain : str
        Its failure domain.
    n_running, n_slots : int
        Requests on it, of all nodes as far as known, and its slots.
    backlog : float
        Reading of prompts ahead of a new request, seconds.
    n_uncached : int
        Prompt tokens of this request that it does not hold.
    n_fetchable : int
        Those of them that it can take over from another engine.
    source : str or None
        That engine; None when too little would be moved.
    slowness : float
        Measured times over predicted ones; 1 is normal.
    failure_share : float
        Share of its recent answers that failed, 0 to 1.
    home_rank : int or None
        0 for the first choice for this request's prompt, 1 for the second.
    risks_pauses : bool
        It reads long prompts, and this request's stream does not bear that.
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

    @property
    def n_prefill_tokens(self) -> int:
        """Prompt tokens that it has to read."""
        return max(0, self.n_uncached - self.n_fetchable)


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """How long a service's servers take.

    Attributes
    ----------
    base : float
        Seconds to the first token, or of a whole plain call, without reading.
    per_token : float
        Seconds to read one prompt token.
    per_running : float
        Seconds added by each request that runs beside.
    per_fetched : float
        Seconds to take over one prompt token from another engine.
    """

    base: float
    prefill_per_token: float = 0.0
    per_running_request: float = 0.0
    per_fetched: float = 0.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server and why.

    Attributes
    ----------
    name : str
        The server.
    predicted : float
        Seconds to its first token or answer.
    cost : float
        What was compared, seconds.
    n_candidates : int
        How many there were.
    crossing : bool
        It lies in another failure domain.
    """

    name: str
    predicted: float
    cost: float
    n_candidates: int
    crossing: bool


def predict_first_token(state: ServerState, times: ServiceTimes) -> float:
    """Predict the time to a request's first token or answer.

    Parameters
    ----------
    state : ServerState
        The server.
    times : ServiceTimes
        Of its service.

    Returns
    -------
    float
        Seconds.
    """
    reading = state.backlog + state.n_prefill_tokens * times.prefill_per_token
    reading += state.n_fetchable * times.per_fetched
    beside = state.n_running * times.per_running_request
    queued = max(0, state.n_running + 1 - state.n_slots) / max(1, state.n_slots)
    return (reading + times.base * (1 + queued) + beside) * state.slowness


def decide_placement(
    states: Sequence[ServerState],
    times: ServiceTimes,
    *,
    domain: str,
    n_bytes: int = 0,
    jitter: float = 0.0,
    random_state: Random | None = None,
) -> Placement | None:
    """Choose the server with the least expected cost for the caller.

    Parameters
    ----------
    states : sequence of ServerState
        Candidates.
    times : ServiceTimes
        Of their service.
    domain : str
        The node's own failure domain.
    n_bytes : int, default=0
        What the request and its answer bring over the network.
    spread : float, default=0.0
        Seconds within which servers count as equal, so that nodes that know the same
        of them do not all choose the same one.
    random_state : random.Random or None
        Chooses among equals.

    Returns
    -------
    Placement or None
        None without candidates.
    """
    best: Placement | None = None
    for state in states:
        predicted = predict_first_token(state, times)
        crossing = state.domain != domain
        reading = state.n_prefill_tokens * times.prefill_per_token * state.slowness
        cost = predicted + READING_WEIGHT * reading
        cost += TRANSFER_WEIGHT * state.n_fetchable * times.prefill_per_token
        cost += FAILURE_PENALTY * state.failure_share
        if state.risks_pauses:
            cost += PAUSE_RISK
        if random_state is not None:
            cost += jitter * random_state.random()
        if crossing:
            cost += CROSSING_PER_BYTE * n_bytes
        if state.home_rank is not None and state.home_rank < len(HOME_SAVINGS):
            cost -= HOME_SAVINGS[state.home_rank] * (1 + READING_WEIGHT) * reading
        if best is None or cost < best.cost:
            best = Placement(state.name, predicted, cost, len(states), crossing)
    return best
