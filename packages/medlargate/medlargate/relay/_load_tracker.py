"""What a node knows of all backend servers, and how candidates are described."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import replace

from ..platform import PromptPart, ServerLoad
from ..policy import ServerState, ServiceTimes, rank_by_hash
from ..routing import Registration, ServiceSpec
from ._server_view import (
    FIRST_SUSPENSION,
    MAX_SLOWNESS,
    MAX_SUSPENSION,
    MIN_SLOWNESS,
    PEER_LIFETIME,
    SMOOTHING,
    DomainCut,
    PeerLoad,
    Running,
    ServerView,
    TimesFit,
)

N_HOMES = 2  # servers that are presumed to hold a shared part
MIN_FETCH = 1_500  # tokens that are worth moving between engines


class LoadTracker:
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
            n_fetchable = max(0, held[1] - cached) if held else 0
            states.append(
                ServerState(
                    name=server.server_id,
                    domain=server.zone,
                    n_running=view.count_running(now),
                    n_slots=spec.engine.n_slots if spec.engine else server.n_slots,
                    backlog=view.sum_reading(now),
                    n_uncached=max(0, n_tokens - cached),
                    n_fetchable=n_fetchable,
                    source=held[0] if held and n_fetchable >= MIN_FETCH else None,
                    slowness=view.slowness,
                    failure_share=view.failure_share(now),
                    home_rank=homes.get(server.server_id),
                )
            )
        return states

    def _find_held(
        self, spec: ServiceSpec, parts: tuple[PromptPart, ...]
    ) -> tuple[str, int] | None:
        """Return the server that has read most of a prompt, and how many tokens."""
        if spec.engine is None or not spec.engine.transfer_per_token:
            return None
        now = time.monotonic()
        best: tuple[str, int] | None = None
        for server_id, view in self.views.items():
            if view.suspended_until > now or not view.parts:
                continue
            n_tokens = view.count_ready(parts, now)
            if n_tokens >= MIN_FETCH and (best is None or n_tokens > best[1]):
                best = (server_id, n_tokens)
        return best

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
        reading = (
            state.n_prefill_tokens * self.times(spec).prefill_per_token * view.slowness
        )
        view.observe_reading(reading, now)
        view.running[key] = Running(
            reading=reading,
            sent_at=now,
            predicted=predicted,
            n_uncached=state.n_prefill_tokens,
            alone=state.backlog < 0.005 and state.n_running < state.n_slots,
            parts=parts,
        )
        if spec.engine is not None:
            view.capacity = spec.engine.n_cache_tokens
            view.observe_parts(parts, ready_at=now + predicted)

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
        view.observe_read(run.parts, now)
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

    def observe_unreachable(self, server_id: str, domain: str = "") -> None:
        """Take in that a server could not be reached or died.

        Parameters
        ----------
        server_id : str
            The server.
        domain : str, default=""
            Its failure domain; the node's own one is never taken for cut off.
        """
        view = self.view(server_id)
        now = time.monotonic()
        if domain not in ("", self.domain):
            cut = self._cuts.setdefault(domain, DomainCut())
            cut.observe_unreachable(server_id, now)
        view.suspended_until = now + view.suspension
        view.suspension = min(MAX_SUSPENSION, 2 * view.suspension)
        view.parts.clear()
        view.n_part_tokens = 0

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

    def observe_peer(
        self,
        peer: str,
        loads: Mapping[str, tuple[int, float]],
        *,
        lifetime: float = PEER_LIFETIME,
    ) -> None:
        """Take in the load of a peer, or another failure domain, on each server.

        Parameters
        ----------
        peer : str
            The peer's name, or the failure domain's.
        loads : mapping of str to (int, float)
            Requests and seconds of reading by server; one that is left out is 0.
        lifetime : float, default=2.5
            Seconds for which it counts.
        """
        now = time.monotonic()
        for server_id, view in self.views.items():
            if peer in view.peers and server_id not in loads:
                del view.peers[peer]
        for server_id, (n_running, reading) in loads.items():
            load = PeerLoad(n_running, reading, now, now + lifetime)
            self.view(server_id).peers[peer] = load

    def observe_parts(self, server_id: str, parts: Iterable[PromptPart]) -> None:
        """Take in what a server holds once it has read what it was given.

        Parameters
        ----------
        server_id : str
            The server.
        parts : iterable of PromptPart
            Parts of a prompt that it was given.
        """
        view = self.view(server_id)
        now = time.monotonic()
        view.observe_parts(parts, ready_at=now + view.sum_reading(now))

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
        now = time.monotonic()
        view.peers[peer] = PeerLoad(n_running, reading, now, now + PEER_LIFETIME)
        view.observe_parts(parts, ready_at=now + reading)

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

    def sum_loads(self, peers: Iterable[str]) -> dict[str, tuple[int, float]]:
        """Sum this node's load and some peers' on each server.

        Parameters
        ----------
        peers : iterable of str
            Their names.

        Returns
        -------
        dict of str to (int, float)
            Requests and seconds of reading.
        """
        now = time.monotonic()
        names = frozenset(peers)
        sums = {}
        for server_id, view in self.views.items():
            n_running, reading = self.snapshot_server(server_id)
            for peer, load in view.peers.items():
                if peer in names and now < load.until:
                    n_running += load.n_running
                    reading += load.sum_reading(now)
            if n_running:
                sums[server_id] = (n_running, round(reading, 2))
        return sums

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
