"""One server's load, memory, speed and failures, as this node sees them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..platform import PromptPart, ServerLoad
from ..policy import ServiceTimes

# Starting points of what is then learned from the answers' times.
FIRST_BASE = 0.06  # seconds
FIRST_PER_TOKEN = 1 / 40_000  # seconds
FIRST_CAPACITY = 200_000  # tokens that an engine holds, until one is sent to
FIRST_PLAIN = 0.05  # seconds of a plain call
PER_RUNNING = 0.002  # seconds, about ten steps longer by a fifth of a millisecond
FORGETTING = 0.97  # weight of the past in the fit of reading times
SMOOTHING = 0.2  # weight of a new sample in moving averages
FAILURE_SMOOTHING = 0.12
FAILURE_HALF_LIFE = 6.0  # seconds, so that an avoided server is tried again
MIN_SLOWNESS, MAX_SLOWNESS = 0.7, 10.0  # of what all servers take on average
REPORT_LIFETIME = 0.5  # seconds that a server's word on its load counts
PEER_LIFETIME = 2.5  # seconds that a peer's word on its own load counts, two rounds
FIRST_SUSPENSION = 0.5  # seconds without requests after a failed connection
MAX_SUSPENSION = 4.0  # seconds
# Answers the pattern of a failure domain cut off: each of its servers costs a request
# a connection's timeout, so that after two of them the rest are not tried for a while.
MIN_CUT_SERVERS = 2
CUT_MEMORY = 3.0  # seconds between two servers that count together
CUT_PAUSE = 1.0  # seconds
MAX_OVERDUE = 1.5  # seconds of reading that an overdue answer can show
ERROR_SHARE = 0.5  # of a prediction's error that the requests behind it inherit


@dataclass(slots=True)
class Running:
    """One request of this node on a server.

    Attributes
    ----------
    reading : float
        Predicted seconds to read its prompt.
    sent_at : float
        Seconds.
    has_begun : bool
        Its first token has come.
    predicted : float
        Predicted seconds to its first token or answer.
    n_uncached : int
        Prompt tokens that had to be read, as believed.
    alone : bool
        Nothing else was to be read before it.
    parts : tuple of PromptPart
        Its prompt.
    """

    reading: float
    sent_at: float
    predicted: float
    n_uncached: int
    alone: bool
    parts: tuple[PromptPart, ...] = ()
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What a peer, or another failure domain, has on a server.

    Attributes
    ----------
    n_running : int
        Its requests there.
    reading : float
        Seconds of reading that they still needed.
    at, until : float
        When it said so, and how long that counts.
    """

    n_running: int
    reading: float
    at: float
    until: float

    def sum_reading(self, now: float) -> float:
        """Return the seconds of reading that are left."""
        return max(0.0, self.reading - (now - self.at)) if now < self.until else 0.0


@dataclass(frozen=True, slots=True)
class HeldPart:
    """A part of a prompt in a server's memory.

    Attributes
    ----------
    n_tokens : int
        Its length.
    ready_at : float
        When it will have been read, seconds.
    """

    n_tokens: int
    ready_at: float


