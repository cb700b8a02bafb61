"""A node on the users' platform: its parts, wired in one place."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .._clock import read_boot_clock
from .._settings import Settings, SettingsError
from .._tasks import run_to_end
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
    SERVERS_PREFIX,
    HttpStore,
    OrdersClient,
    decode_declaration,
    decode_registration,
)
from ..policy import LONG_PREFILL_TIME, CrashHistory, FleetRetryBudget
from ..routing import IngressLimits, Registration
from ..telemetry import LateMetrics, LineWriter
from ..transport import (
    CONNECT_TIMEOUT,
    ConnectFaultError,
    ConnectionPool,
    IncomingRequest,
    IngressServer,
    Responder,
    open_connection,
)
from ._accept import Acceptor
from ._duties import (
    ORDER_TIMEOUT,
    Demand,
    Duties,
    ScaleDuty,
    make_send_scale,
    make_send_usage,
)
from ._exchange import Exchange
from ._fleet_side import FleetSync
from ._load_tracker import LoadTracker
from ._reload import decide_reload
from ._request_handler import RequestHandler
from ._request_queue import RequestQueue
from ._request_recorder import RequestRecorder
from ._sender import Sender

log = logging.getLogger(__name__)

# The balancer looks once a second and takes a node out after two misses; callers'
# connections that were on their way then are still accepted.
BALANCER_NOTICE = 3.0  # seconds
STOP_RESERVE = 0.7  # seconds of the grace left for closing
METERING, AUTOSCALE = "metering", "autoscale"  # duties as the settings name them
LONG_PROMPT = 4_000  # tokens; peers are told who holds it
STOP_CHECK_INTERVAL = 0.05  # seconds
SUMMARY_INTERVAL = 10.0  # seconds
RESTART_PAUSE = 0.5  # seconds
LISTEN_LIMITS = IngressLimits()


class RelayNode:
    """Everything that one process on the users' platform owns.

    Parameters
    ----------
    settings : Settings
        Checked settings, with the section ``ingress``.
    writer : LineWriter
        Where decisions are written.
    read_settings : callable or None
        Reads the settings file anew; None where there is none.
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
        self.beliefs = ClusterState(decode_declaration, decode_registration, self.clock)
        self.metrics = LateMetrics(max_label_values=settings.limits.max_label_values)
        self.loads = LoadTracker(settings.node.failure_domain)
        self.pool = ConnectionPool()
        self.demand = Demand()
        self.waiting = RequestQueue(
            self.beliefs,
            self.loads,
            self.clock,
            self._observe_work,
            lambda service: self.fleet.sum_tight_demand(service),
            random_state=self.random_state,
        )
        self.incarnation = f"{settings.node.name}-{secrets.token_hex(4)}"
        self.true_time = PeerCheckedClock(self.clock, time.time)
        self.crashes = CrashHistory()
        self.usage = UsageCounts(self.ingress.usage_window)
        self.account = RequestRecorder(
            self.metrics, self._observe_usage, self.clock, self.record_line
        )
        self.line = RequestHandler(
            Acceptor(
                self.beliefs,
                self._refresh_config,
                self.clock,
                self.record_line,
                self.ingress.config_bound_ms / 1000,
            ),
            self.waiting,
            Sender(self.pool, self.loads),
            self.loads,
            self.account,
            crashes=self.crashes,
            can_reach=_can_reach,
            budget=self._budget,
            n_nodes=self._count_nodes,
            clock=self.clock,
        )
        self.server = IngressServer(self.line.handle, self._limits)
        self.probes = IngressServer(self._answer_probe, lambda: LISTEN_LIMITS)
        self.pages = IngressServer(self._answer_page, lambda: LISTEN_LIMITS)
        self.beliefs.server_listeners.append(self._observe_server)
        self._budgets: dict[str, FleetRetryBudget] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._closers: list[Callable[[], Awaitable[None]]] = []
        self.stopping = False
        self.watcher: StoreWatcher
        self.fleet: FleetSync
        self.duties: Duties

    # What the parts ask of each other

    def record_line(self, kind: str, **facts: Any) -> None:
        """Write one line on a decision."""
        self.writer.write(kind, {"message": kind, **facts})

    def _limits(self) -> IngressLimits:
        table = self.beliefs.route_table
        return table.declaration.limits if table else LISTEN_LIMITS

    async def _refresh_config(self) -> bool:
        return await self.watcher.refresh_config()

    def _observe_usage(self, customer: str) -> None:
        self.usage.count_request(self.incarnation, customer, self.true_time.now())

    def _observe_work(
        self, exch: Exchange, server_id: str, seconds: float, tight: bool
    ) -> None:
        self.demand.observe(exch.service.name, seconds, self.clock(), tight=tight)
        if seconds > LONG_PREFILL_TIME or exch.n_tokens > LONG_PROMPT:
            self.fleet.observe_long_prompt(server_id, exch.facts.parts)

    def _snapshot_demand(self) -> dict[str, float]:
        return self.demand.snapshot(self.clock())

    def _count_nodes(self) -> int:
        return self.fleet.count_nodes()

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.ingress
            budget = FleetRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets[service] = budget
        return budget

    def _observe_server(self, server_id: str) -> None:
        if server_id not in self.beliefs.servers:
            self.pool.forget(server_id)
            self.loads.forget(server_id)
        self.waiting.observe_change()

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""
        return (
            not self.stopping
            and self.beliefs.route_table is not None
            and bool(self.beliefs.servers)
        )

    # Life

    async def run(self) -> None:
        """Serve until SIGTERM, then stop without cutting a request."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._observe_reload)
        await self.start()
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Open listeners and start the node's tasks."""
        platform = self.settings.platform
        store = HttpStore(platform.url, timeout=platform.timeout)
        self._closers.append(store.close)
        self.fleet = self._make_fleet_side(store)
        self.watcher = StoreWatcher(
            store,
            self.beliefs,
            CONFIG_KEY,
            SERVERS_PREFIX,
            self.clock,
            should_watch=self.fleet.watches,
            on_confirmed=self.fleet.tell_ages,
            poll_delay=self.fleet.domains.decide_poll_delay,
            config_bound=self.ingress.config_bound_ms / 1000,
            servers_bound=self.ingress.drain_bound_ms / 1000,
        )
        self.fleet.store_up = lambda: self.watcher.store_up
        self.duties = self._make_duties(store)
        self.fleet.is_holder = self.duties.is_holder
        self.fleet.make_demand = self._snapshot_demand
        self.fleet.make_tight_demand = lambda: self.demand.snapshot_tight(self.clock())
        await self._listen()
        for job in (
            self.watcher.run_config,
            self.watcher.run_servers,
            self.watcher.run_polls,
            self.waiting.run,
            self.fleet.run_registration,
            self.fleet.talk.run_intra_domain,
            self.fleet.talk.run_cross_domain,
            self.fleet.run_domains,
            self.duties.run_lease,
            self.duties.run_usage,
            self.duties.run_scale,
            self._run_summaries,
            self.metrics.load,
        ):
            self._spawn(job)
        log.info("node started", extra={"incarnation": self.incarnation})

    async def _run_summaries(self) -> None:
        """Write a line on the node's state from time to time, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL)
            age = self.beliefs.freshness()
            now = self.clock()
            log.info(
                "node summary",
                extra={
                    "n_active": self.line.n_active,
                    "n_waiting": self.waiting.snapshot(),
                    "config_version": age.config_version,
                    "config_age": round(now - age.config_confirmed_at, 2),
                    "servers_revision": age.servers_revision,
                    "servers_age": round(now - age.servers_confirmed_at, 2),
                    "n_peers": len(self.fleet.table.list_alive()),
                    "n_nodes": self.fleet.count_nodes(),
                    "domains_age": self.fleet.domains.status_ages(),
                    "holds_duties": self.duties.is_holder(),
                    "n_store_calls": dict(self.watcher.store.n_calls),
                    "n_connections_opened": self.pool.n_opened,
                    "n_lines_dropped": self.writer.n_dropped,
                },
            )

    def _make_fleet_side(self, store: HttpStore) -> FleetSync:
        node = self.settings.node
        side = FleetSync(
            name=node.name,
            zone=node.failure_domain,
            host=str(node.address),
            port=self.ingress.fleet_port,
            incarnation=self.incarnation,
            beliefs=self.beliefs,
            loads=self.loads,
            store=store,
            clock=self.clock,
            true_time=self.true_time,
            usage=self.usage,
            crashes=self.crashes,
        )
        side.observe_seeds(self.ingress.seeds)
        return side

    def _make_duties(self, store: HttpStore) -> Duties:
        name = self.settings.node.name
        lease = DutyLease(
            store,
            "platform",
            self.incarnation,
            self.clock,
            lease_timeout=self.ingress.lease_ms / 1000,
            order_timeout=ORDER_TIMEOUT,
            checks_fence=False,
        )
        orders = OrdersClient(f"http://{self.ingress.orders}", timeout=ORDER_TIMEOUT)
        self._closers.append(orders.close)
        names = self.ingress.duties.split(",")
        usage = scale = None
        if METERING in names:
            send = make_send_usage(orders, lease, name)
            usage = UsageReporter(
                store,
                lease,
                self.usage,
                send,
                self.true_time.now,
                self.fleet.has_all,
            )
        if AUTOSCALE in names:
            scale = ScaleDuty(
                self.beliefs,
                self.fleet.sum_demand,
                make_send_scale(orders, lease, name),
                self.clock,
            )
        return Duties(
            lease=lease,
            table=self.fleet.table,
            rank=self.fleet.domains.takeover_rank,
            usage=usage,
            parts=UsagePartWriter(
                store, self.usage, self.incarnation, self.true_time.now
            ),
            scale=scale,
            clock=self.clock,
            is_ready=lambda: self.is_ready,
            on_lost=self.fleet.talk.broadcast_status,
        )

    async def _listen(self) -> None:
        ingress = self.ingress
        await self.probes.start(*ingress.readiness_address)
        await self.server.start(*ingress.frontend_address)
        if ingress.metrics_port:
            address = str(self.settings.node.address)
            await self.pages.start(address, ingress.metrics_port)
        await self.fleet.start()

    def _spawn(self, job: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_to_end(job, pause=RESTART_PAUSE)))

    def _observe_reload(self) -> None:
        """Take in a changed settings file; requests go on meanwhile."""
        if self._read_settings is None:
            log.info("reload asked for; this node has no settings file")
            return
        try:
            reload = decide_reload(self.settings, self._read_settings())
        except SettingsError as exc:
            faults = [str(fault) for fault in exc.faults]
            log.error(
                "settings not taken; the last ones hold", extra={"faults": faults}
            )
            return
        assert reload.settings.ingress is not None
        self.settings, self.ingress = reload.settings, reload.settings.ingress
        logging.getLogger().setLevel(self.settings.log.level)
        self.fleet.observe_seeds(self.ingress.seeds)
        for budget in self._budgets.values():
            # What was spent goes on to count.
            budget.ratio = self.ingress.retry_ratio
            budget.slack = self.ingress.retry_slack
            budget.window = self.ingress.retry_window
        log.info(
            "settings taken in",
            extra={"live": reload.live, "at_next_start": reload.at_start},
        )

    async def stop(self) -> None:
        """Leave the balancer, let requests end, then close."""
        self.stopping = True
        self.server.draining = True
        started_at = self.clock()
        await self._release_duties()
        log.info("node stopping", extra={"n_active": self.line.n_active})
        end = started_at + self.ingress.grace - STOP_RESERVE
        await asyncio.sleep(BALANCER_NOTICE)
        # What comes later could not be answered before the end.
        self.server.stop_listening()
        while self.clock() < end and self.line.n_active > 0:
            self.server.close_idle()
            await asyncio.sleep(STOP_CHECK_INTERVAL)
        log.info("node stopped", extra={"n_active": self.line.n_active})
        await self.close()

    async def _release_duties(self) -> None:
        """Give duties up early, so that a successor takes them over in time."""
        self.fleet.talk.send_status_round()
        await self.duties.release()

    async def close(self) -> None:
        """End tasks and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.fleet.talk.send_status_round()
        await self.fleet.close()
        for server in (self.server, self.probes, self.pages):
            await server.close()
        self.pool.close()
        for close in self._closers:
            await close()
        self.writer.flush()

    # Pages

    async def _answer_probe(self, req: IncomingRequest, responder: Responder) -> None:
        del req
        status = 200 if self.is_ready else 503
        await responder.send(status, [], b"ready\n" if status == 200 else b"no\n")

    async def _answer_page(self, req: IncomingRequest, responder: Responder) -> None:
        if req.path != "/metrics":
            await responder.send(404, [], b"")
            return
        page = self.metrics.snapshot()
        await responder.send(200, [(b"Content-Type", b"text/plain")], page)


async def _can_reach(server: Registration) -> bool:
    """Tell whether a server takes connections."""
    try:
        conn = await open_connection(server.host, server.port, timeout=CONNECT_TIMEOUT)
    except ConnectFaultError:
        return False
    conn.abort()
    return True
