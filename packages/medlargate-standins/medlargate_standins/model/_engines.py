"""Service-time model of an engine on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from cachetools import LRUCache
from medlargate.policy import Job

REPORT_INTERVAL = 1.0  # seconds
MAX_PREFIXES = 64


class VirtualClock:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Call a function at a virtual time."""
        heapq.heappush(self._events, (at, next(self._numbers), callback))

    def run_until(self, end: float) -> None:
        """Run every callback up to a virtual time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end


@dataclass(eq=False)
class Stream:
    """One request on an engine.

    Attributes
    ----------
    job : Job
        The request.
    n_tokens : int
        Tokens still to generate.
    on_first, on_end : callable
        Called at the first token, and at the end with the tokens done and whether
        the engine finished the work.
    """

    job: Job
    n_tokens: int
    on_first: Callable[[], None]
    on_end: Callable[[int, bool], None]
    started_at: float = 0.0
    finish: float = 0.0
    start_progress: float = 0.0
    state: str = "queued"
    slot_acquired_at: float | None = None
    decoding_at: float = 0.0

    def slot_seconds(self, now: float) -> float:
        """Return how long the stream has held a place in the batch."""
        return now - self.slot_acquired_at if self.slot_acquired_at is not None else 0.0


@dataclass
class EngineModel:
    """Continuous batching: all running streams advance at the same rate.

    Attributes
    ----------
    clock : Clock
        Virtual time.
    name, failure_domain : str
        Identity.
    cheap : bool
        May be evicted.
    batch : int
        Streams that run at once; more wait by tier.
    interval, slope : float
        Seconds between tokens, and what each running stream adds.
    first_token, prefill : float
        Seconds to the first token, and for each prompt token not cached.
    slow : float
        Factor on all times.
    """

    clock: VirtualClock
    name: str
    failure_domain: str = "fd-a"
    cheap: bool = False
    batch: int = 16
    interval: float = 0.010
    interval_per_stream: float = 0.0009
    first_token: float = 0.05
    prefill: float = 0.0002
    slow: float = 1.0
    up: bool = True
    running: set[Stream] = field(default_factory=set)
    queue: list[Stream] = field(default_factory=list)
    reported_load: int = 0
    busy: float = 0.0
    load_samples: list[int] = field(default_factory=list)
    _progress: float = 0.0
    _advanced_at: float = 0.0
    _finish_heap: list[tuple[float, int, Stream]] = field(default_factory=list)
    _sequence: itertools.count = field(default_factory=itertools.count)
    _schedule_version: int = 0
    _prefixes: LRUCache = field(default_factory=lambda: LRUCache(MAX_PREFIXES))

    def __post_init__(self) -> None:
        self.clock.call_at(self.clock.now + REPORT_INTERVAL, self._report_load)

    @property
    def n_present(self) -> int:
        """Streams running and waiting."""
        return len(self.running) + len(self.queue)

    def _report_load(self) -> None:
        self.reported_load = self.n_present
        self.load_samples.append(self.n_present)
        self.clock.call_at(self.clock.now + REPORT_INTERVAL, self._report_load)

    def _compute_token_interval(self) -> float:
        n_decoding = sum(s.state == "decoding" for s in self.running)
        return (self.interval + self.interval_per_stream * n_decoding) * self.slow

    def _advance(self) -> None:
        elapsed = self.clock.now - self._advanced_at
        self.busy += elapsed * len(self.running)
        if elapsed > 0:
            self._progress += elapsed / self._compute_token_interval()
        self._advanced_at = self.clock.now

    def compute_first_token(self, job: Job) -> float:
        """Return the true first-token time of a job that finds a free slot."""
        cost = 0.0 if job.prefix_hash in self._prefixes else job.prompt_tokens
        return (self.first_token + cost * self.prefill) * self.slow

    def start(self, stream: Stream) -> None:
        """Take a stream; when down it ends at once."""
        stream.started_at = self.clock.now
        if not self.up:
            stream.on_end(0, False)
            return
        self.queue.append(stream)
        self._admit_queued()

    def _admit_queued(self) -> None:
        while self.queue and len(self.running) < self.batch:
            stream = min(self.queue, key=lambda s: (s.job.tier, s.started_at))
            self.queue.remove(stream)
            self._advance()
            self.running.add(stream)
            stream.state = "prefill"
            stream.slot_acquired_at = self.clock.now
            cached = stream.job.prefix_hash in self._prefixes
            self._prefixes[stream.job.prefix_hash] = True
            cost = 0.0 if cached else stream.job.prompt_tokens * self.prefill
            delay = (self.first_token + cost) * self.slow
            self.clock.call_at(
                self.clock.now + delay, lambda s=stream: self._start_decoding(s)
            )

    def _start_decoding(self, stream: Stream) -> None:
        if stream not in self.running:
            return
        self._advance()
        stream.state = "decoding"
        stream.decoding_at = self.clock.now
        stream.start_progress = self._progress
        stream.finish = self._progress + stream.n_tokens
        heapq.heappush(self._finish_heap, (stream.finish, next(self._sequence), stream))
        stream.on_first()
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        self._schedule_version += 1
        while self._finish_heap and self._finish_heap[0][2] not in self.running:
            heapq.heappop(self._finish_heap)
        if not self._finish_heap:
            return
        delay = (
            max(0.0, self._finish_heap[0][0] - self._progress)
            * self._compute_token_interval()
        )
        version = self._schedule_version
        self.clock.call_at(
            self.clock.now + delay, lambda: self._complete_streams(version)
        )

    def _complete_streams(self, version: int) -> None:
        if version != self._schedule_version:
            return
        self._advance()
        done = []
        while self._finish_heap and self._finish_heap[0][0] <= self._progress + 1e-6:
            done.append(heapq.heappop(self._finish_heap)[2])
        for stream in done:
            if stream in self.running:
                self._remove_running(stream)
                stream.on_end(stream.n_tokens, True)
        self._admit_queued()
        self._schedule_completion()

    def _remove_running(self, stream: Stream) -> None:
        self.running.discard(stream)
        stream.state = "ended"

    def _count_tokens_done(self, stream: Stream) -> int:
        if stream.state != "decoding":
            return 0
        return min(stream.n_tokens, int(self._progress - stream.start_progress))

    def cancel(self, stream: Stream) -> int:
        """End a stream and return the tokens that it got."""
        self._advance()
        n_done = self._count_tokens_done(stream)
        if stream in self.queue:
            self.queue.remove(stream)
        self._remove_running(stream)
        self._admit_queued()
        self._schedule_completion()
        return n_done

    def set_slowdown(self, slow: float) -> None:
        """Change the factor on all times."""
        self._advance()
        self.slow = slow
        self._schedule_completion()

    def crash(self, downtime: float) -> None:
        """Break all streams and stay down for some seconds."""
        self._advance()
        broken = [(s, self._count_tokens_done(s)) for s in [*self.running, *self.queue]]
        self.running.clear()
        self.queue.clear()
        self._finish_heap.clear()
        self._schedule_version += 1
        self.up = False
        self.clock.call_at(self.clock.now + downtime, self._restart)
        for stream, n_done in broken:
            stream.state = "ended"
            stream.on_end(n_done, False)

    def _restart(self) -> None:
        self.up = True
        self._prefixes.clear()
