"""Engines reserved for short prompts, for streams that prefill would delay.

With chunked prefill, an engine that processes a long prompt generates one token of
every running stream between two chunks, so that each event of these streams takes
several times as long as usual. A stream with a tight bound on the pause between events
then misses the bound, even if its first event was on time. To serve such streams during
a wave of long prompts, a service with at least ``MIN_ENGINES`` engines always reserves
some of them for short prompts: a share between about ``MIN_SHORT_PROMPT_SHARE`` and
``MAX_SHORT_PROMPT_SHARE``, larger with the demand of the sensitive streams. The
sensitive streams are preferably placed there, and long prompts go there only if no
other engine is left. Engines that are slower than the others for a lasting reason are
reserved last.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ._placement import ServiceTimes
from ._shares import rank_by_hash

# A prompt whose prefill takes longer than this counts as long.
LONG_PREFILL_TIME = 0.1  # seconds
# Minimum share of a service's engines that is reserved for short prompts, about the
# share of short prompts in the work, and the minimum number of engines at which any are
# reserved.
MIN_SHORT_PROMPT_SHARE = 0.12
MIN_ENGINES = 5
MAX_SHORT_PROMPT_SHARE = 0.5
# Share of a reserved engine's time that prefill of short prompts may take. The rest is
# for decoding the many running streams, which short prompts in a row delay as well.
SHORT_PROMPT_UTILIZATION = 0.2
# Approximate length of the chunks of a prompt that an engine processes between two
# tokens of the other streams.
PREFILL_CHUNK_TOKENS = 2_048
DECODE_STEP_TIME = 0.012  # seconds per token on a well-filled engine without prefill
# An engine counts as slow above the first of these ratios to the median slowness of its
# service, and until it is below the second.
SLOW_RATIO, USUAL_RATIO = 1.3, 1.15
# Each change of the reserved engines moves long prompts away from their caches.
SLOW_ENGINES_INTERVAL = 30.0  # seconds between decisions
MAX_SLOW_ENGINES = 64  # names in a status message
# Decisions from further in the future come from a node with a wrong time of day.
MAX_CLOCK_ERROR = 60.0  # seconds
# Share of the longest allowed pause that token generation beside a prefill may take;
# the rest is for delivery.
MAX_PREFILL_PAUSE_FRACTION = 0.75


def is_prefill_sensitive(
    times: ServiceTimes, *, max_pause: float, n_tokens_per_event: int
) -> bool:
    """Return whether a stream is late when its engine prefills a long prompt.

    Parameters
    ----------
    times : ServiceTimes
        Time model of the service.
    max_pause : float
        Longest allowed pause between two events of the stream, in seconds; 0 when
        none is declared.
    n_tokens_per_event : int
        Number of output tokens in one event.

    Returns
    -------
    bool
        True when the expected pause beside a prefill is too long. False when no
        longest pause is declared.
    """
    token_time = DECODE_STEP_TIME + PREFILL_CHUNK_TOKENS * times.prefill_per_token
    pause = n_tokens_per_event * token_time
    return max_pause > 0 and pause > MAX_PREFILL_PAUSE_FRACTION * max_pause


def choose_short_prompt_engines(
    names: Sequence[str],
    *,
    sensitive_demand: float = 0.0,
    slow: Collection[str] = (),
) -> frozenset[str]:
    """Choose the engines of a service that are reserved for short prompts.

    Parameters
    ----------
    names : sequence of str
        Names of the service's engines.
    sensitive_demand : float, default=0.0
        Arriving prefill demand of the streams that are sensitive to prefill, in
        engine-seconds per second.
    slow : collection of str
        Names of engines that are chosen only if no others are left.

    Returns
    -------
    frozenset of str
        Names of the chosen engines; empty when the service has fewer than
        ``MIN_ENGINES``.

    Notes
    -----
    All nodes that know the same engines, demand and slow ones choose the same engines.
    When the demand grows, engines are added to the choice and none is dropped.
    """
    if len(names) < MIN_ENGINES:
        return frozenset()
    n_reserved = max(1, round(MIN_SHORT_PROMPT_SHARE * len(names)))
    n_needed = math.ceil(sensitive_demand / SHORT_PROMPT_UTILIZATION)
    n_reserved = min(
        max(n_reserved, n_needed), int(MAX_SHORT_PROMPT_SHARE * len(names))
    )
    ranked = rank_by_hash("short prompts", sorted(names))
    ranked.sort(key=lambda name: name in slow)
    return frozenset(ranked[:n_reserved])


@dataclass
class SlowEngines:
    """Engines with a lasting speed below that of others, the same on all nodes.

    Measured speeds differ between nodes. The holder of the duties decides, and the
    newest decision passes from node to node with the status messages.

    Attributes
    ----------
    decided_at : float
        Time of day of the decision, in seconds since 1970.
    names : frozenset of str
        Names of the slow engines.
    """

    decided_at: float = 0.0
    names: frozenset[str] = frozenset()

    def decide(self, slownesses: Mapping[str, float], now: float) -> bool:
        """Decide anew, on the holder of the duties.

        Parameters
        ----------
        slownesses : mapping of str to float
            Lasting slowness of the engines whose times were measured often enough.
        now : float
            Time of day, in seconds since 1970.

        Returns
        -------
        bool
            Whether the decision has changed.
        """
        if now - self.decided_at < SLOW_ENGINES_INTERVAL or not slownesses:
            return False
        median = statistics.median(slownesses.values())
        names = frozenset(
            sorted(
                name
                for name, slowness in slownesses.items()
                if slowness
                > median * (USUAL_RATIO if name in self.names else SLOW_RATIO)
            )[:MAX_SLOW_ENGINES]
        )
        changed = names != self.names
        if changed:
            self.decided_at, self.names = now, names
        return changed

    def merge(self, decided_at: float, names: Collection[str], now: float) -> bool:
        """Take over another node's decision if it is newer; return whether it is.

        Parameters
        ----------
        decided_at : float
            Time of day of the decision, in seconds since 1970.
        names : collection of str
            Names of the slow engines.
        now : float
            Time of day, in seconds since 1970.
        """
        newer = (decided_at, sorted(names)) > (self.decided_at, sorted(self.names))
        if not newer or decided_at > now + MAX_CLOCK_ERROR:
            return False
        self.decided_at, self.names = decided_at, frozenset(names)
        return True