@dataclass
class ServerView:
    """What is known of one server."""

    running: dict[int, Running] = field(default_factory=dict)
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    read_until: float = float("-inf")
    reported: ServerLoad | None = None
    reported_at: float = float("-inf")
    parts: OrderedDict[str, HeldPart] = field(default_factory=OrderedDict)
    n_part_tokens: int = 0
    capacity: int = FIRST_CAPACITY
    slowness: float = 1.0
    failures: float = 0.0
    failures_at: float = 0.0
    suspended_until: float = float("-inf")
    suspension: float = FIRST_SUSPENSION

    def count_running(self, now: float) -> int:
        """Count the requests on the server, of all nodes as far as known."""
        known = len(self.running) + sum(
            it.n_running for it in self.peers.values() if now < it.until
        )
        if self.reported is not None and now - self.reported_at < REPORT_LIFETIME:
            return max(known, self.reported.n_running + self.reported.n_waiting)
        return known

    def sum_own_reading(self, now: float) -> float:
        """Return the reading that this node's requests still need, seconds.

        Never less than what one that is overdue shows: then more is read there than
        this node knows of.
        """
        ahead = [it for it in self.running.values() if not it.has_begun]
        if not ahead:
            return 0.0
        overdue = max(now - it.sent_at - it.predicted for it in ahead)
        left = max(0.0, self.read_until - now)
        return max(left, min(overdue, MAX_OVERDUE)) if overdue > 0 else left

    def observe_reading(self, reading: float, now: float) -> None:
        """Take in that a prompt is read there after what is read already."""
        self.read_until = max(self.read_until, now) + reading

    def observe_begun(self, error: float, now: float) -> None:
        """Take in by how much a first token came later than predicted, seconds."""
        if any(not it.has_begun for it in self.running.values()):
            shift = min(max(error, -MAX_OVERDUE), MAX_OVERDUE) * ERROR_SHARE
            self.read_until = max(now, self.read_until + shift)

    def sum_reading(self, now: float) -> float:
        """Sum the reading ahead of a new request, of all nodes, seconds."""
        own = self.sum_own_reading(now)
        return own + sum(it.sum_reading(now) for it in self.peers.values())

    def failure_share(self, now: float) -> float:
        """Return the share of failures, fading with time."""
        return self.failures * 0.5 ** ((now - self.failures_at) / FAILURE_HALF_LIFE)

    def observe_result(self, failed: bool, now: float) -> None:
        """Take in one answer or failure."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_SMOOTHING * (float(failed) - share)
        self.failures_at = now

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Count the leading tokens of a prompt that need not be read there.

        Those that are just being read count, since a request that comes after them
        finds them read.
        """
        n_tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def count_ready(self, parts: Iterable[PromptPart], now: float) -> int:
        """Count the leading tokens of a prompt that another engine can take over."""
        n_tokens = 0
        for part in parts:
            held = self.parts.get(part.part_id)
            if held is None or held.ready_at > now:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def observe_parts(
        self, parts: Iterable[PromptPart], *, ready_at: float = float("-inf")
    ) -> None:
        """Take in that a prompt is read there, and when that will be done."""
        for part in parts:
            if part.part_id in self.parts:
                self.parts.move_to_end(part.part_id)
            else:
                self.parts[part.part_id] = HeldPart(part.n_tokens, ready_at)
                self.n_part_tokens += part.n_tokens
        while self.n_part_tokens > self.capacity and self.parts:
            _, held = self.parts.popitem(last=False)
            self.n_part_tokens -= held.n_tokens

    def observe_read(self, parts: Iterable[PromptPart], now: float) -> None:
        """Take in that a prompt has been read: its first token came."""
        for part in parts:
            held = self.parts.get(part.part_id)
            if held is not None and held.ready_at > now:
                self.parts[part.part_id] = HeldPart(held.n_tokens, now)


@dataclass
class DomainCut:
    """What speaks for a failure domain being cut off.

    Attributes
    ----------
    servers : set of str
        Its servers that could not be reached of late.
    last_at : float
        When the last one was tried, seconds.
    until : float
        Its servers are left out so long.
    """

    servers: set[str] = field(default_factory=set)
    last_at: float = float("-inf")
    until: float = float("-inf")

    def observe_unreachable(self, server_id: str, now: float) -> None:
        """Take in a server that could not be reached."""
        if now - self.last_at > CUT_MEMORY:
            self.servers.clear()
        self.servers.add(server_id)
        self.last_at = now
        if len(self.servers) >= MIN_CUT_SERVERS:
            self.until = now + CUT_PAUSE


@dataclass
class TimesFit:
    """Learns how long a service takes to its first token.

    Fits ``base + per_token * tokens`` by least squares in which older samples weigh
    less, over requests with nothing to be read before them.
    """

    plain: bool = False
    _sums: list[float] = field(default_factory=lambda: [0.0] * 5)
    _base: float = FIRST_BASE
    _per_token: float = FIRST_PER_TOKEN

    def __post_init__(self) -> None:
        if self.plain:
            self._base, self._per_token = FIRST_PLAIN, 0.0

    def observe(self, n_tokens: int, elapsed: float) -> None:
        """Take in one measured time.

        Parameters
        ----------
        n_tokens : int
            Prompt tokens that had to be read.
        elapsed : float
            Seconds to the first token or answer.
        """
        if self.plain:
            self._base += SMOOTHING * (min(elapsed, 4 * self._base) - self._base)
            return
        row = (1.0, n_tokens, elapsed, n_tokens * n_tokens, n_tokens * elapsed)
        self._sums = [
            FORGETTING * old + new for old, new in zip(self._sums, row, strict=True)
        ]
        n, sum_x, sum_y, sum_xx, sum_xy = self._sums
        spread = n * sum_xx - sum_x * sum_x
        if n < 8 or spread <= 0:
            return
        slope = (n * sum_xy - sum_x * sum_y) / spread
        self._per_token = min(max(slope, FIRST_PER_TOKEN / 5), FIRST_PER_TOKEN * 5)
        self._base = min(max((sum_y - self._per_token * sum_x) / n, 0.005), 1.0)

    def snapshot(self) -> ServiceTimes:
        """Report the times.

        Returns
        -------
        ServiceTimes
            As learned so far.
        """
        per_running = 0.0 if self.plain else PER_RUNNING
        return ServiceTimes(self._base, self._per_token, per_running)
