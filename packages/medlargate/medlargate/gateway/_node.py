"""One node: its state, its tasks, its planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import logging
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping

import aiohttp

from .._clock import read_boot_clock
from .._settings import Settings
from .._tasks import run_to_end
from ..charts import Subject, load_chart
from ..fleet import ClaimRegistry, ConfigReplica, Record, UsageLedger, UsageRow
from ..platform import HttpStore, PlatformClient
from ..policy import (
    CrashTracker,
    Job,
    OutputEstimator,
    RetryBudget,
    Verdict,
    decide_suspect_placement,
)
from ..telemetry import DecisionLog, Metrics
from ._backend_client import BackendFault, is_alive, make_session
from ._caller import is_withdrawn
from ._chat import measure_work
from ._dispatcher import Dispatcher
from ._duties import Duties
from ._events_log import EventLog
from ._exchange import Exchange
from ._fleet_side import FLEET_HEADER, FleetSide
from ._watchdog import Watchdog

log = logging.getLogger(__name__)

CRASH_MEMORY = 1.0  # seconds


class Node:
    """Everything that one process of the fleet owns.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.name = settings.node.name
        self.incarnation = f"{self.name}-{secrets.token_hex(4)}"
        self.states = Subject(load_chart("node"))
        self.replica = ConfigReplica(read_boot_clock)
        self.dispatcher = Dispatcher(
            settings.node.failure_domain,
            max_queue_length=settings.limits.max_queue_length,
        )
        self.watchdog = Watchdog()
        self.budget = RetryBudget()
        self.crashes = CrashTracker()
        self.estimator = OutputEstimator()
        self.metrics = Metrics(max_label_values=settings.limits.max_label_values)
        self.decisions = DecisionLog(max_requests=settings.limits.max_decisions)
        self.usage = UsageLedger(
            self.incarnation, settings.fleet.usage_window, time.time
        )
        self.n_active = 0
        self.events = EventLog(self.decisions, self.metrics)
        self.clock = read_boot_clock
        self.fleet_secret = settings.node.fleet_secret or secrets.token_hex(16)
        self.session: aiohttp.ClientSession
        self.platform_session: aiohttp.ClientSession
        self.store: HttpStore
        self.platform: PlatformClient
        self.fleet: FleetSide
        self.duties: Duties
        self.claims: ClaimRegistry
        self._tasks: list[asyncio.Task] = []
        self._investigations: dict[str, asyncio.Task[bool]] = {}
        self.replica.add_listener(self._observe_record)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return bool(self.states.attributes["ready"])

    # Life

    async def start(self) -> None:
        """Open connections and start the node's tasks."""
        self.session = make_session()
        self.platform_session = aiohttp.ClientSession()
        platform = self.settings.platform
        url = platform.url
        timeout = platform.timeout
        self.store = HttpStore(url, timeout=timeout)
        self.platform = PlatformClient(self.platform_session, url, timeout=timeout)
        self.fleet = FleetSide(self)
        self.dispatcher.on_work = self._count_work
        self.duties = Duties(self)
        self.claims = ClaimRegistry(self.store, self.incarnation, self.clock)
        await self.fleet.start()
        for job in (
            self.dispatcher.run,
            self.watchdog.run,
            self.fleet.run_list,
            self.fleet.run_shares,
            self.fleet.run_copies,
            self.fleet.agent.run_heartbeats,
            self.fleet.agent.run_sync,
            self.duties.run,
            self._run_flush,
        ):
            self._spawn(job)

    def _spawn(self, job: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_to_end(job)))

    async def close(self) -> None:
        """Flush what is owed, give duties up and end the node's tasks."""
        await self.flush_usage()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.duties.release()
        self.fleet.close()
        await self.session.close()
        await self.store.close()
        await self.platform_session.close()
        self.metrics.close()

    def _count_work(self, job: Job, work: float) -> None:
        self.fleet.work.observe(
            job.pool, job.class_name, job.customer, work / job.weight
        )

    async def _run_flush(self) -> None:
        while True:
            await asyncio.sleep(self.settings.fleet.usage_flush_interval)
            await self.flush_usage()

    async def flush_usage(self) -> None:
        """Write this node's counters to the store."""
        await self.usage.flush(self.store, self.usage.unflushed_parts())

    # Facts

    def _observe_record(self, record: Record) -> None:
        if self.states.state == "starting":
            self.states.observe("configured")
        self.dispatcher.observe_config(self.replica.config)
        if any(op.kind == "key" for op in record.operations) or not record.operations:
            self._end_withdrawn()
        for operation in record.operations:
            if operation.kind == "pardon":
                self.crashes.lift_quarantine(operation.name)
        self.events.observe(
            "configuration", f"revision {record.revision}", f"by {record.author}"
        )

    def observe_leaving(self, backend: str, reason: str) -> None:
        """Take in that a backend server is leaving.

        Parameters
        ----------
        backend : str
            Its name.
        reason : str
            Which source said so.
        """
        view = self.dispatcher.views.get(backend)
        if view is not None and view.state != "leaving":
            self.events.observe("backend_leaving", backend, reason)
            self.dispatcher.observe_leaving(backend)

    def _end_withdrawn(self) -> None:
        """Break off the repeatable requests whose keys are gone."""
        for exch in self.watchdog.exchanges():
            if exch.job.repeatable and is_withdrawn(self.replica.config, exch.caller):
                exch.withdrawn = True
                self.watchdog.close(exch.request_id)

    def is_withdrawn(self, exch: Exchange) -> bool:
        """Tell whether a request's key was withdrawn since it arrived.

        Parameters
        ----------
        exch : Exchange
            The request.

        Returns
        -------
        bool
            False for requests of open routes.
        """
        return is_withdrawn(self.replica.config, exch.caller)

    def observe_first_token(self, exch: Exchange, elapsed: float) -> None:
        """Take in a measured time to the first token.

        Parameters
        ----------
        exch : Exchange
            The request.
        elapsed : float
            Seconds since it was sent to the backend server.
        """
        scheduler = self.dispatcher.pools[exch.job.pool]
        scheduler.observe_first_token(exch.job, elapsed)

    def release(self, exch: Exchange, *, done: bool) -> None:
        """Give back a request's slot and take in what it measured.

        Parameters
        ----------
        exch : Exchange
            The request.
        done : bool
            Its answer came to its end.
        """
        now = time.monotonic()
        view = self.dispatcher.views.get(exch.backend)
        interval = exch.interval()
        if view is not None and interval is not None and exch.n_attempts == 1:
            view.observe_interval(interval, target=exch.job.token_interval, now=now)
        work = measure_work(exch) if done and exch.n_tokens else None
        self.dispatcher.release(exch.job, work=work, done=done)
        if done:
            self.budget.observe_success()
            self.crashes.observe_success(exch.job.fingerprint)

    async def observe_fault(
        self, exch: Exchange, backend: str, fault: BackendFault
    ) -> None:
        """Take in a failed attempt and find out whether the server crashed.

        Parameters
        ----------
        exch : Exchange
            The request.
        backend : str
            Where the attempt ran.
        fault : BackendFault
            What was seen.
        """
        exch.record("fault", backend=backend, fault=fault.kind, message=fault.message)
        if exch.preempted or exch.withdrawn:
            return
        now = time.monotonic()
        scheduler = self.dispatcher.pools[exch.job.pool]
        if fault.kind == "connect":
            scheduler.observe_failure(backend, now)
        if fault.kind == "broken" and not exch.stalled:
            await self._investigate(backend)

    async def separate_suspect(self, exch: Exchange) -> None:
        """Keep a suspect apart before it is dispatched.

        Parameters
        ----------
        exch : Exchange
            The request.

        Raises
        ------
        Refusal
            The request is quarantined.
        """
        decision = self.crashes.decide(exch.job.fingerprint, time.monotonic())
        if decision.isolated and decision.run:
            scheduler = self.dispatcher.pools.get(exch.job.pool)
            views = scheduler.views if scheduler else {}
            domains = {
                name: v.failure_domain for name, v in self.dispatcher.views.items()
            }
            usable = {
                name
                for name, view in views.items()
                if view.state in ("live", "suspect")
                and name not in decision.crashed
                and (exch.job.cheap_allowed or not view.cheap)
            }
            excluded, wait = decide_suspect_placement(decision, domains, usable)
            exch.job.excluded_backends |= excluded
            exch.record("suspect", crashed=list(decision.crashed), wait=round(wait, 3))
            if wait:
                await asyncio.sleep(wait)
                decision = self.crashes.decide(exch.job.fingerprint, time.monotonic())
        if not decision.run:
            refusal = exch.make_failure(
                422, "quarantined", "this request crashed backend servers"
            )
            refusal.retry_after = decision.retry_after
            raise refusal
        exch.job.isolated = decision.isolated

    async def _investigate(self, backend: str) -> bool:
        """Ask once for all requests of a server whether it still answers."""
        task = self._investigations.get(backend)
        if task is None:
            task = asyncio.create_task(self._probe(backend))
            self._investigations[backend] = task
            task.add_done_callback(
                lambda _: asyncio.get_running_loop().call_later(
                    CRASH_MEMORY, self._investigations.pop, backend, None
                )
            )
        return await asyncio.shield(task)

    async def _probe(self, backend: str) -> bool:
        running = self.dispatcher.fingerprints_on(backend)
        if await is_alive(self.session, self.backend_url(backend)):
            return False
        view = self.dispatcher.views.get(backend)
        leaving = view is None or view.state in ("leaving", "gone")
        now = time.monotonic()
        marked = self.crashes.observe_crash(
            backend,
            running,
            now=now,
            domain=view.failure_domain if view else "",
            announced=leaving,
        )
        if view is not None:
            view.down_until = now + CRASH_MEMORY
        self.events.observe("backend_crash", backend, f"{len(marked)} requests marked")
        await self.fleet.share_marks(backend, marked)
        return True

    def observe_end(self, exch: Exchange, outcome: str) -> None:
        """Take in the end of a request: usage, metrics, log.

        Parameters
        ----------
        exch : Exchange
            The request.
        outcome : str
            ``"ok"`` or a refusal's code.
        """
        if exch.finished:
            return
        exch.finished = True
        self.n_active -= 1
        exch.observe_end(outcome)
        if exch.n_tokens or outcome == "ok":
            counts = UsageRow(
                requests=int(outcome == "ok"),
                prompt_tokens=exch.prompt_tokens,
                cached_tokens=exch.cached_tokens,
                output_tokens=exch.n_tokens,
            )
            self.usage.count_request(
                exch.caller.customer, exch.route.request_class, counts
            )
        if outcome == "ok" and exch.route.kind == "chat":
            self.estimator.observe(exch.caller.customer, exch.route_name, exch.n_tokens)
        first = exch.first_token_at
        self.metrics.observe_request(
            customer=exch.caller.customer,
            request_class=exch.route.request_class,
            outcome=outcome,
            queue_wait=exch.queue_wait,
            first_token=first - exch.started_at if first is not None else None,
            interval=exch.interval(),
            n_tokens=exch.n_tokens,
        )
        exch.log_end(outcome)

    def trusts_keys(self) -> bool:
        """Tell whether keys are known to be in force.

        Returns
        -------
        bool
            False when a withdrawal could have been accepted unheard.
        """
        return self.fleet.agent.trusts_keys()

    def is_fleet_request(self, headers: Mapping[str, str]) -> bool:
        """Tell whether a request comes from another node of the fleet.

        Parameters
        ----------
        headers : mapping of str to str
            Of the request.

        Returns
        -------
        bool
            Whether it presents the fleet's secret.
        """
        given = headers.get(FLEET_HEADER, "").encode("latin-1")
        return hmac.compare_digest(given, self.fleet_secret.encode())

    def backend_url(self, name: str) -> str:
        """Return a backend server's base address.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        str
            URL.
        """
        backend = self.replica.config.backends.get(name)
        if backend is None:
            raise_gone(name)
        return backend.url

    # Planned stop

    async def drain(self) -> None:
        """Turn readiness off and wait until the balancer has noticed."""
        if self.states.chart.allows(self.states.state, "stop"):
            self.states.observe("stop")
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(self.settings.stop.balancer_delay)


def raise_gone(name: str) -> None:
    """Fail an attempt on a backend server that was deleted meanwhile.

    Parameters
    ----------
    name : str
        The server.

    Raises
    ------
    BackendFault
        Always; nothing was sent.
    """
    raise BackendFault("connect", f"backend server {name} is gone", Verdict.NOT_RUN)
