"""Which backend server gets a request.

Answers the load pattern of long prompts that share their beginnings, in bursts: the
engine that already holds a prompt's beginning is worth waiting for, up to the time
that reading it anew elsewhere takes; short urgent requests keep away from engines
that still read long prompts; other failure domains are a last resort, since their
bytes are paid for.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# A request crosses failure domains only when that saves this much time: its bytes
# are priced there at about a tenth of a large request's worth.
CROSSING_PENALTY = 0.4  # seconds
# What a failed attempt costs a caller, as time: a retry on a new connection.
FAILURE_PENALTY = 3.0  # seconds
# Share of the reading time that a prompt's home engine is presumed to save when
# its memory is not known, so that all nodes send the same prompt to the same place.
HOME_SAVING = 0.5


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
        Prompt tokens of this request that it has to read.
    slowness : float
        Measured times over predicted ones; 1 is normal.
    failure_share : float
        Share of its recent answers that failed, 0 to 1.
    home : bool
        First choice for this request's prompt.
    """

    name: str
    domain: str
    n_running: int
    n_slots: int
    backlog: float = 0.0
    n_uncached: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    home: bool = False

    @property
    def n_free(self) -> int:
        """Free slots, never below 0."""
        return max(0, self.n_slots - self.n_running)


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
    """

    base: float
    per_token: float = 0.0
    per_running: float = 0.0


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
    reading = state.backlog + state.n_uncached * times.per_token
    beside = state.n_running * times.per_running
    queued = max(0, state.n_running + 1 - state.n_slots) / max(1, state.n_slots)
    return (reading + times.base * (1 + queued) + beside) * state.slowness


def decide_placement(
    states: Sequence[ServerState], times: ServiceTimes, *, domain: str
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

    Returns
    -------
    Placement or None
        None without candidates.
    """
    best: Placement | None = None
    for state in states:
        predicted = predict_first_token(state, times)
        crossing = state.domain != domain
        cost = predicted + FAILURE_PENALTY * state.failure_share
        if crossing:
            cost += CROSSING_PENALTY
        if state.home:
            cost -= HOME_SAVING * state.n_uncached * times.per_token
        if best is None or cost < best.cost:
            best = Placement(state.name, predicted, cost, len(states), crossing)
    return best
