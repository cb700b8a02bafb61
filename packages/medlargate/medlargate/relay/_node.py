"""Relay node: construction, start and stop of all its components."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from .._allocator import make_deferred_return
from .._clock import read_boot_clock
from .._settings import Settings, SettingsError
from .._startup_signals import take_held_reload
from .._tasks import log_task_failure, run_with_restarts
from ..fleet import (
    ClusterState,
    DutyLease,
    PeerCheckedClock,
    StoreWatcher,
    UsageCounts,
    UsagePartWriter,
    UsageReporter,
)
from ..platform import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    SERVERS_PREFIX,
    HttpStore,
    OrdersClient,
    decode_registration,
    decode_routing_config,
)
from ..policy import (
    LONG_PREFILL_TIME,
    FleetRetryBudget,
    SpillOptions,
    StopSchedule,
    compute_caller_bytes,
    compute_socket_buffer,
    divide_descriptors,
)
from ..routing import IngressLimits, Registration, ServiceSpec
from ..telemetry import DeferredMetrics, LineWriter
from ..transport import (
    CONNECT_TIMEOUT,
    CallerConnection,
    CallerMemory,
    ConnectFaultError,
    ConnectionPool,
    ConnectionSlots,
    Handler,
    IncomingRequest,
    IngressServer,
    Responder,
    count_descriptors,
    open_connection,
)
from ._accept import Acceptor
from ._answer_buffers import AnswerBuffers
from ._block_store import BlockStore
from ._cold_servers import ColdServers
from ._crash_guard import CrashGuard
from ._crash_watch import CrashWatch
from ._duties import (
    ORDER_TIMEOUT,
    DemandTracker,
    Duties,
    ScaleDuty,
    make_send_scale,
    make_send_usage,
)
from ._exchange import Exchange
from ._fleet_side import FleetSync
from ._forwarding import Forwarder, decode_forwarded
from ._load_tracker import LoadTracker
from ._origin_store import OriginStore
from ._queue_order import QueueOrder, count_waiting_by_customer
from ._reach import ReachMonitor, responds_to_probe
from ._reload import decide_reload
from ._request_handler import RequestHandler
from ._request_queue import RequestQueue
from ._request_recorder import RequestRecorder
from ._sender import Sender
from ._server_limits import ServerLimits
from ._stream_origins import StreamOrigins

log = logging.getLogger(__name__)

# The load balancer probes once a second and removes a node after two failed probes.
# Connections that callers open until then are still accepted.
BALANCER_REMOVAL_TIME = 3.0  # seconds
# Requests that could outlast the grace period are admitted for a shorter time: a busy
# node sees the signal late, and callers count from the signal.
ADMISSION_TIME = 2.5  # seconds
CLOSE_RESERVE = 0.7  # seconds of the grace period reserved for closing
ANSWER_WRITE_TIME = 0.2  # seconds of the reserve in which final answers are written
METERING, AUTOSCALE = "metering", "autoscale"  # names of the duties in the settings
LONG_PROMPT_TOKENS = 4_000  # tokens; longer prompts are announced to peers
STOP_CHECK_INTERVAL = 0.05  # seconds
SUMMARY_INTERVAL = 10.0  # seconds
RESTART_PAUSE = 0.5  # seconds
DEFAULT_LIMITS = IngressLimits()


class RelayNode:
    """Router process that relays callers' requests to registered backend servers.

    Parameters
    ----------
    settings : Settings
        Validated settings; the section ``ingress`` is required.
    writer : LineWriter
        Writer of log lines and decision records.
    read_settings : callable or None
        Reads the settings file again for a reload; None if there is no file.
    """

    def __init__(
        self,
        settings: Settings,
        writer: LineWriter,
        read_settings: Callable[[], Settings] | None = None,
    ) -> None:
        self._read_settings = read_settings
        assert settings.ingress is not None
        self.settings = settings
        self.ingress = settings.ingress
        self.clock = read_boot_clock
        self.writer = writer
        self.random_state = random.Random()
        self.cluster_state = ClusterState(
            decode_routing_config, decode_registration, self.clock
        )
        self.metrics = DeferredMetrics(
            max_label_values=settings.limits.max_label_values
        )
        self.loads = LoadTracker(settings.node.failure_domain)
        self.loads.memory.max_share = settings.load.max_memory_share
        self.loads.memory.name = settings.node.name
        self.limits = ServerLimits(
            settings.node.name,
            self.clock,
            lambda: [peer.name for peer in self.fleet.table.list_alive()],
            lambda server_id: server_id in self.cluster_state.servers,
        )
        self.wall_clock = PeerCheckedClock(self.clock, time.time)
        self.cold = self._make_cold_servers()
        self.connection_limits = divide_descriptors(
            count_descriptors(self.ingress.max_descriptors)
        )
        self.slots = ConnectionSlots(self.connection_limits.servers)
        self.slots.on_wait = lambda: self.metrics.observe_event("connection_wait")
        self.pool = ConnectionPool(
            get_max_idle=lambda: self.connection_limits.servers - self.slots.n_taken
        )
        self.demand = DemandTracker()
        self.queue_order = QueueOrder(
            self.cluster_state,
            self.clock,
            lambda: self.settings.load.customer_shares,
            self.metrics.observe_return,
            random_state=self.random_state,
            observe_decision=self.metrics.observe_queue_decision,
        )
        self.crash_guard = CrashGuard(self.clock, self._count_nodes)
        self.request_queue = RequestQueue(
            self.cluster_state,
            self.loads,
            self.limits,
            self.cold,
            self.crash_guard,
            self.clock,
            self._observe_dispatch,
            lambda service: self.fleet.sum_sensitive_demand(service),
            list_connected=lambda recent: self.pool.list_connected(recent_only=recent),
            connection_preference=settings.load.connection_preference,
            random_state=self.random_state,
            spill_options=SpillOptions(**settings.spill.model_dump()),
            order=self.queue_order,
        )
        self.incarnation = f"{settings.node.name}-{secrets.token_hex(4)}"
        self.reach = ReachMonitor(
            self.request_queue.list_usable_servers,
            self._list_services,
            self._responds_to_probe,
            self.clock,
            random_state=self.random_state,
        )
        self.crash_watch = CrashWatch(
            self.crash_guard,
            self.loads,
            self.reach,
            can_reach=_can_reach,
            has_left=self.cluster_state.has_left,
            clock=self.clock,
        )
        self.crash_watch.crash_listeners.append(
            lambda: self.metrics.observe_event("server_crash")
        )
        self.reach.silent_listeners.append(self.crash_watch.observe_silent)
        self.answer_buffers = AnswerBuffers()
        self.forwarder = Forwarder(
            settings.node.name,
            settings.node.failure_domain,
            self.reach,
            lambda service: self.fleet.list_forward_peers(service),
            self.clock,
            self.answer_buffers,
            self.slots,
            random_state=self.random_state,
        )
        self.origins = StreamOrigins(self.cluster_state, self.clock)
        self.usage = UsageCounts(self.ingress.usage_window)
        self.recorder = RequestRecorder(
            self.metrics, self._observe_usage, self.clock, self.write_record
        )
        self.sender = Sender(
            self.pool,
            self.slots,
            self.loads,
            self.limits,
            self.cold,
            self.cluster_state.observe_leaving,
            lambda server_id, limit: self.fleet.observe_rejection(server_id, limit),
            self.answer_buffers,
            self.cluster_state.has_left,
        )
        self.request_handler = RequestHandler(
            Acceptor(
                self.cluster_state,
                self._refresh_config,
                self.clock,
                self.write_record,
                self.ingress.config_bound_ms / 1000,
            ),
            self.request_queue,
            self.sender,
            self.loads,
            self.recorder,
            crash_guard=self.crash_guard,
            crash_watch=self.crash_watch,
            origins=self.origins,
            reach=self.reach,
            forwarder=self.forwarder,
            get_budget=self._get_retry_budget,
            count_nodes=self._count_nodes,
            clock=self.clock,
        )
        self.caller_memory: CallerMemory[CallerConnection] = CallerMemory(
            max_bytes=compute_caller_bytes(
                self.ingress.max_caller_bytes, self.ingress.memory
            ),
            on_freed=make_deferred_return(),
        )
        self.ingress_server = self._make_server(
            self.request_handler.handle,
            self._get_limits,
            self.connection_limits.frontend,
        )
        self.readiness_server = self._make_server(
            self._answer_probe, lambda: DEFAULT_LIMITS, self.connection_limits.readiness
        )
        self.metrics_server = self._make_server(
            self._answer_metrics, lambda: DEFAULT_LIMITS, self.connection_limits.metrics
        )
        self.cluster_state.server_listeners += [
            self._observe_server_change,
            lambda server_id: self.crash_watch.observe_registration(
                self.cluster_state.servers.get(server_id), server_id
            ),
        ]
        self._retry_budgets: dict[str, FleetRetryBudget] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._close_callbacks: list[Callable[[], Awaitable[None]]] = []
        self.stopping = False
        self.watcher: StoreWatcher
        self.fleet: FleetSync
        self.duties: Duties

    def _make_server(
        self,
        handler: Handler,
        get_limits: Callable[[], IngressLimits],
        max_connections: int,
    ) -> IngressServer:
        """Make a server that shares the memory for callers with the others."""
        server = IngressServer(
            handler,
            get_limits,
            max_connections=max_connections,
            memory=self.caller_memory,
            socket_buffer=compute_socket_buffer(
                self.caller_memory.max_bytes, self.connection_limits.frontend
            ),
        )
        server.on_evicted = lambda limit: self.metrics.observe_event(f"evicted_{limit}")
        return server

    def _make_cold_servers(self) -> ColdServers:
        cold = ColdServers(
            self.settings.node.name,
            self.cluster_state,
            self.clock,
            self.wall_clock.now,
            lambda: self.fleet.list_node_names(),
            lambda: self.fleet.knows_nodes(),
            overrun=self.ingress.cold_overrun or 1.0,
            slack=self.ingress.cold_start_slack or 0.0,
            registration_bound=self.ingress.drain_bound_ms / 1000,
        )
        cold.cold_listeners.append(lambda: self.fleet.broadcast_soon())
        self.cluster_state.evacuation_listeners.append(self._observe_evacuations)
        return cold

    def _observe_evacuations(self, ended: frozenset[str]) -> None:
        self.cold.observe_evacuation_end(ended)
        self.request_queue.observe_change()

    # Callbacks of the components

    def write_record(self, kind: str, **facts: Any) -> None:
        """Write a decision record.

        Parameters
        ----------
        kind : str
            Kind of the decision.
        **facts : dict
            Fields of the record.
        """
        self.writer.write(kind, {"message": kind, **facts})

    def _get_limits(self) -> IngressLimits:
        table = self.cluster_state.route_table
        return table.routing_config.limits if table else DEFAULT_LIMITS

    async def _refresh_config(self) -> bool:
        return await self.watcher.refresh_config()

    def _observe_usage(self, customer: str) -> None:
        self.usage.count_request(self.incarnation, customer, self.wall_clock.now())

    def _observe_dispatch(
        self, exch: Exchange, server_id: str, seconds: float, prefill_sensitive: bool
    ) -> None:
        self.demand.observe(
            exch.service.name,
            seconds,
            self.clock(),
            prefill_sensitive=prefill_sensitive,
        )
        if seconds > LONG_PREFILL_TIME or exch.n_tokens > LONG_PROMPT_TOKENS:
            self.fleet.announce_long_prompt(server_id, exch.facts.parts)

    def _get_demand_rates(self) -> dict[str, float]:
        return self.demand.get_rates(self.clock())

    def _count_nodes(self) -> int:
        return self.fleet.count_nodes()

    def _get_retry_budget(self, service: str) -> FleetRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            ingress = self.ingress
            budget = FleetRetryBudget(
                ingress.retry_ratio, ingress.retry_slack, ingress.retry_window
            )
            self._retry_budgets[service] = budget
        return budget

    def _observe_server_change(self, server_id: str) -> None:
        if server_id not in self.cluster_state.servers:
            self.pool.close_server_connections(server_id)
            self.loads.forget(server_id)
            self.limits.forget(server_id)
            self.cold.forget(server_id)
        else:
            self.cold.observe_registration(self.cluster_state.servers[server_id])
        self.request_queue.observe_change()

    def _list_services(self) -> set[str]:
        return {it.service for it in self.cluster_state.servers.values()}

    async def _responds_to_probe(self, server: Registration) -> bool:
        table = self.cluster_state.route_table
        specs = table.routing_config.services if table else {}
        spec = specs.get(server.service)
        path = spec.health_path if spec else ServiceSpec.health_path
        return await responds_to_probe(server, path)

    def _observe_reach_change(self, service: str) -> None:
        del service
        self.fleet.messenger.broadcast_status()

    async def _handle_forwarded(
        self, req: IncomingRequest, responder: Responder
    ) -> bool:
        """Serve a request that another node forwards; return whether it is one."""
        decoded = decode_forwarded(req)
        if decoded is None:
            return False
        original, forwarded = decoded
        await self.request_handler.handle(original, responder, forwarded=forwarded)
        return True

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve new requests."""
        return (
            not self.stopping
            and self.cluster_state.route_table is not None
            and bool(self.cluster_state.servers)
        )

    # Lifecycle

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.start()
        if take_held_reload():
            self._reload_settings()
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Start the listeners and the background tasks."""
        platform = self.settings.platform
        store = HttpStore(platform.url, timeout=platform.timeout)
        self._close_callbacks.append(store.close)
        self.fleet = self._make_fleet_sync(store)
        self.watcher = StoreWatcher(
            store,
            self.cluster_state,
            CONFIG_KEY,
            SERVERS_PREFIX,
            self.clock,
            should_watch=self.fleet.is_watcher,
            on_confirmed=self.fleet.broadcast_state,
            poll_delay=self.fleet.domains.decide_poll_delay,
            config_bound=self._compute_config_bound(),
            evacuations_prefix=(
                EVACUATIONS_PREFIX if self.ingress.evacuate_bound_ms else ""
            ),
            servers_bound=self.ingress.drain_bound_ms / 1000,
        )
        self.loads.announce_speeds = self.fleet.announce_speeds
        self.loads.uses_speed = self.settings.load.machine_speed
        memory = self.loads.memory
        memory.count_nodes = self._count_nodes
        memory.list_peers = lambda: [it.name for it in self.fleet.table.list_alive()]
        memory.get_wall_time = self.wall_clock.now
        memory.announce = self.fleet.announce_load
        memory.announce_facts = self.fleet.messenger.broadcast_status
        self.fleet.get_limits = self._get_limits
        self.fleet.handle_forwarded = self._handle_forwarded
        self.fleet.is_stopping = lambda: self.stopping
        self.fleet.count_active = lambda: self.request_handler.n_active
        self.fleet.snapshot_consumers = self.queue_order.snapshot_consumers
        self.fleet.observe_consumers = self.queue_order.observe_consumers
        self.fleet.list_unreachable = self.reach.list_unreachable
        self.reach.listeners.append(self._observe_reach_change)
        self._connect_spillover()
        self.fleet.store_up = lambda: self.watcher.store_up
        self.duties = self._make_duties(store)
        store.restore_listeners.append(self.duties.observe_restore)
        store.restore_listeners.append(self.fleet.observe_restore)
        block_store = self._make_block_store(store)
        origin_store = OriginStore(
            store,
            self.origins,
            self.incarnation,
            self.clock,
            self.wall_clock.now,
            self.fleet.domains.is_domain_representative,
        )
        self.origins.peers = self.fleet
        self.origins.read_stored = origin_store.read
        self.origins.read_servers = self.watcher.refresh_servers
        self.fleet.is_holder = self.duties.is_holder
        self.fleet.get_demand = self._get_demand_rates
        self.fleet.get_sensitive_demand = lambda: self.demand.get_sensitive_rates(
            self.clock()
        )
        await self._listen()
        for job in (
            self.watcher.run_config,
            self.watcher.run_servers,
            self.watcher.run_polls,
            self.request_queue.run,
            self.reach.run,
            lambda: self.reach.run_checks(
                self.sender.list_attempts, self.sender.abandon_silent
            ),
            self.fleet.run_registration,
            self.fleet.messenger.run_intra_domain,
            self.fleet.messenger.run_cross_domain,
            self.fleet.run_domains,
            block_store.run_reads,
            block_store.run_writes,
            origin_store.run_writes,
            origin_store.run_version_writes,
            self.duties.run_lease,
            self.duties.run_usage,
            self.duties.run_scale,
            self._run_summaries,
            self.metrics.load,
        ):
            self._spawn(job)
        log.info("node started", extra={"incarnation": self.incarnation})

    def _compute_config_bound(self) -> float:
        """Return the time within which what the watcher reads has to be in force."""
        bounds = (self.ingress.config_bound_ms, self.ingress.evacuate_bound_ms)
        return min(filter(None, bounds)) / 1000

    def _connect_spillover(self) -> None:
        spillover = self.request_queue.spillover
        spillover.get_excluded = lambda: self.cluster_state.evacuated
        spillover.is_cold = self.cold.is_cold
        spillover.list_reports = self.fleet.list_domain_reports
        spillover.count_domain_waiting = self.fleet.count_domain_waiting
        spillover.count_domain_nodes = self.fleet.table.count_domain_nodes
        spillover.observe_plan = self.metrics.observe_spill
        self.fleet.count_waiting = self.request_queue.count_waiting
        self.fleet.get_surpluses = spillover.get_surpluses

    async def _run_summaries(self) -> None:
        """Log a summary of the node's state periodically, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL)
            freshness = self.cluster_state.freshness()
            now = self.clock()
            log.info(
                "node summary",
                extra={
                    "n_active": self.request_handler.n_active,
                    "n_waiting": self.request_queue.count_waiting(),
                    "config_version": freshness.config_version,
                    "config_age": round(now - freshness.config_confirmed_at, 2),
                    "servers_revision": freshness.servers_revision,
                    "servers_age": round(now - freshness.servers_confirmed_at, 2),
                    "n_invalid_entries": self.cluster_state.count_invalid_entries(),
                    "n_peers": len(self.fleet.table.list_alive()),
                    "n_nodes": self.fleet.count_nodes(),
                    "domains_age": self.fleet.domains.status_ages(),
                    "holds_duties": self.duties.is_holder(),
                    "evacuated": sorted(self.cluster_state.evacuated),
                    "cold_servers": self.cold.list_cold(),
                    "n_store_calls": dict(self.watcher.store.n_calls),
                    "n_connections_opened": self.pool.n_opened,
                    "n_server_connections": self.slots.n_taken,
                    "n_caller_connections": len(self.ingress_server.connections),
                    "n_caller_bytes": self.caller_memory.n_bytes,
                    "n_evicted": dict(self.ingress_server.n_evicted),
                    "n_lines_dropped": self.writer.n_dropped,
                },
            )

    def _make_fleet_sync(self, store: HttpStore) -> FleetSync:
        node = self.settings.node
        fleet = FleetSync(
            name=node.name,
            zone=node.failure_domain,
            host=str(node.address),
            port=self.ingress.fleet_port,
            incarnation=self.incarnation,
            cluster_state=self.cluster_state,
            loads=self.loads,
            store=store,
            clock=self.clock,
            wall_clock=self.wall_clock,
            usage=self.usage,
            crash_guard=self.crash_guard,
            limits=self.limits,
            origins=self.origins,
            cold=self.cold,
            make_server=lambda handler, get_limits: self._make_server(
                handler, get_limits, self.connection_limits.peers
            ),
            reads_evacuations=bool(self.ingress.evacuate_bound_ms),
        )
        fleet.observe_seeds(self.ingress.seeds)
        return fleet

    def _make_block_store(self, store: HttpStore) -> BlockStore:
        block_store = BlockStore(
            store,
            self.crash_guard,
            self.clock,
            self.wall_clock.now,
            self.fleet.is_watcher,
            self.fleet.domains.is_domain_representative,
        )
        store.restore_listeners.append(block_store.observe_restore)
        self.crash_guard.crash_listeners.append(self.fleet.announce_crash)
        self.crash_guard.merge_listeners.append(self.fleet.relay_crash)
        self.crash_guard.block_listeners += [
            block_store.observe_change,
            lambda: self.sender.abandon_blocked(self.crash_guard.is_blocked),
        ]
        return block_store

    def _make_duties(self, store: HttpStore) -> Duties:
        name = self.settings.node.name

        def may_be_first() -> bool:
            return self.ingress.first_start and not store.was_restored

        lease = DutyLease(
            store,
            "platform",
            self.incarnation,
            self.clock,
            lease_timeout=self.ingress.lease_ms / 1000,
            order_timeout=ORDER_TIMEOUT,
            checks_fence=False,
            may_be_first=may_be_first,
        )
        orders = OrdersClient(f"http://{self.ingress.orders}", timeout=ORDER_TIMEOUT)
        self._close_callbacks.append(orders.close)
        names = self.ingress.duties.split(",")
        usage = scale = None
        if METERING in names:
            send = make_send_usage(orders, lease, name)
            usage = UsageReporter(
                store,
                lease,
                self.usage,
                send,
                self.wall_clock.now,
                self.fleet.has_heard_all,
                lambda: store.era,
                may_be_first,
                self.fleet.is_partitioned,
                self.clock,
            )
        if AUTOSCALE in names:
            scale = ScaleDuty(
                self.cluster_state,
                self.fleet.sum_demand,
                make_send_scale(orders, lease, name),
                self.clock,
            )
        return Duties(
            lease=lease,
            table=self.fleet.table,
            rank=self.fleet.domains.takeover_rank,
            usage=usage,
            usage_parts=UsagePartWriter(
                store, self.usage, self.incarnation, self.wall_clock.now
            ),
            scale=scale,
            clock=self.clock,
            is_ready=lambda: self.is_ready,
            on_lost=self.fleet.messenger.broadcast_status,
        )

    async def _listen(self) -> None:
        ingress = self.ingress
        await self.readiness_server.start(*ingress.readiness_address)
        await self.ingress_server.start(*ingress.frontend_address)
        if ingress.metrics_port:
            address = str(self.settings.node.address)
            await self.metrics_server.start(address, ingress.metrics_port)
        await self.fleet.start()

    def _spawn(self, job: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(
            asyncio.create_task(run_with_restarts(job, pause=RESTART_PAUSE))
        )

    def _reload_settings(self) -> None:
        """Reload the settings file without interrupting requests."""
        if self._read_settings is None:
            log.info("reload requested, but the node has no settings file")
            return
        try:
            decision = decide_reload(self.settings, self._read_settings())
        except SettingsError as exc:
            faults = [str(fault) for fault in exc.faults]
            log.error(
                "settings not taken; the last ones hold", extra={"faults": faults}
            )
            return
        assert decision.settings.ingress is not None
        self.settings, self.ingress = decision.settings, decision.settings.ingress
        logging.getLogger().setLevel(self.settings.log.level)
        self.fleet.observe_seeds(self.ingress.seeds)
        for budget in self._retry_budgets.values():
            # Retries already counted by the budget remain counted.
            budget.ratio = self.ingress.retry_ratio
            budget.slack = self.ingress.retry_slack
            budget.window = self.ingress.retry_window
        log.info(
            "settings taken in",
            extra={"live": decision.live, "at_next_start": decision.at_start},
        )

    async def stop(self) -> None:
        """Leave the load balancer, wait for running requests, then close."""
        self.stopping = True
        self.ingress_server.draining = True
        now = self.clock()
        answers_end_at = now + self.ingress.grace - CLOSE_RESERVE
        admission_ends_at = min(now + ADMISSION_TIME, answers_end_at)
        listening_ends_at = min(now + BALANCER_REMOVAL_TIME, answers_end_at)
        self.request_handler.begin_stop(StopSchedule(admission_ends_at, answers_end_at))
        # The store may be slow or away, and requests must not wait for it.
        release = asyncio.create_task(self._release_duties())
        release.add_done_callback(log_task_failure)
        log.info("node stopping", extra={"n_active": self.request_handler.n_active})
        await asyncio.sleep(max(0.0, admission_ends_at - self.clock()))
        self.request_handler.end_admission()
        await asyncio.sleep(max(0.0, listening_ends_at - self.clock()))
        await self.ingress_server.stop_listening()
        while self.clock() < answers_end_at + ANSWER_WRITE_TIME:
            self.ingress_server.close_idle()
            if not self.request_handler.n_active and not any(
                it.awaits_request or it.has_unsent_data
                for it in self.ingress_server.connections
            ):
                break
            await asyncio.sleep(STOP_CHECK_INTERVAL)
        await asyncio.wait({release}, timeout=max(0.0, answers_end_at - self.clock()))
        if not release.done():
            log.warning("duties not released before the end of the grace period")
            release.cancel()
        log.info("node stopped", extra={"n_active": self.request_handler.n_active})
        await self.close()

    async def _release_duties(self) -> None:
        """Release the duties early, so that another node takes them over in time."""
        self.fleet.messenger.send_status_round()
        await self.duties.release()

    async def close(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.fleet.messenger.send_status_round()
        await self.fleet.close()
        for server in (self.ingress_server, self.readiness_server, self.metrics_server):
            await server.close()
        self.pool.close()
        self.forwarder.close()
        for close in self._close_callbacks:
            await close()
        self.writer.flush()

    # Readiness probe and metrics

    async def _answer_probe(self, req: IncomingRequest, responder: Responder) -> None:
        del req
        status = 200 if self.is_ready else 503
        await responder.send(status, [], b"ready\n" if status == 200 else b"no\n")

    async def _answer_metrics(self, req: IncomingRequest, responder: Responder) -> None:
        if req.path == "/where":
            await self._answer_where(req, responder)
            return
        if req.path != "/metrics":
            await responder.send(404, [], b"")
            return
        self.metrics.observe_waiting(
            count_waiting_by_customer(self.request_queue.list_waiting())
        )
        text = self.metrics.snapshot()
        await responder.send(200, [(b"Content-Type", b"text/plain")], text)

    async def _answer_where(self, req: IncomingRequest, responder: Responder) -> None:
        """Answer where a request would go now; nothing is sent."""
        # Only operators need it, so it does not delay a node's start.
        from ._where import PlacementGuide, QuestionError

        guide = PlacementGuide(
            self.cluster_state,
            self.request_queue,
            self.crash_guard,
            self.reach,
            self.clock,
        )
        headers = [(b"Content-Type", b"application/json")]
        if req.method != "GET":
            await responder.send(405, [], b"")
            return
        try:
            status, answer = 200, guide.answer(req.target)
            answer = {"node": self.settings.node.name, **answer}
        except QuestionError as exc:
            error = {"code": exc.code, "message": str(exc)}
            status, answer = exc.status, {"error": error}
        await responder.send(status, headers, orjson.dumps(answer))


async def _can_reach(server: Registration) -> bool:
    """Return whether a server accepts connections."""
    try:
        conn = await open_connection(server.host, server.port, timeout=CONNECT_TIMEOUT)
    except ConnectFaultError:
        return False
    conn.abort()
    return True
