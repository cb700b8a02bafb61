"""When a request waits at the node, goes on, or is refused.

Answers the load pattern of bursts of long prompts among short urgent requests. An
engine reads the prompts that it was given in turn, whatever their rank, so that a short
request waits there behind each long one. Long prompts therefore wait here, where they
can be ordered and refused truthfully, and go to an engine only while nothing else long
is read there; short ones go on at once. One whose answer would come too late to be of
use is refused at once, with a time at which the queue will have drained.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._placement import ServerState
from ._prefill_isolation import LONG_PREFILL_TIME

# Reading ahead that a long prompt accepts at an engine: what is nearly done.
LONG_BACKLOG = 0.1  # seconds
# Reading ahead that a long prompt accepts once it has waited for the best engine.
PRESSED_BACKLOG = 0.3  # seconds
# Reading ahead that a short prompt accepts.
MAX_BACKLOG = 0.9  # seconds
# Share of its target that a request waits for the engine that suits it best.
PATIENCE = 0.4
# Plain servers queue a few requests; beyond their slots waiting here is better.
PLAIN_QUEUE_FRACTION = 0.5
MIN_RETRY_AFTER = 0.25  # seconds
MAX_RETRY_AFTER = 3.0  # seconds
# A caller honours Retry-After up to this fraction of the time that it has left.
HONOURED_FRACTION = 1 / 3


def has_capacity(
    state: ServerState,
    *,
    is_engine: bool,
    prefill_time: float = 0.0,
    accept_any: bool = False,
) -> bool:
    """Tell whether a server should get another request now.

    Parameters
    ----------
    state : ServerState
        The server.
    engine : bool
        It is a model engine.
    reading : float, default=0.0
        Seconds to read the request's prompt there.
    pressed : bool, default=False
        The request has no time left to wait for a better moment.

    Returns
    -------
    bool
        False when the request should rather wait at the node.
    """
    if not is_engine:
        limit = state.n_slots * (1 + PLAIN_QUEUE_FRACTION)
        return state.n_running < limit
    if state.n_running == 0:
        return True
    max_backlog = MAX_BACKLOG
    if prefill_time > LONG_PREFILL_TIME:
        max_backlog = PRESSED_BACKLOG if accept_any else LONG_BACKLOG
    return state.n_running < state.n_slots and state.backlog < max_backlog


def make_queue_key(
    *, priority: int, arrived_at: float, time_to_target: float, prefill_time: float
) -> tuple[int, bool, float]:
    """Rank a waiting request among those of its service.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    arrived_at : float
        Seconds.
    time_to_target : float
        Seconds until its answer is late.
    reading : float
        Seconds to read its prompt.

    Returns
    -------
    tuple of (int, bool, float)
        Smaller goes first. Within a rank, a request that is late in any case makes
        way for those that can still be in time.
    """
    return priority, time_to_target < prefill_time, arrived_at


def accepts_any_server(*, waited: float, target: float) -> bool:
    """Tell whether a request has waited as long as it should for the best server.

    Parameters
    ----------
    waited : float
        Seconds since it arrived.
    target : float
        Seconds from its arrival within which its answer should begin.

    Returns
    -------
    bool
        True when any server with room will do.
    """
    return waited >= PATIENCE * target


@dataclass(frozen=True, slots=True)
class WaitDecision:
    """Whether a request may go on waiting.

    Attributes
    ----------
    wait : bool
        It may; otherwise it is refused now.
    retry_after : float
        Seconds after which another attempt makes sense.
    reason : str
        What decided.
    """

    wait: bool
    retry_after: float
    reason: str


def decide_wait(
    *, predicted_first_token: float, time_left: float, time_to_target: float
) -> WaitDecision:
    """Decide whether a request that finds no room may wait.

    Parameters
    ----------
    ahead : float
        Predicted seconds until its first token, waiting included.
    time_left : float
        Seconds until an answer is of no use.
    target_left : float
        Seconds until its answer is late.

    Returns
    -------
    WaitDecision
        With the time at which a refused caller should come back.
    """
    retry_after = min(
        max(predicted_first_token - max(time_to_target, 0.0), MIN_RETRY_AFTER),
        MAX_RETRY_AFTER,
        max(MIN_RETRY_AFTER, time_left * HONOURED_FRACTION * 0.9),
    )
    if predicted_first_token > time_left:
        reason = f"first token in {predicted_first_token:.2f} s, {time_left:.2f} s left"
        return WaitDecision(False, retry_after, reason)
    return WaitDecision(True, retry_after, "room expected in time")
