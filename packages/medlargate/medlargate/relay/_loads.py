"""What a node knows of each backend server's load, memory, speed and failures."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..platform import PromptPart, ServerLoad
from ..policy import ServerState, ServiceTimes, rank_by_hash
from ..routing import Registration, ServiceSpec

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
PEER_LIFETIME = 1.5  # seconds that a peer's word on its own load counts
FIRST_SUSPENSION = 0.5  # seconds without requests after a failed connection
MAX_SUSPENSION = 4.0  # seconds
# Answers the pattern of a failure domain cut off: each of its servers costs a request
# a connection's timeout, so that after two of them the rest are not tried for a while.
MIN_CUT_SERVERS = 2
CUT_MEMORY = 3.0  # seconds between two servers that count together
CUT_PAUSE = 1.0  # seconds
N_HOMES = 2  # servers that are presumed to hold a shared part
MIN_FETCH = 1_500  # tokens that are worth moving between engines
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
    """

    reading: float
    sent_at: float
    predicted: float
    n_uncached: int
    alone: bool
    has_begun: bool = False


@dataclass
class ServerView:
    """What is known of one server."""

    running: dict[int, Running] = field(default_factory=dict)
    peers: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    read_until: float = float("-inf")
    reported: ServerLoad | None = None
    reported_at: float = float("-inf")
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
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
            n for n, _, at in self.peers.values() if now - at < PEER_LIFETIME
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
        for _, reading, at in self.peers.values():
            if now - at < PEER_LIFETIME:
                own += max(0.0, reading - (now - at))
        return own

    def failure_share(self, now: float) -> float:
        """Return the share of failures, fading with time."""
        return self.failures * 0.5 ** ((now - self.failures_at) / FAILURE_HALF_LIFE)

    def observe_result(self, failed: bool, now: float) -> None:
        """Take in one answer or failure."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_SMOOTHING * (float(failed) - share)
        self.failures_at = now

    def count_cached(self, parts: Iterable[PromptPart]) -> int:
        """Count the leading tokens of a prompt that were read there before."""
        n_tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def observe_parts(self, parts: Iterable[PromptPart]) -> None:
        """Take in that a prompt is read there."""
        for part in parts:
            if part.part_id in self.parts:
                self.parts.move_to_end(part.part_id)
            else:
                self.parts[part.part_id] = part.n_tokens
                self.n_part_tokens += part.n_tokens
        while self.n_part_tokens > self.capacity and self.parts:
            _, n_tokens = self.parts.popitem(last=False)
            self.n_part_tokens -= n_tokens


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


class LoadBook:
    """What is known of all servers.

    Parameters
    ----------
    domain : str
        The node's failure domain.
    """

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self._cuts: dict[str, DomainCut] = {}
        self.views: dict[str, ServerView] = {}
        self.fits: dict[str, TimesFit] = {}

    def view(self, server_id: str) -> ServerView:
        """Return the view of a server, making one when it is new."""
        view = self.views.get(server_id)
        if view is None:
            view = self.views[server_id] = ServerView()
        return view

    def times(self, spec: ServiceSpec) -> ServiceTimes:
        """Return how long a service takes."""
        times = self._fit(spec).snapshot()
        if spec.engine is not None:
            return replace(times, per_fetched=spec.engine.transfer_per_token)
        return times

    def _fit(self, spec: ServiceSpec) -> TimesFit:
        fit = self.fits.get(spec.name)
        if fit is None:
            fit = self.fits[spec.name] = TimesFit(plain=spec.engine is None)
        return fit

    def make_states(
        self,
        spec: ServiceSpec,
        servers: Iterable[Registration],
        parts: tuple[PromptPart, ...],
        n_tokens: int,
    ) -> list[ServerState]:
        """Describe a request's candidates.

        Parameters
        ----------
        spec : ServiceSpec
            The service.
        servers : iterable of Registration
            Its servers that may be used.
        parts : tuple of PromptPart
            The request's prompt.
        n_tokens : int
            Its length.

        Returns
        -------
        list of ServerState
            One for each server that is not suspended; all when every one is.
        """
        now = time.monotonic()
        rows = list(servers)
        usable = [
            it
            for it in rows
            if self.view(it.server_id).suspended_until <= now
            and not self._is_cut(it.zone, now)
        ] or rows
        homes = _rank_homes(usable, parts)
        held = self._find_held(spec, parts)
        states = []
        for server in usable:
            view = self.view(server.server_id)
            cached = view.count_cached(parts)
            states.append(
                ServerState(
                    name=server.server_id,
                    domain=server.zone,
                    n_running=view.count_running(now),
                    n_slots=spec.engine.n_slots if spec.engine else server.n_slots,
                    backlog=view.sum_reading(now),
                    n_uncached=max(0, n_tokens - cached),
                    n_fetchable=max(0, held[1] - cached) if held else 0,
                    slowness=view.slowness,
                    failure_share=view.failure_share(now),
                    home_rank=homes.get(server.server_id),
                )
            )
        return states

    def _find_held(
        self, spec: ServiceSpec, parts: tuple[PromptPart, ...]
    ) -> tuple[str, int] | None:
        """Return the server that holds most of a prompt's beginning, and how much."""
        if spec.engine is None or not spec.engine.transfer_per_token:
            return None
        now = time.monotonic()
        best: tuple[str, int] | None = None
        for server_id, view in self.views.items():
            if view.suspended_until > now or not view.parts:
                continue
            n_tokens = view.count_cached(parts)
            if n_tokens >= MIN_FETCH and (best is None or n_tokens > best[1]):
                best = (server_id, n_tokens)
        return best

    def find_source(
        self, spec: ServiceSpec, state: ServerState, parts: tuple[PromptPart, ...]
    ) -> str | None:
        """Find the server from which another takes over a prompt's beginning.

        Parameters
        ----------
        spec : ServiceSpec
            The service.
        state : ServerState
            The server that gets the request.
        parts : tuple of PromptPart
            The request's prompt.

        Returns
        -------
        str or None
            None when too little would be moved.
        """
        if state.n_fetchable < MIN_FETCH:
            return None
        held = self._find_held(spec, parts)
        return held[0] if held is not None and held[0] != state.name else None

    def observe_send(
        self,
        key: int,
        spec: ServiceSpec,
        state: ServerState,
        parts: tuple[PromptPart, ...],
        predicted: float,
    ) -> None:
        """Take in that a request was sent.

        Parameters
        ----------
        key : int
            Names the attempt.
        spec : ServiceSpec
            The service.
        state : ServerState
            The server as it was seen.
        parts : tuple of PromptPart
            The request's prompt.
        predicted : float
            Seconds to its first token or answer.
        """
        view = self.view(state.name)
        now = time.monotonic()
        reading = state.n_to_read * self.times(spec).per_token * view.slowness
        view.observe_reading(reading, now)
        view.running[key] = Running(
            reading=reading,
            sent_at=now,
            predicted=predicted,
            n_uncached=state.n_to_read,
            alone=state.backlog < 0.005 and state.n_running < state.n_slots,
        )
        if spec.engine is not None:
            view.capacity = spec.engine.n_cache_tokens
            view.observe_parts(parts)

    def observe_begin(self, key: int, spec: ServiceSpec, server_id: str) -> None:
        """Take in a request's first token or answer.

        Parameters
        ----------
        key : int
            Names the attempt.
        spec : ServiceSpec
            The service.
        server_id : str
            The server.
        """
        view = self.view(server_id)
        run = view.running.get(key)
        if run is None or run.has_begun:
            return
        run.has_begun = True
        now = time.monotonic()
        elapsed = now - run.sent_at
        view.observe_begun(elapsed - run.predicted, now)
        view.suspension = FIRST_SUSPENSION
        for cut in self._cuts.values():
            if server_id in cut.servers:
                cut.servers.clear()
                cut.until = float("-inf")
        if run.alone:
            ratio = elapsed / max(run.predicted, 0.005) * view.slowness
            step = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
            view.slowness += SMOOTHING * (step - view.slowness)
        if run.alone and view.slowness < 2.0:
            self._fit(spec).observe(run.n_uncached, elapsed)

    def observe_end(self, key: int, server_id: str) -> None:
        """Take in that an attempt is over.

        Parameters
        ----------
        key : int
            Names the attempt.
        server_id : str
            The server.
        """
        self.view(server_id).running.pop(key, None)

    def _is_cut(self, domain: str, now: float) -> bool:
        cut = self._cuts.get(domain)
        return cut is not None and now < cut.until

    def observe_unreachable(self, server_id: str, domain: str = "") -> float:
        """Take in that a server could not be reached or died.

        Parameters
        ----------
        server_id : str
            The server.
        domain : str, default=""
            Its failure domain; the node's own one is never taken for cut off.

        Returns
        -------
        float
            Seconds for which it gets no requests.
        """
        view = self.view(server_id)
        now = time.monotonic()
        if domain not in ("", self.domain):
            cut = self._cuts.setdefault(domain, DomainCut())
            cut.observe_unreachable(server_id, now)
        duration = view.suspension
        view.suspended_until = now + duration
        view.suspension = min(MAX_SUSPENSION, 2 * duration)
        view.parts.clear()
        view.n_part_tokens = 0
        return duration

    def observe_report(self, server_id: str, load: ServerLoad) -> None:
        """Take in a server's own word on its load.

        Parameters
        ----------
        server_id : str
            The server.
        load : ServerLoad
            What it said with an answer.
        """
        view = self.view(server_id)
        view.reported, view.reported_at = load, time.monotonic()

    def observe_peer(self, peer: str, loads: Mapping[str, tuple[int, float]]) -> None:
        """Take in a peer's own load on each server.

        Parameters
        ----------
        peer : str
            The peer's name.
        loads : mapping of str to (int, float)
            Requests and seconds of reading by server; one that is left out is 0.
        """
        now = time.monotonic()
        for server_id, view in self.views.items():
            if peer in view.peers and server_id not in loads:
                del view.peers[peer]
        for server_id, (n_running, reading) in loads.items():
            self.view(server_id).peers[peer] = (n_running, reading, now)

    def observe_note(
        self,
        peer: str,
        server_id: str,
        n_running: int,
        reading: float,
        parts: Iterable[PromptPart],
    ) -> None:
        """Take in a peer's own load on one server.

        Parameters
        ----------
        peer, server_id : str
            Who, and where.
        n_running : int
            Its requests there.
        reading : float
            Seconds of reading that they still need.
        parts : iterable of PromptPart
            What the server holds from now on.
        """
        view = self.view(server_id)
        view.peers[peer] = (n_running, reading, time.monotonic())
        view.observe_parts(parts)

    def snapshot_server(self, server_id: str) -> tuple[int, float]:
        """Report this node's requests and seconds of reading on one server."""
        view = self.view(server_id)
        reading = view.sum_own_reading(time.monotonic())
        return len(view.running), round(reading, 3)

    def snapshot_own(self) -> dict[str, tuple[int, float]]:
        """Report this node's load on each server.

        Returns
        -------
        dict of str to (int, float)
            Requests and seconds of reading.
        """
        return {
            server_id: self.snapshot_server(server_id)
            for server_id, view in self.views.items()
            if view.running
        }

    def forget(self, server_id: str) -> None:
        """Drop the view of a server that left.

        Parameters
        ----------
        server_id : str
            The server.
        """
        view = self.views.get(server_id)
        if view is not None and not view.running:
            del self.views[server_id]


def _rank_homes(
    servers: list[Registration], parts: tuple[PromptPart, ...]
) -> dict[str, int]:
    """Rank the servers for a prompt's last shared part, alike on every node."""
    if len(parts) < 2:
        return {}
    ranked = rank_by_hash(parts[-2].part_id, sorted(it.server_id for it in servers))
    return {name: rank for rank, name in enumerate(ranked[:N_HOMES])}
