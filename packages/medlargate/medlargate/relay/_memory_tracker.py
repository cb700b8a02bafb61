"""Tokens that the requests of all nodes hold in the memory of each engine."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from ..policy import (
    FULL_SHARE,
    LINGER_TIME,
    SUSPECT_SHARE,
    TRANSIT_TIME,
    HeldRequest,
    OutputLengths,
    compute_memory_bound,
    count_held,
    count_shared,
    count_started,
    count_turns_ahead,
    fits,
    fits_class,
    has_turn,
    may_reserve,
    predict_least_release,
    rank_by_hash,
    should_announce,
)
from ..routing import ServiceSpec
from ._server_view import PEER_LIFETIME, REPORT_LIFETIME

if TYPE_CHECKING:
    from ._exchange import Exchange

log = logging.getLogger(__name__)

_Key = TypeVar("_Key")
HeldRow = tuple[float, float, float, float]

PEERS_CACHE_TIME = 0.25  # seconds
PEAK_LIFETIME = 1.0  # seconds; a server whose memory overflows crashes at once
FACT_LIFETIME = 600.0  # seconds; servers may be replaced by ones of another kind
SUSPECT_WINDOW = 60.0  # seconds between two crashes below the stated memory
# Started prompts must exceed the memory by this factor to prove that shared parts are
# held once; reports of peers are up to a second old.
SHARING_PROOF = 1.1
SIZE_SMOOTHING = 0.05
LOWERED_SHARE = 0.9  # of the tokens at which servers have crashed
# Answers grow and reports expire without an event that drops the cached sums.
SUM_LIFETIME = 0.03  # seconds
MAX_REPORTED = 200  # servers of which a node reports the held tokens


@dataclass(frozen=True, slots=True)
class PeerHeld:
    """Requests of a peer, or of another failure domain, on one server.

    Attributes
    ----------
    n_running : int
        Number of running requests.
    n_full, n_shared : float
        Tokens with each prompt in full, and with each shared part once; minus 1 if not
        reported.
    n_reserved : float
        Tokens reserved for a large request that waits.
    n_started : float
        Tokens that the server holds at least if it counts shared parts in full.
    valid_until : float
        Monotonic time at which the report expires, in seconds.
    """

    n_running: int
    n_full: float
    n_shared: float
    n_reserved: float
    n_started: float
    valid_until: float


@dataclass(slots=True)
class MemoryFacts:
    """What crashes and answers show of the engines of a service.

    Attributes
    ----------
    shares_parts : bool or None
        Whether engines hold a shared part once; None if not known.
    capacity : int or None
        Assumed memory in tokens if it is less than configured; None if not known.
    learned_at : float
        Monotonic time at which a node learned it, in seconds.
    """

    shares_parts: bool | None = None
    capacity: int | None = None
    learned_at: float = float("-inf")


@dataclass
class _ServerMemory:
    service: str = ""
    capacity: int = 0
    own: dict[int, tuple[HeldRequest, Exchange]] = field(default_factory=dict)
    announced: set[int] = field(default_factory=set)
    # Requests whose connection was closed before their end, and when they expire.
    lingering: list[tuple[HeldRequest, float]] = field(default_factory=list)
    reservation: HeldRequest | None = None
    peers: dict[str, PeerHeld] = field(default_factory=dict)
    # By failure domain: reports of the whole domain, and of its nodes.
    domains: dict[str, PeerHeld] = field(default_factory=dict)
    remote_peers: dict[str, dict[str, PeerHeld]] = field(default_factory=dict)
    n_unknown: int = 0
    unknown_until: float = float("-inf")
    # Largest recent tokens of each node, "" for this one, with their times.
    peaks: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Last sums of held tokens, in full and with shared parts once, and of tokens that
    # other nodes have reserved, and their time.
    sums: tuple[float, float, float] = (0.0, 0.0, 0.0)
    summed_at: float = float("-inf")

    def sum_peaks(self, now: float) -> float:
        """Return the largest fill within the last second, if all peaks coincided."""
        return sum(
            tokens for tokens, at in self.peaks.values() if now - at < PEAK_LIFETIME
        )

    def observe_peak(self, source: str, tokens: float, now: float) -> None:
        """Update the largest recent tokens of one node; drop cached sums."""
        self.summed_at = float("-inf")
        peak, at = self.peaks.get(source, (0.0, float("-inf")))
        if tokens >= peak or now - at > PEAK_LIFETIME:
            self.peaks[source] = tokens, now

    def list_own(self) -> list[HeldRequest]:
        for request, exch in self.own.values():
            engine = exch.service.engine
            stride = engine.n_tokens_per_event if engine is not None else 1
            request.has_started = exch.attempt.n_events > 0
            request.n_produced = exch.attempt.n_events * stride
        requests = [request for request, _ in self.own.values()]
        if self.lingering:
            now = time.monotonic()
            self.lingering = [it for it in self.lingering if now < it[1]]
            requests += [request for request, _ in self.lingering]
        return requests

    def list_reports(self, now: float) -> list[PeerHeld]:
        """Return the valid reports, of each other domain the larger one."""
        reports = [it for it in self.peers.values() if now < it.valid_until]
        for zone in self.domains.keys() | self.remote_peers.keys():
            whole = self.domains.get(zone)
            rows = [
                it
                for it in self.remote_peers.get(zone, {}).values()
                if now < it.valid_until
            ]
            n_direct = sum(it.n_running for it in rows)
            is_valid = whole is not None and now < whole.valid_until
            reports += [whole] if is_valid and whole.n_running >= n_direct else rows
        return reports


class MemoryTracker:
    """Tracker of the tokens held at engines, and decisions on their free memory.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    max_share : float
        Share of an engine's memory that requests may fill; 0 sets no bound.
    name : str
        Name of this node.
    get_wall_time, list_peers, count_nodes : callable
        Return the time of day in seconds, the names of the live peers, and the number
        of nodes heard in the last minutes; set when the node starts.
    announce : callable
        Called with a server's id when other nodes should hear of its load at once.
    facts : dict of str to MemoryFacts
        What was learned of the engines, by service.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.max_share = 0.95
        self.name = ""
        self.get_wall_time: Callable[[], float] = time.time
        self.list_peers: Callable[[], list[str]] = list
        self.count_nodes: Callable[[], int] = lambda: 1
        self.announce: Callable[[str], None] = lambda _: None
        self.announce_facts: Callable[[], None] = lambda: None
        self.facts: dict[str, MemoryFacts] = {}
        self._servers: dict[str, _ServerMemory] = {}
        self._lengths: dict[str, OutputLengths] = {}
        self._mean_durations: dict[str, float] = {}
        self._mean_sizes: dict[str, float] = {}
        self._class_sizes: dict[tuple[str, float | None], float] = {}
        self._suspect_crashes: dict[str, list[tuple[str, float, float]]] = {}
        self._rank, self._n_alive, self._n_nodes = 0, 1, 1
        self._peers_at = float("-inf")

    # Own requests

    def make_request(
        self, exch: Exchange, *, urgency: float | None = None
    ) -> HeldRequest | None:
        """Estimate the tokens that a request occupies; None without a bound."""
        engine = exch.service.engine
        if engine is None or not self.max_share:
            return None
        facts = exch.facts
        lengths = self._lengths.setdefault(exch.rule.name, OutputLengths())
        return HeldRequest(
            n_prompt=exch.n_tokens,
            n_expected=lengths.predict(facts.output_hint, facts.max_output_tokens),
            max_output=facts.max_output_tokens or None,
            parts=tuple((it.part_id, it.n_tokens) for it in facts.parts[:-1]),
            urgency=urgency,
        )

    def can_ever_fit(self, spec: ServiceSpec, request: HeldRequest) -> bool:
        """Return whether an engine's memory holds the prompt and a token of output."""
        return spec.engine is None or request.n_prompt < spec.engine.n_cache_tokens

    def observe_send(self, exch: Exchange, server_id: str) -> None:
        """Count a request that is sent to a server, and announce it if necessary."""
        request, spec = exch.held, exch.service
        if request is None or spec.engine is None:
            return
        memory = self._get(server_id)
        memory.service, memory.capacity = spec.name, spec.engine.n_cache_tokens
        memory.own[exch.exchange_id] = request, exch
        _smooth(self._mean_sizes, spec.name, request.n_tokens)
        _smooth(self._class_sizes, (spec.name, request.urgency), request.n_tokens)
        self.release_reservation(request)
        now = request.sent_at = self._clock()
        memory.observe_peak("", self._sum_own(memory), now)
        n_held = self._count_held(memory, now)
        bound = self._compute_bound(memory.capacity)
        if should_announce(request.n_tokens, n_held=n_held, bound=bound):
            memory.announced.add(exch.exchange_id)
            self.announce(server_id)

    def observe_end(self, exchange_id: int, server_id: str) -> None:
        """Remove a request whose attempt has ended."""
        memory = self._servers.get(server_id)
        row = memory.own.pop(exchange_id, None) if memory is not None else None
        if memory is None or row is None:
            return
        # A crash ends all requests at once: the peak is what they held until now.
        now = self._clock()
        own = self._sum_own(memory) + row[0].n_tokens
        memory.observe_peak("", own, now)
        request = row[0]
        duration = now - request.sent_at
        _smooth(self._mean_durations, memory.service, duration)
        if not request.has_ended:
            memory.lingering.append((request, now + LINGER_TIME))
        if exchange_id in memory.announced:
            memory.announced.discard(exchange_id)
            self.announce(server_id)

    def observe_completed(self, exch: Exchange) -> None:
        """Record that a server has finished a request, and the length of a stream."""
        engine = exch.service.engine
        if exch.held is None or engine is None:
            return
        exch.held.has_ended = True
        if not exch.n_events or exch.is_resumed or exch.n_sent > 1:
            return
        self._lengths[exch.rule.name].observe(
            exch.n_events * engine.n_tokens_per_event, hint=exch.facts.output_hint
        )

    def observe_not_run(self, exch: Exchange) -> None:
        """Record that a server does not run a request, or no longer."""
        if exch.held is not None:
            exch.held.has_ended = True

    def observe_started(self, server_id: str) -> None:
        """Check, after an event of a stream, whether shared parts are held once."""
        memory = self._servers.get(server_id)
        if memory is None or self._get_facts(memory.service).shares_parts is not None:
            return
        n_started = count_started(memory.list_own())
        n_started += sum(it.n_started for it in memory.list_reports(self._clock()))
        if n_started > SHARING_PROOF * memory.capacity:
            self._learn(memory.service, shares_parts=True)

    # Reservations

    def try_reserve(
        self, exch: Exchange, server_ids: Iterable[str], *, waited: float
    ) -> None:
        """Reserve room for a request that smaller ones have overtaken long enough.

        Parameters
        ----------
        exch : Exchange
            Waiting request.
        server_ids : iterable of str
            Servers that may run it.
        waited : float
            Time since its arrival, in seconds.
        """
        request = exch.held
        if request is None or not may_reserve(
            request.n_tokens,
            mean_size=self._mean_sizes.get(exch.service.name, 0.0),
            waited=waited,
            time_to_deadline=exch.deadline - exch.arrived_at,
        ):
            return
        reserved = [
            server_id
            for server_id, it in self._servers.items()
            if it.reservation is not None and it.service == exch.service.name
        ]
        if reserved:
            self._resolve_conflicts(reserved)
            return
        now = self._clock()
        free = [
            (self._count_held(memory, now), server_id)
            for server_id in server_ids
            if (memory := self._servers.get(server_id)) is not None
            and memory.service
            and not any(it.n_reserved for it in memory.list_reports(now))
            and self.has_turn(server_id)
        ]
        if free:
            _, server_id = min(free)
            self._servers[server_id].reservation = request
            exch.record("reserve", server=server_id, n_tokens=round(request.n_tokens))
            self.announce(server_id)

    def _resolve_conflicts(self, server_ids: list[str]) -> None:
        """Give up a reservation beside another node's that neither would get."""
        now = self._clock()
        for server_id in server_ids:
            memory = self._servers[server_id]
            others = [
                name
                for name, it in memory.peers.items()
                if it.n_reserved and now < it.valid_until
            ]
            others += [
                name
                for rows in memory.remote_peers.values()
                for name, it in rows.items()
                if it.n_reserved and now < it.valid_until
            ]
            if any(name < self.name for name in others):
                memory.reservation = None
                self.announce(server_id)

    def release_reservation(self, request: HeldRequest | None) -> None:
        """Give up the reservation of a request that waits no longer."""
        for server_id, memory in self._servers.items():
            if request is not None and memory.reservation is request:
                memory.reservation = None
                self.announce(server_id)

    # Decisions

    def has_turn(self, server_id: str) -> bool:
        """Return whether this node may fill a server now."""
        self._update_peers()
        return has_turn(
            server_id,
            rank=self._rank,
            n_nodes=self._n_alive,
            wall_time=self.get_wall_time(),
        )

    def count_others(self) -> int:
        """Return the number of live peers."""
        self._update_peers()
        return self._n_alive - 1

    def make_room_function(
        self,
        spec: ServiceSpec,
        request: HeldRequest,
        *,
        trial: str | None,
        contended: bool,
    ) -> Callable[[str], tuple[bool, float]]:
        """Return a function that computes the room for a request at each server.

        What does not depend on the server is looked up once, since each decision
        compares all servers of a service. The function is valid for one decision.

        Parameters
        ----------
        spec : ServiceSpec
            Service of the request.
        request : HeldRequest
            Request that waits.
        trial : str or None
            Server that shows whether shared parts are held once.
        contended : bool
            Whether several requests of the service wait at this node.

        Returns
        -------
        callable
            Returns for a server whether the request may be sent there, and the free
            tokens.
        """
        assert spec.engine is not None
        facts, n_cache_tokens = self._get_facts(spec.name), spec.engine.n_cache_tokens
        capacity = n_cache_tokens
        if facts.capacity is not None:
            capacity = min(facts.capacity, n_cache_tokens)
        bound = self._compute_bound(capacity)
        now, wall_time = self._clock(), self.get_wall_time()
        n_others = self._n_alive - 1
        largest = min(request.n_tokens, capacity)

        def compute(server_id: str) -> tuple[bool, float]:
            memory = self._get(server_id)
            memory.service, memory.capacity = spec.name, n_cache_tokens
            shared = facts.shares_parts
            if shared is None:
                shared = server_id == trial
            # A reservation lets smaller requests wait, but none that is more urgent.
            heeds_reservations = request.urgency is None or request.urgency < 1
            n_held = self._count_held(
                memory, now, shared=shared, with_reserved=heeds_reservations
            )
            if (
                heeds_reservations
                and memory.reservation is not None
                and memory.reservation is not request
            ):
                n_held += memory.reservation.n_tokens
            size, n_recent = largest, 0.0
            if memory.own:
                if shared and request.parts:
                    known = {
                        it for row, _ in memory.own.values() for it, _ in row.parts
                    }
                    size -= count_shared(request.parts, known)
                n_recent = sum(
                    it.n_tokens
                    for it, _ in memory.own.values()
                    if now - it.sent_at < TRANSIT_TIME
                )
            n_turns_ahead = count_turns_ahead(
                server_id,
                rank=self._rank,
                n_nodes=self._n_alive,
                wall_time=wall_time,
            )
            if request.urgency is None:
                decide = partial(fits, turn=not n_turns_ahead)
            else:
                decide = partial(
                    fits_class, urgency=request.urgency, n_turns_ahead=n_turns_ahead
                )
            has_room = decide(
                size,
                n_held=n_held,
                n_recent=n_recent,
                typical_size=self._class_sizes.get((spec.name, request.urgency), size),
                bound=bound,
                capacity=capacity,
                contended=contended,
                n_others=n_others,
            )
            return has_room, max(0.0, bound - n_held)

        return compute

    def choose_trial_server(
        self, spec: ServiceSpec, request: HeldRequest | None, server_ids: list[str]
    ) -> str | None:
        """Return the server that shows whether shared parts are held once.

        None if this is known, or if the request has no shared part.
        """
        if request is None or not request.parts or not server_ids:
            return None
        if self._get_facts(spec.name).shares_parts is not None:
            return None
        return rank_by_hash(spec.name, sorted(server_ids))[0]

    def predict_wait(
        self, exch: Exchange, n_tokens_ahead: float, free: Iterable[float]
    ) -> float:
        """Return the time until the memory has room for a request, in seconds.

        Parameters
        ----------
        exch : Exchange
            Waiting request.
        n_tokens_ahead : float
            Tokens of this node's requests that are served before it.
        free : iterable of float
            Free tokens of each server.
        """
        if exch.held is None:
            return 0.0
        size = max(1.0, exch.held.n_tokens)
        # Room that is too small for the request does not count, and peers use the rest.
        n_usable = sum(it // size for it in free) * size / (1 + self.count_others())
        service = exch.service.name
        duration = self._mean_durations.get(service)
        if not duration:
            return 0.0
        # Requests that run now release their tokens within the mean duration. A node
        # that has got little room lately gets its part of what all nodes release.
        now, n_own, n_all = self._clock(), 0.0, 0.0
        for memory in self._servers.values():
            if memory.service == service:
                n_own += sum(request.n_tokens for request, _ in memory.own.values())
                n_all += self._count_held(memory, now)
        n_least = self._mean_sizes.get(service, size)
        n_part = n_all / (1 + self.count_others())
        return predict_least_release(
            n_tokens_ahead + size - n_usable,
            size=size,
            release_rate=max(n_own, n_part, n_least) / duration,
        )

    def is_full(self, server_id: str) -> bool:
        """Return whether a server's memory was full within the last second."""
        memory = self._servers.get(server_id)
        if memory is None or not self.max_share:
            return False
        peak = memory.sum_peaks(self._clock())
        return peak > 0 and peak >= FULL_SHARE * self._get_capacity(memory)

    def observe_crash(self, server_id: str, run: str) -> None:
        """Learn from the crash of a server what its service's memory holds.

        Parameters
        ----------
        server_id : str
            Server that crashed.
        run : str
            Identity of the run of the server that ended.
        """
        memory = self._servers.get(server_id)
        now = self._clock()
        if memory is None:
            return
        peak = memory.sum_peaks(now)
        facts = self._get_facts(memory.service)
        if peak >= FULL_SHARE * memory.capacity and facts.shares_parts is not False:
            self._learn(memory.service, shares_parts=False)
            return
        if peak < SUSPECT_SHARE * memory.capacity:
            return
        rows = self._suspect_crashes.setdefault(memory.service, [])
        rows[:] = [it for it in rows if now - it[2] < SUSPECT_WINDOW and it[0] != run]
        rows.append((run, peak, now))
        if len(rows) > 1:
            capacity = int(LOWERED_SHARE * min(it[1] for it in rows))
            if facts.capacity is None or capacity < facts.capacity:
                self._learn(memory.service, capacity=capacity)

    # Messages

    def get_row(self, server_id: str) -> HeldRow | None:
        """Return what this node holds at a server, for peers; None for nothing."""
        memory = self._servers.get(server_id)
        if memory is None:
            return None
        requests = memory.list_own()
        if not requests and memory.reservation is None:
            return None
        n_full, n_shared = count_held(requests)
        reserved = memory.reservation.n_tokens if memory.reservation else 0.0
        return round(n_full), round(n_shared), round(reserved), count_started(requests)

    def list_rows(self) -> dict[str, HeldRow]:
        """Return what this node holds, by server."""
        rows = {}
        for server_id in self._servers:
            row = self.get_row(server_id)
            if row is not None and len(rows) < MAX_REPORTED:
                rows[server_id] = row
        return rows

    def sum_rows(self, peers: Iterable[str]) -> dict[str, HeldRow]:
        """Return what this node and the given peers of its domain hold, by server."""
        names, now = frozenset(peers), self._clock()
        sums = {}
        for server_id, memory in self._servers.items():
            rows = [self.get_row(server_id) or (0, 0, 0, 0)]
            rows += [
                (it.n_full, it.n_shared, it.n_reserved, it.n_started)
                for name, it in memory.peers.items()
                if name in names and now < it.valid_until and it.n_full >= 0
            ]
            total = tuple(map(sum, zip(*rows, strict=True)))
            if any(total) and len(sums) < MAX_REPORTED:
                sums[server_id] = total
        return sums

    def observe_peer(
        self,
        peer: str,
        loads: Mapping[str, tuple[int, float]],
        held: Mapping[str, HeldRow],
        *,
        lifetime: float,
        zone: str | None = None,
    ) -> None:
        """Replace what a peer, or another failure domain, holds at all servers.

        Parameters
        ----------
        peer : str
            Name of the peer, or of the failure domain if ``zone`` equals it.
        loads : mapping of str to (int, float)
            Running requests and prefill seconds, by server.
        held : mapping of str to tuple
            Held tokens, by server.
        lifetime : float
            Time for which the report is used, in seconds.
        zone : str or None
            Other failure domain whose sum is reported; None for a peer of this one.
        """
        for server_id, memory in self._servers.items():
            if server_id not in loads and server_id not in held:
                table = memory.peers if zone is None else memory.domains
                table.pop(peer, None)
                memory.summed_at = float("-inf")
        for server_id in loads.keys() | held.keys():
            n_running = loads.get(server_id, (0, 0.0))[0]
            memory = self._get(server_id)
            row = self._make_report(memory, n_running, held.get(server_id), lifetime)
            (memory.peers if zone is None else memory.domains)[peer] = row
            memory.summed_at = float("-inf")
            if zone is None:
                memory.observe_peak(peer, row.n_full, self._clock())

    def observe_update(
        self, peer: str, zone: str | None, server_id: str, n_running: int, held: HeldRow
    ) -> None:
        """Store what a peer announced for one server.

        Parameters
        ----------
        peer : str
            Name of the peer.
        zone : str or None
            Its failure domain if that is another one.
        server_id : str
            Server that runs the peer's requests.
        n_running : int
            Number of these requests.
        held : tuple
            Tokens that they hold.
        """
        memory = self._get(server_id)
        row = self._make_report(memory, n_running, held, PEER_LIFETIME)
        if zone is None:
            memory.peers[peer] = row
        else:
            memory.remote_peers.setdefault(zone, {})[peer] = row
        shares = self._get_facts(memory.service).shares_parts is True
        tokens = row.n_shared if shares else row.n_full
        memory.observe_peak(peer, tokens, self._clock())

    def _make_report(
        self,
        memory: _ServerMemory,
        n_running: int,
        row: Sequence[float] | None,
        lifetime: float,
    ) -> PeerHeld:
        valid_until = self._clock() + lifetime
        if row is None:
            return PeerHeld(n_running, -1.0, -1.0, 0.0, 0.0, valid_until)
        n_full, n_shared, n_reserved, n_started = (max(0.0, it) for it in row)
        if memory.capacity:
            # Shared parts counted in full may exceed the memory, the rest may not.
            n_shared = min(n_shared, memory.capacity)
            n_reserved = min(n_reserved, memory.capacity)
        return PeerHeld(
            n_running, n_full, min(n_shared, n_full), n_reserved, n_started, valid_until
        )

    def count_running(self, server_id: str, n_own: int) -> int:
        """Return the requests of all nodes on a server, as far as nodes report them."""
        memory = self._get(server_id)
        return n_own + sum(it.n_running for it in memory.list_reports(self._clock()))

    def observe_report(self, server_id: str, n_known: int, n_reported: int) -> None:
        """Store how many requests a server has that no node reports."""
        memory = self._servers.get(server_id)
        if memory is not None:
            memory.n_unknown = max(0, n_reported - n_known)
            memory.unknown_until = self._clock() + REPORT_LIFETIME

    def list_facts(self) -> dict[str, tuple[bool | None, int | None, float]]:
        """Return what was learned of the engines, with its age, by service."""
        now = self._clock()
        return {
            service: (it.shares_parts, it.capacity, round(now - it.learned_at, 2))
            for service, it in self.facts.items()
            if now - it.learned_at < FACT_LIFETIME
        }

    def merge_facts(
        self, rows: Mapping[str, tuple[bool | None, int | None, float]]
    ) -> None:
        """Take over what other nodes have learned more recently."""
        now = self._clock()
        for service, (shares_parts, capacity, age) in rows.items():
            known = self._get_facts(service)
            is_newer = now - age > known.learned_at + 0.05
            # A crash outweighs an answer.
            if shares_parts is None or known.shares_parts is False:
                shares_parts = known.shares_parts
            sizes = [it for it in (capacity, known.capacity) if it is not None]
            if is_newer:
                self.facts[service] = MemoryFacts(
                    shares_parts, min(sizes, default=None), now - age
                )

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone, unless requests of this node run there."""
        memory = self._servers.get(server_id)
        # The estimate is still needed for a server that has just crashed.
        is_recent = memory is not None and memory.sum_peaks(self._clock())
        if memory is not None and not memory.own and not is_recent:
            del self._servers[server_id]

    # Sums

    def _get(self, server_id: str) -> _ServerMemory:
        memory = self._servers.get(server_id)
        if memory is None:
            memory = self._servers[server_id] = _ServerMemory()
        return memory

    def _get_facts(self, service: str) -> MemoryFacts:
        facts = self.facts.get(service)
        if facts is None or self._clock() - facts.learned_at > FACT_LIFETIME:
            return MemoryFacts()
        return facts

    def _get_capacity(self, memory: _ServerMemory) -> int:
        lowered = self._get_facts(memory.service).capacity
        return memory.capacity if lowered is None else min(lowered, memory.capacity)

    def _learn(
        self,
        service: str,
        *,
        shares_parts: bool | None = None,
        capacity: int | None = None,
    ) -> None:
        known = self._get_facts(service)
        self.facts[service] = MemoryFacts(
            known.shares_parts if shares_parts is None else shares_parts,
            known.capacity if capacity is None else capacity,
            self._clock(),
        )
        log.warning(
            "memory of the engines of a service learned",
            extra={
                "service": service,
                "shares_parts": self.facts[service].shares_parts,
                "capacity": self.facts[service].capacity,
            },
        )
        self.announce_facts()

    def _compute_bound(self, capacity: int) -> float:
        self._update_peers()
        return compute_memory_bound(
            capacity,
            max_share=self.max_share,
            n_alive=self._n_alive,
            n_nodes=self._n_nodes,
        )

    def _update_peers(self) -> None:
        now = self._clock()
        if now - self._peers_at <= PEERS_CACHE_TIME:
            return
        peers = self.list_peers()
        self._peers_at = now
        self._rank = sum(peer < self.name for peer in peers)
        self._n_alive = 1 + len(peers)
        self._n_nodes = max(self._n_alive, self.count_nodes())

    def _count_held(
        self,
        memory: _ServerMemory,
        now: float,
        *,
        shared: bool = False,
        with_reserved: bool = True,
    ) -> float:
        """Return the tokens that all nodes hold at a server, as far as known."""
        if now - memory.summed_at > SUM_LIFETIME:
            memory.sums = self._sum_all(memory, now)
            memory.summed_at = now
        return memory.sums[shared] + with_reserved * memory.sums[2]

    def _sum_all(self, memory: _ServerMemory, now: float) -> tuple[float, float, float]:
        n_full, n_shared = count_held(memory.list_own())
        n_reserved = 0.0
        mean = self._mean_sizes.get(memory.service, 0.0)
        for it in memory.list_reports(now):
            is_reported = it.n_full >= 0
            n_full += it.n_full if is_reported else it.n_running * mean
            n_shared += it.n_shared if is_reported else it.n_running * mean
            n_reserved += it.n_reserved
        unknown = 0.0
        if now < memory.unknown_until:
            # A server that reports too much leaves half of its memory usable.
            unknown = min(memory.n_unknown * mean, memory.capacity / 2)
        return n_full + unknown, n_shared + unknown, n_reserved

    def _sum_own(self, memory: _ServerMemory) -> float:
        shares = self._get_facts(memory.service).shares_parts is True
        return count_held(memory.list_own())[shares]


def _smooth(means: dict[_Key, float], key: _Key, sample: float) -> None:
    """Update a moving average, which begins with its first sample."""
    mean = means.get(key, sample)
    means[key] = mean + SIZE_SMOOTHING * (sample - mean)
