"""A node's local copy of the configuration and the server registrations."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import xxhash
from returns.result import Failure, Result

from .._tasks import call_logged
from ..platform import Change, Entry, get_era
from ..routing import Registration, RouteTable, RoutingConfig, make_route_table
from ._evacuations import Evacuations
from ._store_outage import StoreOutage

log = logging.getLogger(__name__)

# Live servers renew registrations that expired during a store outage about two seconds
# after the store's return. The grace period is shorter than the time for which a
# leaving server may still receive requests, since an expired registration and a
# leaving server look the same at first.
LAPSE_GRACE_PERIOD = 1.7  # seconds
# After a restore, the store's copy can name servers that have left since. The
# registration of a live server is renewed in this time, and all others expire.
RESTORE_GRACE_PERIOD = 5.0  # seconds
MAX_TOMBSTONES = 4096
MAX_RECENT_CHANGES = 2048
MAX_FAULT_CHARACTERS = 300

DecodeRoutingConfig = Callable[[bytes], Result[RoutingConfig, str]]
DecodeRegistration = Callable[[str, bytes, int], Result[Registration, str]]


@dataclass(frozen=True, slots=True)
class StateFreshness:
    """Revisions and confirmation times of a node's cluster state.

    Attributes
    ----------
    config_revision, config_version : int
        The configuration's revision in the store and the operator's version number.
    servers_revision : int
        Store revision up to which the registrations are known.
    config_confirmed_at, servers_confirmed_at : float
        When the store last confirmed the configuration and the registrations, in
        seconds on the node's clock.
    """

    config_revision: int
    config_version: int
    servers_revision: int
    config_confirmed_at: float
    servers_confirmed_at: float


@dataclass(frozen=True, slots=True)
class LapsedServer:
    """Server kept in use although its registration disappeared.

    Attributes
    ----------
    until : float
        End of the grace period, in seconds on the node's clock.
    by_outage : bool
        Whether the registration may have expired in an outage of the store; False
        after a restore of the store.
    """

    until: float
    by_outage: bool


@dataclass
class ClusterState:
    """The configuration and the server registrations known to this node.

    Parameters
    ----------
    decode_routing_config, decode_registration : callable
        Decode the configuration and a registration from the store's bytes.
    clock : callable
        Returns seconds, including the time while the machine was suspended.

    Attributes
    ----------
    route_table : RouteTable or None
        Routes of the configuration in force; None until a configuration is known.
    servers : dict of str to Registration
        All registered servers by id, including draining ones.
    lapsed : dict of str to LapsedServer
        Servers kept in use although their registration disappeared.
    leaving : dict of str to int
        Servers that have announced in an answer that they leave, with the start times
        (``Registration.born``) of these processes.
    evacuations : Evacuations
        Failure domains to whose servers nothing may be sent.
    store_outage : StoreOutage
        Whether the store was away lately.
    """

    decode_routing_config: DecodeRoutingConfig
    decode_registration: DecodeRegistration
    clock: Callable[[], float]
    route_table: RouteTable | None = None
    config_entry: Entry | None = None
    config_confirmed_at: float = float("-inf")
    servers: dict[str, Registration] = field(default_factory=dict)
    servers_revision: int = 0
    servers_confirmed_at: float = float("-inf")
    lapsed: dict[str, LapsedServer] = field(default_factory=dict)
    leaving: dict[str, int] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    store_outage: StoreOutage = field(default_factory=StoreOutage)
    recent_changes: list[Change] = field(default_factory=list)
    history_start_revision: int = 0
    config_listeners: list[Callable[[], None]] = field(default_factory=list)
    server_listeners: list[Callable[[str], None]] = field(default_factory=list)
    evacuation_listeners: list[Callable[[frozenset[str]], None]] = field(
        default_factory=list
    )
    _entries: dict[str, Entry] = field(default_factory=dict)
    _digest: str | None = None
    _tombstones: dict[str, int] = field(default_factory=dict)
    _withheld: dict[str, tuple[Entry, float]] = field(default_factory=dict)
    # Ids of the servers that entries name; entries without a server are missing.
    _server_ids: dict[str, str] = field(default_factory=dict)
    _invalid_keys: set[str] = field(default_factory=set)
    _rejected_config_revision: int = 0

    # Configuration

    def observe_config(self, entry: Entry | None, *, confirmed_at: float) -> None:
        """Apply the configuration's entry in the store if it is newer.

        Parameters
        ----------
        entry : Entry or None
            None when the store has no configuration.
        confirmed_at : float
            When the read that returned the entry was sent, in seconds on the node's
            clock; derived from the reported age for an entry from a peer.
        """
        if entry is None:
            return
        known = self.config_entry
        if known is not None and entry.mod_revision < known.mod_revision:
            return
        self.config_confirmed_at = max(self.config_confirmed_at, confirmed_at)
        if known is not None and entry.mod_revision == known.mod_revision:
            return
        if entry.mod_revision == self._rejected_config_revision:
            return
        table = self._decode_route_table(entry)
        if table is None:
            self._rejected_config_revision = entry.mod_revision
            return
        self.route_table = table
        self.config_entry = entry
        version = table.routing_config.version
        log.info(
            "configuration in force",
            extra={"version": version, "revision": entry.mod_revision},
        )
        for listener in self.config_listeners:
            call_logged(listener)

    def _decode_route_table(self, entry: Entry) -> RouteTable | None:
        """Return the routes of a configuration; None if it can't come into force."""
        try:
            decoded = self.decode_routing_config(entry.value)
            if isinstance(decoded, Failure):
                log.error(
                    "configuration not decodable; the last valid one stays in force",
                    extra={"revision": entry.mod_revision, "fault": decoded.failure()},
                )
                return None
            declaration = decoded.unwrap()
            known = self.route_table
            if known and declaration.version < known.routing_config.version:
                log.error(
                    "configuration with a lower version ignored",
                    extra={"version": declaration.version},
                )
                return None
            return make_route_table(declaration)
        except Exception:
            log.exception(
                "configuration not decodable; the last valid one stays in force",
                extra={"revision": entry.mod_revision},
            )
            return None

    # Evacuations

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains to whose servers nothing may be sent."""
        return self.evacuations.domains

    def observe_evacuations(self, domains: Iterable[str], revision: int) -> None:
        """Take over the evacuated failure domains unless newer ones are known.

        The listeners are called after a change, with the domains whose evacuation has
        ended.

        Parameters
        ----------
        domains : iterable of str
            All evacuated failure domains.
        revision : int
            Store revision up to which they are known.
        """
        begun, ended = self.evacuations.replace(domains, revision)
        if begun or ended:
            for listener in self.evacuation_listeners:
                call_logged(listener, ended)

    # Registrations

    def observe_servers(
        self, entries: Iterable[Entry], revision: int, *, confirmed_at: float
    ) -> None:
        """Replace the registrations by a full read of the store.

        Parameters
        ----------
        entries : iterable of Entry
            All registrations at that revision.
        revision : int
            The store's revision at the read, or at its first page.
        confirmed_at : float
            When the read was sent, in seconds on the node's clock.
        """
        self.store_outage.observe_answer(confirmed_at)
        if revision < self.servers_revision:
            return
        restored = get_era(revision) > get_era(self.servers_revision)
        found = {entry.key: entry for entry in entries}
        for entry in found.values():
            call_logged(self._put, entry)
        for key, known in list(self._entries.items()):
            if key not in found and known.mod_revision <= revision:
                call_logged(self._remove, key, revision, restored)
        for key in [key for key in self._withheld if key not in found]:
            del self._withheld[key]
        self.servers_revision = revision
        # Entries written and deleted between two full reads are missing from the
        # recorded changes.
        self.history_start_revision = revision
        self.servers_confirmed_at = max(self.servers_confirmed_at, confirmed_at)
        self.drop_lapsed()

    def observe_changes(
        self, changes: Iterable[Change], revision: int, *, confirmed_at: float
    ) -> None:
        """Apply changes of registrations since ``servers_revision``.

        Parameters
        ----------
        changes : iterable of Change
            Changes in the order of their revisions.
        revision : int
            Store revision up to which the changes are complete.
        confirmed_at : float
            When the store confirmed the revision, in seconds on the node's clock.
        """
        self.store_outage.observe_answer(confirmed_at)
        for change in changes:
            # One change that fails must not hold up the others and the revision.
            if change.entry is not None:
                call_logged(self._put, change.entry)
            else:
                call_logged(self._remove, change.key, change.revision)
        self.servers_revision = max(self.servers_revision, revision)
        self.servers_confirmed_at = max(self.servers_confirmed_at, confirmed_at)
        self.drop_lapsed()

    def observe_store_answer(self, answered_at: float) -> None:
        """Record that the store answered another node.

        Parameters
        ----------
        answered_at : float
            Time of the answer, in seconds on the node's clock.
        """
        self.store_outage.observe_answer(answered_at)
        self.drop_lapsed()

    def observe_store_failure(self, sent_at: float | None = None) -> None:
        """Record that a call of the store failed.

        Parameters
        ----------
        sent_at : float or None
            When the call was sent, in seconds on the node's clock; None for now.
        """
        self.store_outage.observe_failure(
            sent_at=self.clock() if sent_at is None else sent_at
        )

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes of registrations after a revision.

        Parameters
        ----------
        revision : int
            Store revision that a peer has reached.

        Returns
        -------
        tuple of Change or None
            None when some of the changes are no longer recorded.
        """
        if not self.history_start_revision <= revision <= self.servers_revision:
            return None
        return tuple(it for it in self.recent_changes if it.revision > revision)

    def digest(self) -> str:
        """Return a digest that is equal on nodes with the same registrations.

        Returns
        -------
        str
            Sixteen hexadecimal digits.
        """
        if self._digest is None:
            rows = sorted(f"{it.key}:{it.mod_revision}" for it in self.entries())
            self._digest = xxhash.xxh64_hexdigest("\n".join(rows).encode())
        return self._digest

    def observe_confirmation(self, revision: int, confirmed_at: float) -> None:
        """Record that the store's registrations at a revision match the local ones.

        Parameters
        ----------
        revision : int
            The store's revision.
        confirmed_at : float
            When the store confirmed the revision, in seconds on the node's clock.
        """
        self.servers_revision = max(self.servers_revision, revision)
        self.servers_confirmed_at = max(self.servers_confirmed_at, confirmed_at)
        self.observe_store_answer(confirmed_at)

    def entries(self) -> tuple[Entry, ...]:
        """Return the store entries of all registrations.

        Returns
        -------
        tuple of Entry
            Entries in no particular order.
        """
        return tuple(self._entries.values())

    def freshness(self) -> StateFreshness:
        """Return the revisions and confirmation times of the cluster state.

        Returns
        -------
        StateFreshness
            Revisions, version and confirmation times.
        """
        version = self.route_table.routing_config.version if self.route_table else -1
        return StateFreshness(
            self.config_entry.mod_revision if self.config_entry else 0,
            version,
            self.servers_revision,
            self.config_confirmed_at,
            self.servers_confirmed_at,
        )

    def _put(self, entry: Entry) -> None:
        known = self._entries.get(entry.key)
        gone_at = self._tombstones.get(entry.key, 0)
        if entry.mod_revision <= max(known.mod_revision if known else 0, gone_at):
            return
        if gone_at and get_era(entry.mod_revision) > get_era(gone_at):
            self._withhold(entry)
            return
        self._register(entry)

    def _withhold(self, entry: Entry) -> None:
        """Set a registration aside whose server was gone before the store's restore.

        It is accepted when it changes or after ``RESTORE_GRACE_PERIOD``.
        """
        withheld = self._withheld.get(entry.key)
        if withheld is None:
            until = self.clock() + RESTORE_GRACE_PERIOD
            self._withheld[entry.key] = (entry, until)
            log.info("registration of a gone server withheld", extra={"key": entry.key})
        elif entry.mod_revision > withheld[0].mod_revision:
            del self._withheld[entry.key]
            self._register(entry)

    def _register(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        self._digest = None
        self._tombstones.pop(entry.key, None)
        self._record_change(Change(entry.key, entry.mod_revision, entry))
        registration = self._decode(entry)
        if registration is None:
            # The entry names no server, whatever it named before.
            server_id = self._server_ids.pop(entry.key, None)
            if server_id in self.servers:
                self.lapsed.pop(server_id, None)
                self._drop(server_id, entry.mod_revision)
            return
        self._server_ids[entry.key] = registration.server_id
        self.lapsed.pop(registration.server_id, None)
        before = self.servers.get(registration.server_id)
        registration = _keep_draining(registration, before)
        if self.leaving.get(registration.server_id) != registration.born:
            self.leaving.pop(registration.server_id, None)
        self.servers[registration.server_id] = registration
        if before is None or before.draining != registration.draining:
            log.info(
                "backend server registered",
                extra={
                    "server": registration.server_id,
                    "service": registration.service,
                    "draining": registration.draining,
                    "software_version": registration.software_version,
                    "revision": entry.mod_revision,
                },
            )
        self._notify_server_listeners(registration.server_id)

    def _decode(self, entry: Entry) -> Registration | None:
        """Return the server that an entry names; None for an invalid entry.

        An entry that stays invalid is logged once, however often it is written.
        """
        try:
            decoded = self.decode_registration(
                entry.key, entry.value, entry.mod_revision
            )
        except Exception as exc:
            decoded = Failure(f"{type(exc).__name__}: {exc}"[:MAX_FAULT_CHARACTERS])
        if not isinstance(decoded, Failure):
            self._invalid_keys.discard(entry.key)
            return decoded.unwrap()
        if entry.key not in self._invalid_keys:
            self._invalid_keys.add(entry.key)
            log.warning(
                "registration not decodable; it names no server",
                extra={"key": entry.key, "fault": decoded.failure()},
            )
        return None

    def count_invalid_entries(self) -> int:
        """Return the number of entries among the registrations that name no server."""
        return len(self._invalid_keys)

    def _remove(self, key: str, revision: int, may_return: bool = False) -> None:
        self._withheld.pop(key, None)
        known = self._entries.get(key)
        if known is not None and known.mod_revision > revision:
            return
        self._tombstones[key] = revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))
        if known is None:
            return
        del self._entries[key]
        self._digest = None
        self._record_change(Change(key, revision, None))
        self._invalid_keys.discard(key)
        server_id = self._server_ids.pop(key, None)
        registration = self.servers.get(server_id) if server_id else None
        if server_id is None or registration is None:
            return
        now = self.clock()
        has_expired = not may_return and self.store_outage.may_have_expired(now)
        if (may_return or has_expired) and not registration.draining:
            self.lapsed[server_id] = LapsedServer(now + LAPSE_GRACE_PERIOD, has_expired)
            log.warning(
                "registration lapsed around a store outage; server kept",
                extra={"server": server_id, "seconds": LAPSE_GRACE_PERIOD},
            )
            return
        self._drop(server_id, revision)

    def _drop(self, server_id: str, revision: int) -> None:
        del self.servers[server_id]
        log.info(
            "backend server gone", extra={"server": server_id, "revision": revision}
        )
        self._notify_server_listeners(server_id)

    def drop_lapsed(self) -> None:
        """End the grace periods that are over.

        Servers whose registrations were not renewed, or were deleted while the store
        answered other nodes, are removed, and registrations that were withheld after a
        restore of the store are accepted.
        """
        now = self.clock()
        for key, (entry, until) in list(self._withheld.items()):
            if now >= until:
                del self._withheld[key]
                self._register(entry)
        may_have_expired = self.store_outage.may_have_expired(now)
        for server_id, lapse in list(self.lapsed.items()):
            if now >= lapse.until or (lapse.by_outage and not may_have_expired):
                del self.lapsed[server_id]
                if server_id in self.servers:
                    self._drop(server_id, self.servers_revision)

    def observe_leaving(self, server_id: str) -> None:
        """Record that a server has announced in an answer that it leaves.

        It gets no further requests, whatever its registration says, until it is
        registered again after a restart.
        """
        registration = self.servers.get(server_id)
        if registration is None or server_id in self.leaving:
            return
        self.leaving[server_id] = registration.born
        while len(self.leaving) > MAX_TOMBSTONES:
            self.leaving.pop(next(iter(self.leaving)))
        log.info("backend server leaving", extra={"server": server_id})
        self._notify_server_listeners(server_id)

    def has_left(self, server_id: str) -> bool:
        """Return whether a server may get no more requests.

        Parameters
        ----------
        server_id : str
            Server that was registered.
        """
        registration = self.servers.get(server_id)
        return (
            registration is None or registration.draining or server_id in self.leaving
        )

    def _record_change(self, change: Change) -> None:
        self.recent_changes.append(change)
        while len(self.recent_changes) > MAX_RECENT_CHANGES:
            dropped = self.recent_changes.pop(0)
            self.history_start_revision = max(
                self.history_start_revision, dropped.revision
            )

    def _notify_server_listeners(self, server_id: str) -> None:
        for listener in self.server_listeners:
            call_logged(listener, server_id)


def _keep_draining(
    registration: Registration, before: Registration | None
) -> Registration:
    """Keep a server draining although a restored store has lost that it drains."""
    if (
        before is not None
        and before.draining
        and before.born == registration.born
        and get_era(registration.revision) > get_era(before.revision)
    ):
        return replace(registration, draining=True)
    return registration
