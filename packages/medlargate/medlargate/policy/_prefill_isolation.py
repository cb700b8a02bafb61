"""Engines that are kept free of long prompts for streams with short pauses.

Answers the load pattern of a wave of long prompts beside one of short questions. While
an engine reads a long prompt, it makes one token of every running stream between two
pieces of it, so that each event takes several times as long as otherwise; a stream
whose pauses must be short is late by that, however soon its first event came. Some
engines therefore read no long prompts, as many as the short streams need, and these
streams go there first.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from ._placement import ServiceTimes
from ._shares import rank_by_hash

# A prompt that takes longer to read than this is long.
LONG_PREFILL_TIME = 0.1  # seconds
# Share of a service's engines that read no long prompts, about the short ones' part
# of the work, and the number of engines from which on one is set apart.
SHORT_LANE_SHARE = 0.12
MIN_LANE_ENGINES = 5
MAX_LANE_SHARE = 0.5
# Reading of short prompts that an engine of the lane takes on, as a share of its time;
# the rest goes to its many running streams. Short prompts in a row delay them as well.
LANE_UTILIZATION = 0.2
# Engines read prompts in pieces of about this length between two tokens of the others.
PIECE_TOKENS = 2_048
STEP_TIME = 0.012  # seconds a token of a well filled engine without reading
# Part of the longest pause that may pass by reading alone; the rest is for delivery.
PAUSE_FRACTION = 0.75


def is_prefill_sensitive(
    times: ServiceTimes, *, max_pause: float, n_tokens_per_event: int
) -> bool:
    """Tell whether a stream is late when its engine reads a long prompt beside it.

    Parameters
    ----------
    times : ServiceTimes
        Of the service.
    max_pause : float
        Longest pause between events that is on time, seconds; 0: not declared.
    n_tokens_per_event : int
        Output tokens of one event.

    Returns
    -------
    bool
        False where no pause is declared.
    """
    token_time = STEP_TIME + PIECE_TOKENS * times.prefill_per_token
    pause = n_tokens_per_event * token_time
    return max_pause > 0 and pause > PAUSE_FRACTION * max_pause


def choose_short_prompt_engines(
    names: Sequence[str], *, sensitive_demand: float = 0.0
) -> frozenset[str]:
    """Choose the engines of a service that read no long prompts.

    Parameters
    ----------
    names : sequence of str
        Its engines.
    tight_demand : float, default=0.0
        Reading of prompts of tight streams that arrives, engine-seconds a second.

    Returns
    -------
    frozenset of str
        The same on every node that knows the same engines and demand, and with more
        demand the same ones and further ones; empty for few engines.
    """
    if len(names) < MIN_LANE_ENGINES:
        return frozenset()
    n_lane = max(1, round(SHORT_LANE_SHARE * len(names)))
    n_needed = math.ceil(sensitive_demand / LANE_UTILIZATION)
    n_lane = min(max(n_lane, n_needed), int(MAX_LANE_SHARE * len(names)))
    return frozenset(rank_by_hash("short prompts", sorted(names))[:n_lane])
