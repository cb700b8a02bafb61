"""State, background tasks and graceful shutdown of one gateway node."""

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
from .._tasks import run_with_restarts
from ..charts import StateMachine, load_chart
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
from ._fleet_sync import FLEET_HEADER, FleetSync
from ._watchdog import Watchdog

log = logging.getLogger(__name__)

# Seconds for which the result of a crash check is reused, and for which a crashed
# backend server counts as down.
CRASH_RETENTION = 1.0


class Node:
    """State, connections and background tasks of one gateway process.

    Parameters
    ----------
    settings : Settings
        Validated settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.name = settings.node.name
        self.incarnation = f"{self.name}-{secrets.token_hex(4)}"
        self.states = StateMachine(load_chart("node"))
        self.replica = ConfigReplica(read_boot_clock)
        self.dispatcher = Dispatcher(
            settings.node.failure_domain,
            max_queue_length=settings.limits.max_queue_length,
        )
        self.watchdog = Watchdog()
        self.retry_budget = RetryBudget()
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
        self.fleet: FleetSync
        self.duties: Duties
        self.claims: ClaimRegistry
        self._tasks: list[asyncio.Task] = []
        self._crash_checks: dict[str, asyncio.Task[bool]] = {}
        self.replica.add_listener(self._apply_record)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this node."""
        return bool(self.states.attributes["ready"])

    # Start and close

    async def start(self) -> None:
        """Open connections and start the background tasks."""
        self.session = make_session()
        self.platform_session = aiohttp.ClientSession()
        platform = self.settings.platform
        url = platform.url
        timeout = platform.timeout
        self.store = HttpStore(url, timeout=timeout)
        self.platform = PlatformClient(self.platform_session, url, timeout=timeout)
        self.fleet = FleetSync(self)
        self.dispatcher.on_work = self._count_work
        self.duties = Duties(self)
        self.claims = ClaimRegistry(self.store, self.incarnation, self.clock)
        await self.fleet.start()
        for run_task in (
            self.dispatcher.run,
            self.watchdog.run,
            self.fleet.run_vm_list,
            self.fleet.run_slot_shares,
            self.fleet.run_usage_copies,
            self.fleet.agent.run_heartbeats,
            self.fleet.agent.run_sync,
            self.duties.run,
            self._run_usage_flush,
        ):
            self._spawn(run_task)

    def _spawn(self, run_task: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_with_restarts(run_task)))

    async def close(self) -> None:
        """Flush usage, cancel background tasks, release duties and disconnect."""
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
        self.fleet.work_counter.add(
            job.pool, job.class_name, job.customer, work / job.weight
        )

    async def _run_usage_flush(self) -> None:
        while True:
            await asyncio.sleep(self.settings.fleet.usage_flush_interval)
            await self.flush_usage()

    async def flush_usage(self) -> None:
        """Write this node's unflushed usage counters to the store."""
        await self.usage.flush(self.store, self.usage.unflushed_parts())

    # State changes and events

    def _apply_record(self, record: Record) -> None:
        if self.states.state == "starting":
            self.states.observe("configured")
        self.dispatcher.apply_config(self.replica.config)
        if any(op.kind == "key" for op in record.operations) or not record.operations:
            self._cancel_withdrawn_requests()
        for operation in record.operations:
            if operation.kind == "pardon":
                self.crashes.lift_quarantine(operation.name)
        self.events.record(
            "configuration", f"revision {record.revision}", f"by {record.author}"
        )

    def mark_backend_leaving(self, backend: str, reason: str) -> None:
        """Mark a backend server as leaving, so that it gets no further requests.

        Parameters
        ----------
        backend : str
            Name of the backend server.
        reason : str
            Source of the information, for the event log.
        """
        view = self.dispatcher.views.get(backend)
        if view is not None and view.state != "leaving":
            self.events.record("backend_leaving", backend, reason)
            self.dispatcher.mark_leaving(backend)

    def _cancel_withdrawn_requests(self) -> None:
        """Cancel running repeatable requests whose API keys were withdrawn."""
        for exch in self.watchdog.list_exchanges():
            if exch.job.repeatable and is_withdrawn(self.replica.config, exch.caller):
                exch.key_withdrawn = True
                self.watchdog.close_response(exch.request_id)

    def is_key_withdrawn(self, exch: Exchange) -> bool:
        """Tell whether a request's API key was withdrawn after the request arrived.

        Parameters
        ----------
        exch : Exchange
            Request to check.

        Returns
        -------
        bool
            Whether the key was withdrawn; always False on routes without keys.
        """
        return is_withdrawn(self.replica.config, exch.caller)

    def observe_first_token(self, exch: Exchange, elapsed: float) -> None:
        """Record a measured time to first token in the pool's scheduler.

        Parameters
        ----------
        exch : Exchange
            Request that was measured.
        elapsed : float
            Seconds from sending the request to the backend server to its first token.
        """
        scheduler = self.dispatcher.pools[exch.job.pool]
        scheduler.observe_first_token(exch.job, elapsed)

    def release(self, exch: Exchange, *, completed: bool) -> None:
        """Free a request's slot and record its measurements.

        Parameters
        ----------
        exch : Exchange
            Request whose attempt has ended.
        completed : bool
            Whether the response was complete.
        """
        now = time.monotonic()
        view = self.dispatcher.views.get(exch.backend)
        interval = exch.compute_token_interval()
        if view is not None and interval is not None and exch.n_attempts == 1:
            view.observe_interval(interval, target=exch.job.token_interval, now=now)
        work = measure_work(exch) if completed and exch.n_tokens else None
        self.dispatcher.release(exch.job, work=work, completed=completed)
        if completed:
            self.retry_budget.observe_success()
            self.crashes.observe_success(exch.job.fingerprint)

    async def handle_fault(
        self, exch: Exchange, backend: str, fault: BackendFault
    ) -> None:
        """Record a failed attempt and check whether the backend server crashed.

        Parameters
        ----------
        exch : Exchange
            Request whose attempt failed.
        backend : str
            Name of the backend server that the attempt was sent to.
        fault : BackendFault
            Error of the attempt.
        """
        exch.record("fault", backend=backend, fault=fault.kind, message=fault.message)
        if exch.preempted or exch.key_withdrawn:
            return
        now = time.monotonic()
        scheduler = self.dispatcher.pools[exch.job.pool]
        if fault.kind == "connect":
            scheduler.observe_failure(backend, now)
        if fault.kind == "broken" and not exch.stalled:
            await self._check_crash(backend)

    async def isolate_suspect(self, exch: Exchange) -> None:
        """Restrict where a request suspected of crashing servers may run.

        Parameters
        ----------
        exch : Exchange
            Request that is about to be dispatched.

        Raises
        ------
        Refusal
            If the request is quarantined.

        Notes
        -----
        A suspect avoids failure domains in which it has crashed a server. Where no
        other domain has a usable server, the dispatch is delayed until a second
        crash could not be mistaken for the loss of a domain.
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

    async def _check_crash(self, backend: str) -> bool:
        """Check whether a server crashed; its failed requests share one check."""
        task = self._crash_checks.get(backend)
        if task is None:
            task = asyncio.create_task(self._run_crash_check(backend))
            self._crash_checks[backend] = task
            task.add_done_callback(
                lambda _: asyncio.get_running_loop().call_later(
                    CRASH_RETENTION, self._crash_checks.pop, backend, None
                )
            )
        return await asyncio.shield(task)

    async def _run_crash_check(self, backend: str) -> bool:
        running_fingerprints = self.dispatcher.list_running_fingerprints(backend)
        if await is_alive(self.session, self.backend_url(backend)):
            return False
        view = self.dispatcher.views.get(backend)
        leaving = view is None or view.state in ("leaving", "gone")
        now = time.monotonic()
        marked = self.crashes.observe_crash(
            backend,
            running_fingerprints,
            now=now,
            domain=view.failure_domain if view else "",
            announced=leaving,
        )
        if view is not None:
            view.down_until = now + CRASH_RETENTION
        self.events.record(
            "backend_crash", backend, f"{len(marked)} requests marked as suspects"
        )
        await self.fleet.broadcast_suspects(backend, marked)
        return True

    def finish_request(self, exch: Exchange, outcome: str) -> None:
        """Record a finished request in usage, metrics and the request log.

        Parameters
        ----------
        exch : Exchange
            Finished request; repeated calls for it are ignored.
        outcome : str
            ``"ok"``, ``"caller_gone"``, ``"internal_error"`` or a refusal's code.
        """
        if exch.finished:
            return
        exch.finished = True
        self.n_active -= 1
        exch.finish_trace(outcome)
        if exch.n_tokens or outcome == "ok":
            usage_row = UsageRow(
                requests=int(outcome == "ok"),
                prompt_tokens=exch.prompt_tokens,
                cached_tokens=exch.cached_tokens,
                output_tokens=exch.n_tokens,
            )
            self.usage.count_request(
                exch.caller.customer, exch.route.request_class, usage_row
            )
        if outcome == "ok" and exch.route.kind == "chat":
            self.estimator.observe(exch.caller.customer, exch.route_name, exch.n_tokens)
        first_token_at = exch.first_token_at
        self.metrics.observe_request(
            customer=exch.caller.customer,
            request_class=exch.route.request_class,
            outcome=outcome,
            queue_wait=exch.queue_wait,
            first_token=first_token_at - exch.started_at
            if first_token_at is not None
            else None,
            interval=exch.compute_token_interval(),
            n_tokens=exch.n_tokens,
        )
        exch.log_end(outcome)

    def trusts_keys(self) -> bool:
        """Tell whether this node's view of API keys is recent enough to rely on.

        Returns
        -------
        bool
            False if another node may have withdrawn a key without this node knowing.
        """
        return self.fleet.agent.trusts_keys()

    def is_fleet_request(self, headers: Mapping[str, str]) -> bool:
        """Tell whether a request comes from another node of the fleet.

        Parameters
        ----------
        headers : mapping of str to str
            Headers of the request.

        Returns
        -------
        bool
            Whether the headers carry the fleet's shared secret.
        """
        presented = headers.get(FLEET_HEADER, "").encode("latin-1")
        return hmac.compare_digest(presented, self.fleet_secret.encode())

    def backend_url(self, name: str) -> str:
        """Return a backend server's base URL.

        Parameters
        ----------
        name : str
            Name of the backend server.

        Returns
        -------
        str
            Base URL from the configuration.

        Raises
        ------
        BackendFault
            If the backend server is no longer configured.
        """
        backend = self.replica.config.backends.get(name)
        if backend is None:
            raise_backend_gone(name)
        return backend.url

    # Graceful shutdown

    async def drain(self) -> None:
        """Report not ready and wait for the load balancer to stop sending requests."""
        if self.states.chart.allows(self.states.state, "stop"):
            self.states.observe("stop")
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(self.settings.stop.balancer_delay)


def raise_backend_gone(name: str) -> None:
    """Fail an attempt on a backend server that was deleted after its selection.

    Parameters
    ----------
    name : str
        Name of the backend server.

    Raises
    ------
    BackendFault
        Always, with the verdict that the request did not run.
    """
    raise BackendFault("connect", f"backend server {name} is gone", Verdict.NOT_RUN)
