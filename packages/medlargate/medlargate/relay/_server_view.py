"""Estimated load, prompt cache, speed and failures of a single backend server."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..platform import PromptPart, ServerLoad
from ..policy import ServerSpeed, ServiceTimes, SlotCapacity

# Initial values of estimates that are then fitted to measured response times.
INITIAL_BASE = 0.06  # seconds
INITIAL_PREFILL_PER_TOKEN = 1 / 40_000  # seconds
# Replaced by the configured cache size on the first request to an engine.
INITIAL_CACHE_CAPACITY = 200_000  # tokens
INITIAL_PLAIN_BASE = 0.05  # seconds for a call of a plain service
# Each running request lengthens about ten decoding steps by 0.2 ms.
TIME_PER_RUNNING_REQUEST = 0.002  # seconds
FORGETTING_FACTOR = 0.97  # weight of older samples in the fit of prefill times
SMOOTHING = 0.2  # weight of a new sample in moving averages
FAILURE_SMOOTHING = 0.12  # weight of a new result in the average of failures
# Failures decay over time, so that an avoided server is tried again.
FAILURE_HALF_LIFE = 6.0  # seconds
MIN_SLOWNESS, MAX_SLOWNESS = 0.7, 10.0  # relative to the average of all servers
REPORT_LIFETIME = 0.5  # seconds that a load reported by the server is used
# Two rounds of status messages between peers.
PEER_LIFETIME = 2.5  # seconds that a load reported by a peer is used
INITIAL_SUSPENSION = 0.5  # seconds without requests after a failed connection
MAX_SUSPENSION = 4.0  # seconds
# A node learns of a server's new registration within a few seconds. The time is bounded
# because the server may come back at another address under its old id.
REPLACED_LIFETIME = 8.0  # seconds without requests after a 421 with another id
# When a failure domain is unreachable, each of its servers costs a request one
# connection timeout. After two such servers the whole domain is suspended.
MIN_UNREACHABLE_SERVERS = 2
UNREACHABLE_WINDOW = 3.0  # seconds; failures further apart are counted separately
DOMAIN_SUSPENSION = 1.0  # seconds
MAX_OVERDUE_TIME = 1.5  # seconds of prefill that an overdue first token can indicate
# Fraction of a prediction error that is applied to the requests queued behind it.
PREDICTION_ERROR_SHARE = 0.5


@dataclass(slots=True)
class RunningRequest:
    """Request of this node that is running on a server.

    Attributes
    ----------
    prefill_time : float
        Predicted time to prefill the prompt, in seconds.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    predicted : float
        Predicted time to the first token or answer, in seconds.
    n_uncached : int
        Number of prompt tokens that were expected to need prefill.
    unqueued : bool
        Whether the server had a free slot and no prefill backlog.
    parts : tuple of PromptPart
        Prompt parts of the request.
    has_started : bool
        Whether the first token or answer has arrived.
    log_slowness : float
        Logarithm of the slowness that the machine reported before the request was sent.
    domain : str
        Failure domain of the server.
    """

    prefill_time: float
    sent_at: float
    predicted: float
    n_uncached: int
    unqueued: bool
    parts: tuple[PromptPart, ...] = ()
    has_started: bool = False
    log_slowness: float = 0.0
    domain: str = ""


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load that a peer, or another failure domain, reported for a server.

    Attributes
    ----------
    n_running : int
        Number of running requests.
    prefill_time : float
        Outstanding prefill work of these requests, in seconds.
    received_at, valid_until : float
        Monotonic times, in seconds, at which the report was received and expires.
    """

    n_running: int
    prefill_time: float
    received_at: float
    valid_until: float

    def remaining_prefill_time(self, now: float) -> float:
        """Return the prefill work left at a given time, in seconds."""
        return (
            max(0.0, self.prefill_time - (now - self.received_at))
            if now < self.valid_until
            else 0.0
        )


@dataclass(frozen=True, slots=True)
class CachedPart:
    """Part of a prompt in the prompt cache of a server.

    Attributes
    ----------
    n_tokens : int
        Length of the part in tokens.
    ready_at : float
        Monotonic time at which prefill of the part ends, in seconds.
    """

    n_tokens: int
    ready_at: float


