"""The node's part in the fleet: word to peers, relayed beliefs, usage counts."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson
from returns.result import Failure

from ..fleet import (
    STATUS_LIFETIME_ROUNDS,
    ClusterState,
    DomainStatus,
    DomainTable,
    LoadUpdate,
    PeerCheckedClock,
    PeerMessenger,
    PeerStatus,
    PeerTable,
    StatusMessage,
    UsageCounts,
    decode_node,
    encode_node,
)
from ..platform import Change, Entry, PromptPart, Put, Store
from ..policy import CrashHistory
from ..routing import IngressLimits
from ..transport import (
    ConnectFaultError,
    ExchangeFaultError,
    IncomingRequest,
    IngressServer,
    Responder,
    open_connection,
)
from ._load_tracker import LoadTracker

log = logging.getLogger(__name__)

NODES_PREFIX = "medlargate/nodes/"
# The node's own watch mostly brings the same news within this time.
PULL_DELAY = 0.15  # seconds
# The node that speaks for its failure domain pulls from others unless the watch there
# brings the news first; its peers have it from there, or try themselves later.
FAR_PULL_DELAY = 0.4  # seconds
LATE_PULL_DELAY = 1.0  # seconds
PULL_TIMEOUT = 1.0  # seconds
TRANSIT = 0.1  # seconds that word may have been on its way
NEWS_DELAY = 0.02  # seconds; the changes of one answer of the store come together
REGISTER_PAUSE = 1.0  # seconds between tries to write this node's entry
N_WATCHERS = 1  # nodes of a failure domain that watch the store; others hear them
MIN_DOMAIN_LIFETIME = 1.5  # seconds that a failure domain's word on loads counts
USAGE_PATIENCE = 10.0  # seconds without word until a peer's counts are given up
USAGE_WINDOWS_TOLD = 2  # the running window and those before it


class FleetSync:
    """Joins this node's beliefs and loads with its peers'.

    Parameters
    ----------
    name, zone, host : str
        This node.
    port : int
        Datagrams and pulls.
    incarnation : str
        This start of the process.
    beliefs : Beliefs
        Relayed to and from peers.
    loads : LoadTracker
        Own load told, peers' taken in.
    store : Store
        Where nodes find each other.
    clock : callable
        Returns seconds.
    true_time : PeerCheckedClock
        The time of day.
    usage : UsageCounts
        Counts told and merged.
    crashes : CrashHistory
        Requests that crash servers, told and merged.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        port: int,
        incarnation: str,
        beliefs: ClusterState,
        loads: LoadTracker,
        store: Store,
        clock: Callable[[], float],
        true_time: PeerCheckedClock,
        usage: UsageCounts,
        crashes: CrashHistory,
    ) -> None:
        self.table = PeerTable(name, zone, clock)
        self.domains = DomainTable(self.table, clock)
        self.talk = PeerMessenger(
            self.table,
            self._make_word,
            self._take_word,
            self._take_note,
            self._take_domain_word,
        )
        self.incarnation = incarnation
        self.is_holder: Callable[[], bool] = lambda: False
        self.make_demand: Callable[[], dict[str, float]] = dict
        self.make_tight_demand: Callable[[], dict[str, float]] = dict
        self.store_up: Callable[[], bool] = lambda: True
        self._host = host
        self._port = port
        self._beliefs = beliefs
        self._loads = loads
        self._store = store
        self._clock = clock
        self._true_time = true_time
        self._usage = usage
        self._crashes = crashes
        self._pulls = IngressServer(self._answer_pull, IngressLimits)
        self._news_due = False
        self._pulling: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for peers."""
        await self.talk.start(self._host, self._port)
        await self._pulls.start(self._host, self._port)
        self._beliefs.config_listeners.append(self.tell_ages)
        self._beliefs.server_listeners.append(self._observe_news)

    def observe_seeds(self, seeds: str) -> None:
        """Take in addresses that the settings name.

        Parameters
        ----------
        seeds : str
            ``IP:PORT`` joined by commas; only the IP numbers are used.
        """
        for seed in filter(None, seeds.split(",")):
            host = seed.strip().rpartition(":")[0]
            if host != self._host:
                address = f"{host}:{self._port}"
                self.table.observe_address(address, "", address)

    async def run_registration(self) -> None:
        """Write this node's entry and read the others', until both are done."""
        key = NODES_PREFIX + self.table.name
        address = f"{self._host}:{self._port}"
        value = encode_node(self.table.zone, address, self.incarnation)
        while True:
            written = await self._store.write([], [Put(key, value)])
            found = await self._store.read(NODES_PREFIX, prefix=True)
            if not isinstance(found, Failure):
                self._observe_nodes(found.unwrap().entries)
            if not isinstance(written, Failure) and not isinstance(found, Failure):
                break
            await asyncio.sleep(REGISTER_PAUSE)
        self.talk.send_status_round()

    def _observe_nodes(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            row = decode_node(entry.value)
            if row is not None:
                name = entry.key.removeprefix(NODES_PREFIX)
                self.table.observe_address(name, row["zone"], row["address"])

    def has_all(self, since: float) -> bool:
        """Tell whether every peer heard lately has spoken since a time of day."""
        return all(
            peer.status is None or peer.status.time >= since
            for peer in self.table.peers.values()
            if self._clock() - peer.heard_at < USAGE_PATIENCE
        )

    def watches(self) -> bool:
        """Tell whether this node holds watches of the store for its domain."""
        return self.table.rank_in_domain() < N_WATCHERS

    # Word out

    def _make_ages(self) -> dict[str, Any]:
        """Return the fields of a ``StatusMessage`` but loads and demand."""
        age = self._beliefs.freshness()
        now = self._clock()
        return {
            "name": self.table.name,
            "zone": self.table.zone,
            "address": f"{self._host}:{self._port}",
            "time": round(self._true_time.now(), 3),
            "config_revision": age.config_revision,
            "servers_revision": age.servers_revision,
            "servers_digest": self._beliefs.digest(),
            "config_age": round(min(1e6, now - age.config_confirmed_at), 3),
            "servers_age": round(min(1e6, now - age.servers_confirmed_at), 3),
            "crashes": self._crashes.snapshot(),
        }

    def _make_word(self, zone: str, to_holder: bool) -> PeerStatus:
        near = zone == self.table.zone
        holder = self.is_holder()
        usage: dict[int, dict[str, int]] = {}
        # Without a holder everyone keeps it for the next one: this node may be gone
        # by then, and its store away.
        if to_holder or (not holder and self.table.find_holder() is None):
            window = self._usage.window_at(self._true_time.now())
            since = window - USAGE_WINDOWS_TOLD + 1
            usage = self._usage.snapshot(self.incarnation, since=since)
        return PeerStatus(
            **self._make_ages(),
            incarnation=self.incarnation,
            store_up=self.store_up(),
            loads=self._loads.snapshot_own() if near else {},
            demand=self.make_demand() if near else {},
            tight_demand=self.make_tight_demand() if near else {},
            usage=usage,
            hears=self.table.list_recently_heard(zone) if holder else [],
            holder=holder,
        )

    def _make_domain_word(self) -> DomainStatus:
        words = self._list_near_words()
        return DomainStatus(
            **self._make_ages(),
            loads=self._loads.sum_loads(word.name for word in words),
            demand=_sum_rows([self.make_demand(), *(it.demand for it in words)]),
            tight_demand=_sum_rows(
                [self.make_tight_demand(), *(it.tight_demand for it in words)]
            ),
            n_nodes=self.table.count_domain_nodes(),
            interval=self.domains.decide_interval(),
            parts=self.domains.recent_parts(),
        )

    async def run_domains(self) -> None:
        """Speak for the failure domain while that is up to this node."""
        while True:
            self._tell_domains()
            spread = self.table.random_state.uniform(0.8, 1.2)
            await asyncio.sleep(self.domains.decide_interval() * spread)

    def _tell_domains(self) -> None:
        if self.domains.is_domain_representative():
            targets = self.domains.decide_targets()
            self.talk.send_to_domains(self._make_domain_word(), targets)

    def tell_ages(self) -> None:
        """Tell peers, and through the speaker other domains, of fresh beliefs."""
        self.talk.send_status(same_domain=True, all_peers=True)
        self._tell_domains()

    def observe_long_prompt(
        self, server_id: str, parts: tuple[PromptPart, ...]
    ) -> None:
        """Tell peers at once that an engine got a long prompt."""
        n_running, reading = self._loads.snapshot_server(server_id)
        rows = [(part.part_id, part.n_tokens) for part in parts]
        self.domains.observe_parts(server_id, rows)
        note = LoadUpdate(
            sender=self.table.name,
            server=server_id,
            n_running=n_running,
            reading=reading,
            parts=rows,
        )
        self.talk.broadcast_to_domain(note)

    def _observe_news(self, server_id: str) -> None:
        """Tell the failure domain of changed registrations, once for a burst.

        Only the nodes that hear of them first: those with the watches and those that
        hear other domains. A word from each node on each change would be most of all
        datagrams in a large domain.
        """
        del server_id
        if self._news_due or not (
            self.watches() or self.domains.is_domain_representative()
        ):
            return
        self._news_due = True
        asyncio.get_running_loop().call_later(NEWS_DELAY, self._tell_news)

    def _tell_news(self) -> None:
        self._news_due = False
        self.talk.send_status(same_domain=True, all_peers=True)

    # Word in

    def _take_word(self, word: PeerStatus) -> None:
        shift = self._true_time.correct_from_peer(word.name, word.time)
        if shift:
            log.warning("time of day corrected", extra={"seconds": round(shift, 3)})
        self._usage.merge(word.incarnation, word.usage)
        self._crashes.merge(word.crashes)
        if word.zone == self.table.zone:
            self._loads.observe_peer(word.name, word.loads)
        self._take_ages(word)

    def _take_domain_word(self, word: DomainStatus) -> None:
        if not self.domains.observe_status(word):
            return
        if not word.relayed:
            self.talk.broadcast_to_domain(word.model_copy(update={"relayed": True}))
        self._crashes.merge(word.crashes)
        lifetime = max(MIN_DOMAIN_LIFETIME, STATUS_LIFETIME_ROUNDS * word.interval)
        self._loads.observe_peer(word.zone, word.loads, lifetime=lifetime)
        for server_id, rows in word.parts:
            self._loads.observe_parts(server_id, [PromptPart(*row) for row in rows])
        self._take_ages(word)

    def count_nodes(self) -> int:
        """Count the fleet's nodes, those just lost included."""
        return self.table.count_domain_nodes() + self.domains.count_remote_nodes()

    def sum_demand(self, service: str) -> float:
        """Sum the work that arrives at all nodes, engine-seconds a second."""
        words = [*self._list_near_words(), *self.domains.list_statuses()]
        told = sum(word.demand.get(service, 0.0) for word in words)
        return self.make_demand().get(service, 0.0) + told

    def sum_tight_demand(self, service: str) -> float:
        """Sum the part of it that streams with short pauses bring."""
        words = [*self._list_near_words(), *self.domains.list_statuses()]
        told = sum(word.tight_demand.get(service, 0.0) for word in words)
        return self.make_tight_demand().get(service, 0.0) + told

    def _list_near_words(self) -> list[PeerStatus]:
        near = self.table.list_alive(zone=self.table.zone)
        return [peer.status for peer in near if peer.status is not None]

    def _take_note(self, note: LoadUpdate) -> None:
        self.domains.observe_parts(note.server, note.parts)
        parts = [PromptPart(*row) for row in note.parts]
        self._loads.observe_note(
            note.sender, note.server, note.n_running, note.reading, parts
        )

    def _take_ages(self, word: StatusMessage) -> None:
        beliefs, now = self._beliefs, self._clock()
        age = beliefs.freshness()
        config_at = now - word.config_age - TRANSIT
        servers_at = now - word.servers_age - TRANSIT
        if word.config_revision == age.config_revision:
            beliefs.config_confirmed_at = max(beliefs.config_confirmed_at, config_at)
        same_servers = word.servers_digest == beliefs.digest()
        if same_servers:
            beliefs.observe_confirmation(word.servers_revision, servers_at)
        behind = word.config_revision > age.config_revision or (
            word.servers_revision > age.servers_revision and not same_servers
        )
        if behind and (self._pulling is None or self._pulling.done()):
            self._pulling = asyncio.create_task(self._pull(word))

    def _decide_pull_delay(self, zone: str) -> float:
        if zone == self.table.zone or not self.table.list_alive(zone=self.table.zone):
            return PULL_DELAY
        return (
            FAR_PULL_DELAY
            if self.domains.is_domain_representative()
            else LATE_PULL_DELAY
        )

    async def _pull(self, word: StatusMessage) -> None:
        """Take a peer's beliefs unless the store brings them first."""
        await asyncio.sleep(self._decide_pull_delay(word.zone))
        age = self._beliefs.freshness()
        if (
            word.config_revision <= age.config_revision
            and word.servers_revision <= age.servers_revision
        ):
            return
        if word.zone != self.table.zone and self.store_up() and self.watches():
            # Bytes between failure domains are priced; the store is asked anyway.
            return
        host, _, port = word.address.rpartition(":")
        target = f"/beliefs?config={age.config_revision}&servers={age.servers_revision}"
        try:
            async with asyncio.timeout(PULL_TIMEOUT):
                conn = await open_connection(host, int(port), timeout=PULL_TIMEOUT)
                try:
                    conn.send("GET", target, [(b"Host", host.encode())], b"")
                    await conn.read_head()
                    body = b"".join([data async for data in conn.read_body()])
                finally:
                    conn.abort()
        except (ConnectFaultError, ExchangeFaultError, TimeoutError) as exc:
            log.info("pull failed", extra={"peer": word.name, "fault": str(exc)})
            return
        self._take_pulled(word.name, orjson.loads(body))

    def _take_pulled(self, peer: str, page: dict[str, Any]) -> None:
        now = self._clock() - TRANSIT
        if page["config"] is not None:
            entry = _decode_entry(page["config"])
            self._beliefs.observe_config(entry, confirmed_at=now - page["config_age"])
        servers = page["servers"]
        if servers is None:
            return
        confirmed_at = now - page["servers_age"]
        entries = [_decode_entry(row) for row in servers["entries"]]
        if servers["full"]:
            self._beliefs.observe_servers(
                entries, servers["revision"], confirmed_at=confirmed_at
            )
        else:
            changes = [Change(it.key, it.mod_revision, it) for it in entries]
            changes += [Change(key, rev, None) for key, rev in servers["gone"]]
            changes.sort(key=lambda it: it.revision)
            self._beliefs.observe_changes(
                changes, servers["revision"], confirmed_at=confirmed_at
            )
        log.info(
            "beliefs relayed",
            extra={"peer": peer, "servers_revision": servers["revision"]},
        )

    async def _answer_pull(self, req: IncomingRequest, responder: Responder) -> None:
        query = dict(
            item.partition("=")[::2] for item in req.target.partition("?")[2].split("&")
        )
        page = self._make_page(int(query.get("config", 0)), int(query["servers"]))
        await responder.send(200, [], orjson.dumps(page))

    def _make_page(self, config_revision: int, servers_revision: int) -> dict[str, Any]:
        beliefs, now = self._beliefs, self._clock()
        age = beliefs.freshness()
        newer = beliefs.config_entry if age.config_revision > config_revision else None
        servers: dict[str, Any] | None = None
        if age.servers_revision > servers_revision:
            changes = beliefs.changes_since(servers_revision)
            full = changes is None
            rows = (
                list(beliefs.entries())
                if changes is None
                else [it.entry for it in changes if it.entry is not None]
            )
            gone = [(it.key, it.revision) for it in changes or () if it.entry is None]
            servers = {
                "full": full,
                "revision": age.servers_revision,
                "entries": [_encode_entry(entry) for entry in rows],
                "gone": gone,
            }
        return {
            "config": _encode_entry(newer) if newer else None,
            "config_age": min(1e6, now - age.config_confirmed_at),
            "servers": servers,
            "servers_age": min(1e6, now - age.servers_confirmed_at),
        }

    async def close(self) -> None:
        """Stop listening."""
        self.talk.close()
        await self._pulls.close()


def _encode_entry(entry: Entry) -> list[Any]:
    return [entry.key, base64.b64encode(entry.value).decode(), entry.mod_revision]


def _decode_entry(row: list[Any]) -> Entry:
    return Entry(row[0], base64.b64decode(row[1]), int(row[2]), 0)


def _sum_rows(rows: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Add numbers up by name."""
    sums: dict[str, float] = {}
    for row in rows:
        for name, number in row.items():
            sums[name] = round(sums.get(name, 0.0) + number, 4)
    return sums
