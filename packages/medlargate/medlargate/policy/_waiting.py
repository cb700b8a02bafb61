"""Admission control: when a request is dispatched, queued at the node or refused.

The rules are designed for bursts of long prompts among short urgent requests. An engine
runs prefill in order of arrival regardless of priority, so a short request waits behind
every long prompt that the engine has accepted. Long prompts are therefore queued at the
node, where they can still be reordered or refused without having run, and are sent to
an engine only while it has almost no other prefill pending. Short prompts are sent at
once. A request whose answer would come too late to be useful is refused at once, with
an estimate of when the queue will have drained.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._customer_shares import compute_share_rank
from ._fill_limits import FillLimits
from ._placement import ServerState
from ._prefill_isolation import LONG_PREFILL_TIME

# Largest prefill backlog of an engine that is sent a long prompt: only prefill that is
# almost complete.
MAX_LONG_PROMPT_BACKLOG = 0.1  # seconds
# Largest prefill backlog of an engine that is sent a long prompt which has waited long
# enough for the best engine.
MAX_LONG_PROMPT_BACKLOG_ANY_SERVER = 0.3  # seconds
# Largest prefill backlog of an engine that is sent a short prompt.
MAX_SHORT_PROMPT_BACKLOG = 0.9  # seconds
# Further backlog of an engine that is sent a long prompt of the most urgent class. The
# limit for one that accepts any server is then that for short prompts.
MAX_URGENT_BACKLOG_RESERVE = (
    MAX_SHORT_PROMPT_BACKLOG - MAX_LONG_PROMPT_BACKLOG_ANY_SERVER
)
# Fraction of its target time for which a request waits for the best engine.
BEST_SERVER_WAIT_FRACTION = 0.4
# Requests sent to a plain server beyond its slots, as a fraction of the slots. Further
# requests are better queued at the node.
PLAIN_QUEUE_FRACTION = 0.5
MIN_RETRY_AFTER = 0.25  # seconds
MAX_RETRY_AFTER = 3.0  # seconds
# Callers follow Retry-After only up to this fraction of their remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3


def has_capacity(
    state: ServerState,
    *,
    is_engine: bool,
    prefill_time: float = 0.0,
    accept_any: bool = False,
    limits: FillLimits | None = None,
) -> bool:
    """Return whether a server should be sent another request now.

    Parameters
    ----------
    state : ServerState
        State of the server for the request.
    is_engine : bool
        Whether the server is a model engine rather than a plain server.
    prefill_time : float, default=0.0
        Prefill time of the request's prompt on the server, in seconds.
    accept_any : bool, default=False
        Whether the request has waited long enough for the best server, which raises
        the accepted backlog.
    limits : FillLimits or None
        How far requests of this class may fill a server; None if there is one class.

    Returns
    -------
    bool
        False if the request should rather wait at the node.
    """
    if not state.has_room:
        return False
    n_slots = state.n_slots
    if limits is not None:
        n_slots = limits.compute_slot_limit(n_slots)
    if not is_engine:
        return state.n_running < n_slots * (1 + PLAIN_QUEUE_FRACTION)
    if state.n_running == 0:
        return True
    max_backlog = MAX_SHORT_PROMPT_BACKLOG
    if prefill_time > LONG_PREFILL_TIME:
        max_backlog = (
            MAX_LONG_PROMPT_BACKLOG_ANY_SERVER
            if accept_any
            else MAX_LONG_PROMPT_BACKLOG
        )
        if limits is not None:
            # Less urgent long prompts take any engine whose backlog is below theirs.
            max_backlog += limits.urgency * MAX_URGENT_BACKLOG_RESERVE
    return state.n_running < n_slots and state.backlog < max_backlog


def make_queue_key(
    *,
    priority: int,
    arrived_at: float,
    time_to_target: float,
    prefill_time: float,
    excess: float = 0.0,
) -> tuple[int, int, bool, float]:
    """Make the sort key of a waiting request in the queue of its service.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    arrived_at : float
        Time of arrival, in seconds.
    time_to_target : float
        Time until the answer is late, in seconds.
    prefill_time : float
        Prefill time of the prompt, in seconds.
    excess : float, default=0.0
        Excess of the customer's work over its share, as a multiple of the share.

    Returns
    -------
    tuple of (int, int, bool, float)
        Sort key; the smallest is served first. At equal priority, requests of
        customers below their share precede those of customers above it. Among these,
        requests that can still meet their target precede those that cannot, and
        earlier arrivals precede later ones.
    """
    is_late = time_to_target < prefill_time
    return priority, compute_share_rank(excess), is_late, arrived_at


def accepts_any_server(*, waited: float, target: float) -> bool:
    """Return whether a request should stop waiting for the best server.

    Parameters
    ----------
    waited : float
        Time since the arrival of the request, in seconds.
    target : float
        Target time from the arrival to the start of the answer, in seconds.

    Returns
    -------
    bool
        True if the request should take any server with capacity.
    """
    return waited >= BEST_SERVER_WAIT_FRACTION * target


@dataclass(frozen=True, slots=True)
class WaitDecision:
    """Decision whether a queued request may keep waiting.

    Attributes
    ----------
    wait : bool
        True if the request stays in the queue; False if it is refused now.
    retry_after : float
        Recommended delay before the caller's next attempt, in seconds.
    reason : str
        Explanation of the decision.
    """

    wait: bool
    retry_after: float
    reason: str


def decide_wait(
    *, predicted_first_token: float, time_left: float, time_to_target: float
) -> WaitDecision:
    """Decide whether a request without an available server may wait.

    Parameters
    ----------
    predicted_first_token : float
        Predicted time until the first token, including the wait, in seconds.
    time_left : float
        Time until an answer is no longer useful, in seconds.
    time_to_target : float
        Time until the answer is late, in seconds; negative if it is late already.

    Returns
    -------
    WaitDecision
        Whether the request may wait, and the delay before another attempt.
    """
    retry_after = min(
        max(predicted_first_token - max(time_to_target, 0.0), MIN_RETRY_AFTER),
        MAX_RETRY_AFTER,
        max(MIN_RETRY_AFTER, time_left * MAX_RETRY_AFTER_FRACTION * 0.9),
    )
    if predicted_first_token > time_left:
        reason = (
            f"first token predicted in {predicted_first_token:.2f} s, "
            f"but only {time_left:.2f} s left"
        )
        return WaitDecision(False, retry_after, reason)
    return WaitDecision(True, retry_after, "a server is expected in time")