@dataclass
class ServerView:
    """Estimated state of a single backend server.

    Attributes
    ----------
    running : dict of int to RunningRequest
        Running requests of this node by exchange id.
    peer_loads : dict of str to PeerLoad
        Loads reported by peers and other failure domains, by name.
    prefill_until : float
        Monotonic time at which prefill of this node's requests ends, in seconds.
    reported_load : ServerLoad or None
        Last load that the server reported.
    reported_at : float
        Monotonic time of the last reported load, in seconds.
    cached_parts : OrderedDict of str to CachedPart
        Prompt parts presumed to be cached, least recently used first.
    n_cached_tokens : int
        Total length of the cached parts.
    cache_capacity : int
        Number of tokens that the prompt cache holds.
    slowness : float
        Moving average of measured over predicted times; 1 is normal.
    speed : ServerSpeed
        Estimator of a server that reports the slowness of its machine.
    is_slow : bool
        Whether the machine was slow by the last log line about it.
    speed_logged_at : float
        Monotonic time of that log line, in seconds.
    failure_average : float
        Moving average of failures, as of the last result.
    failure_updated_at : float
        Monotonic time of the last result, in seconds.
    suspended_until : float
        Monotonic time until which the server gets no requests, in seconds.
    suspension : float
        Duration of the next suspension, in seconds.
    replaced_until : float
        Monotonic time until which the server gets no requests because another one has
        answered at its address, in seconds.
    refuses_until : float
        Monotonic time until which the server has asked for no requests, in seconds.
    max_rejections : float or None
        Rejections a second that the server bears; None if it is not brittle.
    slot_capacity : SlotCapacity or None
        Slots of a brittle server as its rejections show; None before the first request.
    has_answered : bool
        Whether this node has received an answer of the server.
    on_trial : bool
        Whether a brittle server has rejected a request and accepted none since. It
        gets one request of this node at a time.
    """

    running: dict[int, RunningRequest] = field(default_factory=dict)
    peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    prefill_until: float = float("-inf")
    reported_load: ServerLoad | None = None
    reported_at: float = float("-inf")
    cached_parts: OrderedDict[str, CachedPart] = field(default_factory=OrderedDict)
    n_cached_tokens: int = 0
    cache_capacity: int = INITIAL_CACHE_CAPACITY
    slowness: float = 1.0
    speed: ServerSpeed = field(default_factory=ServerSpeed)
    is_slow: bool = False
    speed_logged_at: float = float("-inf")
    failure_average: float = 0.0
    failure_updated_at: float = 0.0
    suspended_until: float = float("-inf")
    suspension: float = INITIAL_SUSPENSION
    replaced_until: float = float("-inf")
    refuses_until: float = float("-inf")
    max_rejections: float | None = None
    slot_capacity: SlotCapacity | None = None
    has_answered: bool = False
    on_trial: bool = False

    def is_replaced(self, now: float) -> bool:
        """Return whether another server has lately answered at the server's address."""
        return now < self.replaced_until

    def count_running(self, now: float) -> int:
        """Return the estimated number of requests of all nodes on the server."""
        known = len(self.running)
        for load in self.peer_loads.values():
            if now < load.valid_until:
                known += load.n_running
        if self.reported_load is not None and now - self.reported_at < REPORT_LIFETIME:
            return max(
                known, self.reported_load.n_running + self.reported_load.n_waiting
            )
        return known

    def count_occupied(self, now: float) -> int:
        """Return ``count_running`` with the requests sent since the server's report.

        Nodes that each rely on a server's last report would all send it another request
        until the reports of their peers arrive.
        """
        n_running = self.count_running(now)
        report = self.reported_load
        if report is None or now - self.reported_at >= REPORT_LIFETIME:
            return n_running
        n_sent = sum(it.sent_at > self.reported_at for it in self.running.values())
        return max(n_running, report.n_running + report.n_waiting + n_sent)

    def own_prefill_time(self, now: float) -> float:
        """Return the outstanding prefill work of this node's requests, in seconds.

        The result is at least the time by which the most overdue first token is late,
        since an overdue token indicates prefill work that this node does not know of.
        """
        if not self.running:
            return 0.0
        ahead = [it for it in self.running.values() if not it.has_started]
        if not ahead:
            return 0.0
        overdue = max(now - it.sent_at - it.predicted for it in ahead)
        left = max(0.0, self.prefill_until - now)
        return max(left, min(overdue, MAX_OVERDUE_TIME)) if overdue > 0 else left

    def sum_own_prompts(self, now: float) -> float:
        """Return the prefill work of this node's own prompts, in seconds.

        Other nodes add it to theirs. So it contains no time by which a first token is
        late: that shows the work of all nodes, and would be counted once for each.
        """
        ahead = [it for it in self.running.values() if not it.has_started]
        own_work = sum(it.prefill_time for it in ahead)
        if any(now - it.sent_at > it.predicted for it in ahead):
            return own_work
        return min(own_work, max(0.0, self.prefill_until - now))

    def observe_prefill(self, prefill_time: float, now: float) -> None:
        """Append the prefill time of a prompt to the outstanding work."""
        self.prefill_until = max(self.prefill_until, now) + prefill_time

    def observe_prediction_error(self, error: float, now: float) -> None:
        """Correct the outstanding work by the error of a first-token prediction.

        Parameters
        ----------
        error : float
            Measured minus predicted time to the first token, in seconds.
        now : float
            Monotonic time in seconds.
        """
        if any(not it.has_started for it in self.running.values()):
            shift = (
                min(max(error, -MAX_OVERDUE_TIME), MAX_OVERDUE_TIME)
                * PREDICTION_ERROR_SHARE
            )
            self.prefill_until = max(now, self.prefill_until + shift)

    def total_prefill_time(self, now: float) -> float:
        """Return the prefill work of all nodes ahead of a new request, in seconds."""
        total = self.own_prefill_time(now)
        for load in self.peer_loads.values():
            if load.prefill_time:
                total += load.remaining_prefill_time(now)
        return total

    def failure_share(self, now: float) -> float:
        """Return the moving average of failures, decayed to the given time."""
        if not self.failure_average:
            return 0.0
        return self.failure_average * 0.5 ** (
            (now - self.failure_updated_at) / FAILURE_HALF_LIFE
        )

    def observe_result(self, failed: bool, now: float) -> None:
        """Update the moving average of failures with the result of an attempt."""
        share = self.failure_share(now)
        self.failure_average = share + FAILURE_SMOOTHING * (float(failed) - share)
        self.failure_updated_at = now

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Return the number of leading prompt tokens that need no prefill.

        Tokens whose prefill is still in progress count as cached, because the server
        finishes them before a later request.
        """
        n_tokens = 0
        for part in parts:
            if part.part_id not in self.cached_parts:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def count_fetchable(self, parts: Iterable[PromptPart], now: float) -> int:
        """Return the number of leading prompt tokens that another engine can fetch."""
        n_tokens = 0
        for part in parts:
            cached_part = self.cached_parts.get(part.part_id)
            if cached_part is None or cached_part.ready_at > now:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def observe_parts(
        self, parts: Iterable[PromptPart], *, ready_at: float = float("-inf")
    ) -> None:
        """Add prompt parts to the cache, evicting the least recently used ones.

        Parameters
        ----------
        parts : iterable of PromptPart
            Parts of a prompt that was sent to the server.
        ready_at : float, default=-inf
            Monotonic time at which prefill of the new parts ends, in seconds.
        """
        for part in parts:
            if part.part_id in self.cached_parts:
                self.cached_parts.move_to_end(part.part_id)
            else:
                self.cached_parts[part.part_id] = CachedPart(part.n_tokens, ready_at)
                self.n_cached_tokens += part.n_tokens
        while self.n_cached_tokens > self.cache_capacity and self.cached_parts:
            _, cached_part = self.cached_parts.popitem(last=False)
            self.n_cached_tokens -= cached_part.n_tokens

    def observe_prefill_done(self, parts: Iterable[PromptPart], now: float) -> None:
        """Mark the parts of a prompt as ready once its first token has arrived."""
        for part in parts:
            cached_part = self.cached_parts.get(part.part_id)
            if cached_part is not None and cached_part.ready_at > now:
                self.cached_parts[part.part_id] = CachedPart(cached_part.n_tokens, now)


@dataclass
class DomainPartition:
    """Evidence that another failure domain is unreachable from this node.

    Attributes
    ----------
    unreachable_servers : set of str
        Ids of the domain's servers that recently could not be reached.
    last_failure_at : float
        Monotonic time of the last failed connection, in seconds.
    suspended_until : float
        Monotonic time until which the domain's servers get no requests, in seconds.
    """

    unreachable_servers: set[str] = field(default_factory=set)
    last_failure_at: float = float("-inf")
    suspended_until: float = float("-inf")

    def observe_unreachable(self, server_id: str, now: float) -> None:
        """Count an unreachable server and suspend the domain if there are enough."""
        if now - self.last_failure_at > UNREACHABLE_WINDOW:
            self.unreachable_servers.clear()
        self.unreachable_servers.add(server_id)
        self.last_failure_at = now
        if len(self.unreachable_servers) >= MIN_UNREACHABLE_SERVERS:
            self.suspended_until = now + DOMAIN_SUSPENSION


@dataclass
class ServiceTimesEstimator:
    """Estimator of a service's time to the first token.

    Fits ``base + prefill_per_token * n_tokens`` by least squares with exponential
    forgetting to requests that did not queue behind other prompts. For a plain service
    only ``base`` is estimated, as a moving average.

    Parameters
    ----------
    plain : bool, default=False
        Whether the service is a plain one, without prompts.
    n_samples : int, default=0
        Number of measured times.
    """

    plain: bool = False
    n_samples: int = 0
    _sums: list[float] = field(default_factory=lambda: [0.0] * 5)
    _base: float = INITIAL_BASE
    _per_token: float = INITIAL_PREFILL_PER_TOKEN
    _token_time: float = ServiceTimes(0.0).per_output_token

    def __post_init__(self) -> None:
        if self.plain:
            self._base, self._per_token = INITIAL_PLAIN_BASE, 0.0

    def observe(self, n_tokens: int, elapsed: float) -> None:
        """Update the estimate with a measured time.

        Parameters
        ----------
        n_tokens : int
            Number of prompt tokens that needed prefill.
        elapsed : float
            Time to the first token or answer, in seconds.
        """
        self.n_samples += 1
        if self.plain:
            self._base += SMOOTHING * (min(elapsed, 4 * self._base) - self._base)
            return
        row = (1.0, n_tokens, elapsed, n_tokens * n_tokens, n_tokens * elapsed)
        self._sums = [
            FORGETTING_FACTOR * old + new
            for old, new in zip(self._sums, row, strict=True)
        ]
        n, sum_x, sum_y, sum_xx, sum_xy = self._sums
        spread = n * sum_xx - sum_x * sum_x
        if n < 8 or spread <= 0:
            return
        slope = (n * sum_xy - sum_x * sum_y) / spread
        self._per_token = min(
            max(slope, INITIAL_PREFILL_PER_TOKEN / 5), INITIAL_PREFILL_PER_TOKEN * 5
        )
        self._base = min(max((sum_y - self._per_token * sum_x) / n, 0.005), 1.0)

    def observe_token_time(self, token_time: float) -> None:
        """Update the time per output token with that of a stream, in seconds."""
        limited = min(token_time, 4 * self._token_time)
        self._token_time += SMOOTHING * (limited - self._token_time)

    def estimate(self) -> ServiceTimes:
        """Return the current estimate.

        Returns
        -------
        ServiceTimes
            Estimated times of the service.
        """
        per_running = 0.0 if self.plain else TIME_PER_RUNNING_REQUEST
        return ServiceTimes(
            self._base,
            self._per_token,
            per_running,
            per_output_token=self._token_time,
        )
