"""Service-time model of an inference engine on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from cachetools import LRUCache
from medlargate.policy import Job

REPORT_INTERVAL = 1.0  # seconds between two load reports of an engine
MAX_PREFIXES = 64  # prompt prefixes that an engine caches


class VirtualClock:
    """Event queue that runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time in seconds."""
        heapq.heappush(self._events, (at, next(self._sequence), callback))

    def run_until(self, end: float) -> None:
        """Run every callback due up to a virtual time and set the clock to it."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end


@dataclass(eq=False)
class Stream:
    """One attempt to serve a request on an engine.

    Attributes
    ----------
    job : Job
        The request.
    n_tokens : int
        Number of output tokens that the attempt has to generate.
    on_first : callable
        Callback at the first token.
    on_end : callable
        Callback at the end of the attempt, with the number of generated tokens and
        whether the engine completed the request.
    started_at : float
        Virtual time at which the engine received the request.
    finish : float
        Value of the engine's progress counter at which the last token is due.
    start_progress : float
        Value of the engine's progress counter when decoding started.
    state : str
        ``"queued"``, ``"prefill"``, ``"decoding"`` or ``"ended"``.
    slot_acquired_at : float or None
        Virtual time at which the stream entered the batch.
    decoding_at : float
        Virtual time of the first token.
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
        """Return the seconds for which the stream has held a slot of the batch."""
        return now - self.slot_acquired_at if self.slot_acquired_at is not None else 0.0


@dataclass
class EngineModel:
    """Engine with continuous batching, in which all streams decode at one rate.

    Attributes
    ----------
    clock : VirtualClock
        Clock of the simulation.
    name, failure_domain : str
        Name of the engine and of the failure domain in which it runs.
    cheap : bool
        Whether the engine runs on cheap capacity, which may be evicted.
    batch : int
        Number of streams that run at once. Further streams wait in order of tier.
    interval : float
        Seconds between two tokens of a stream without other streams in the batch.
    interval_per_stream : float
        Seconds that each decoding stream adds to the token interval.
    first_token : float
        Seconds from the start of prefill to the first token, with a cached prompt.
    prefill : float
        Seconds of prefill for each prompt token that is not cached.
    slow : float
        Factor by which all service times are multiplied.
    up : bool
        Whether the engine accepts requests. False after a crash until the restart.
    running : set of Stream
        Streams in the batch.
    queue : list of Stream
        Streams that wait for a slot of the batch.
    reported_load : int
        Number of streams present at the last load report.
    busy : float
        Slot-seconds in use since the start.
    load_samples : list of int
        Number of streams present at each load report.
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
        """Number of running and waiting streams."""
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
        """Return the exact seconds to the first token of a job with a free slot."""
        cost = 0.0 if job.prefix_hash in self._prefixes else job.prompt_tokens
        return (self.first_token + cost * self.prefill) * self.slow

    def start(self, stream: Stream) -> None:
        """Accept a stream. A stream sent to a crashed engine ends at once."""
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
        """Cancel a stream and return the number of tokens generated so far."""
        self._advance()
        n_done = self._count_tokens_done(stream)
        if stream in self.queue:
            self.queue.remove(stream)
        self._remove_running(stream)
        self._admit_queued()
        self._schedule_completion()
        return n_done

    def set_slowdown(self, slow: float) -> None:
        """Set the factor by which all service times are multiplied."""
        self._advance()
        self.slow = slow
        self._schedule_completion()

    def crash(self, downtime: float) -> None:
        """End all streams as failed and stop for ``downtime`` seconds."""
        self._advance()
        # The order of a set of objects differs between runs.
        running = sorted(self.running, key=lambda stream: stream.job.request_id)
        failed = [(s, self._count_tokens_done(s)) for s in [*running, *self.queue]]
        self.running.clear()
        self.queue.clear()
        self._finish_heap.clear()
        self._schedule_version += 1
        self.up = False
        self.clock.call_at(self.clock.now + downtime, self._restart)
        for stream, n_done in failed:
            stream.state = "ended"
            stream.on_end(n_done, False)

    def _restart(self) -> None:
        self.up = True
        self._prefixes.clear()
