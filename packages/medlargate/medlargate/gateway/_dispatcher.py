"""Queues requests on the pool schedulers and carries out their decisions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet import Backend, Config
from ..policy import (
    Assignment,
    BackendView,
    ConcurrencyLimit,
    Job,
    PoolOptions,
    PoolScheduler,
    Preemption,
    Refusal,
    Shed,
    Verdict,
)

SCHEDULING_INTERVAL = 0.05  # seconds between two scheduling rounds
SHED_MESSAGES = {
    "deadline": "its latency target can't be met at the present load",
    "queue_full": "the queue is full",
    "no_backend": "no backend server serves this route now",
    "stopping": "this node is stopping",
}


def make_shed_refusal(shed: Shed) -> Refusal:
    """Convert a scheduler's refusal into an HTTP refusal for the caller.

    Parameters
    ----------
    shed : Shed
        Decision of a pool scheduler not to run a job.

    Returns
    -------
    Refusal
        HTTP status 503 if no backend server serves the route, 429 otherwise, and 502
        if an earlier attempt of the job may have run.
    """
    message = SHED_MESSAGES[shed.code]
    if shed.verdict is Verdict.NOT_RUN:
        status = 503 if shed.code == "no_backend" else 429
        message = f"not run: {message}"
    else:
        # Clients take 429 and 503 for a promise and send the request again.
        status = 502
        message = f"not resumed after an attempt that may have run: {message}"
    return Refusal(
        status,
        shed.code,
        message,
        shed.verdict,
        shed.retry_after,
        {
            "expected_wait": round(shed.expected_wait, 4),
            "allowed_wait": round(shed.allowed_wait, 4),
            "tier": shed.job.tier,
        },
    )


@dataclass
class Dispatcher:
    """Runs the pool schedulers and holds the requests waiting for a slot.

    Parameters
    ----------
    domain : str
        Failure domain of this node.
    max_queue_length : int
        Maximum number of waiting requests per pool.

    Attributes
    ----------
    pools : dict of str to PoolScheduler
        One scheduler per model or plain service, by pool name.
    views : dict of str to BackendView
        State of every backend server, by server name. The pools that a server
        serves share one view.
    clock : callable
        Returns the current time in monotonic seconds.
    on_work : callable
        Called with a job and an amount of work in output-token equivalents: the
        estimate at each dispatch of a job that is not resumed, so again after a
        failed connection, and the difference between measured and charged work
        once the work has been measured.
    """

    domain: str
    max_queue_length: int = 10_000
    pools: dict[str, PoolScheduler] = field(default_factory=dict)
    views: dict[str, BackendView] = field(default_factory=dict)
    clock: Callable[[], float] = time.monotonic
    on_work: Callable[[Job, float], None] = lambda job, work: None
    _futures: dict[str, asyncio.Future] = field(default_factory=dict)
    _preempt_callbacks: dict[str, Callable[[Preemption], None]] = field(
        default_factory=dict
    )

    def apply_config(self, cfg: Config) -> None:
        """Update pools and backend servers from a configuration.

        A backend server that no longer serves a pool is marked as leaving. As its
        pools share one view, the server is then leaving in the pools that it still
        serves, too. The server is removed from the pool that it no longer serves,
        and its view from ``views``, by the first configuration that arrives while
        no request of this node is in flight there.

        Parameters
        ----------
        cfg : Config
            Configuration in force.
        """
        configured: dict[str, set[str]] = {}
        for name, backend in cfg.backends.items():
            for pool in backend.pools:
                configured.setdefault(pool, set()).add(name)
                self._apply_backend(pool, name, backend)
        for pool, scheduler in self.pools.items():
            for name in set(scheduler.views) - configured.get(pool, set()):
                scheduler.views[name].observe("leave")
                if not scheduler.views[name].in_flight:
                    del scheduler.views[name]
                    self.views.pop(name, None)

    def _apply_backend(self, pool: str, name: str, backend: Backend) -> None:
        scheduler = self.pools.get(pool)
        if scheduler is None:
            options = PoolOptions(
                domain=self.domain, max_queue_length=self.max_queue_length
            )
            scheduler = PoolScheduler(pool, options=options)
            self.pools[pool] = scheduler
        view = self.views.get(name)
        if view is None:
            view = BackendView(
                name,
                backend.failure_domain,
                backend.cheap,
                ConcurrencyLimit(backend.max_concurrency),
            )
            self.views[name] = view
        scheduler.views[name] = view
        view.limit.max_limit = backend.max_concurrency
        view.observe("leave" if backend.draining else "rejoin")

    def mark_leaving(self, backend: str) -> None:
        """Stop sending new requests to a backend server that is about to leave.

        This holds until the next configuration, which makes a configured server
        live again unless it is set to draining.

        Parameters
        ----------
        backend : str
            Name of the backend server; an unknown name is ignored.
        """
        view = self.views.get(backend)
        if view is not None:
            view.observe("leave")

    def list_running_fingerprints(self, backend: str) -> list[str]:
        """List the fingerprints of this node's requests on a backend server.

        Parameters
        ----------
        backend : str
            Name of the backend server.

        Returns
        -------
        list of str
            One fingerprint per request in flight, over all pools.
        """
        return [
            run.job.fingerprint
            for scheduler in self.pools.values()
            for run in scheduler.running.values()
            if run.backend == backend
        ]

    async def acquire(
        self,
        job: Job,
        *,
        requeued: bool = False,
        on_preempt: Callable[[Preemption], None] | None = None,
    ) -> Assignment:
        """Queue a request and wait until a slot on a backend server is assigned.

        Parameters
        ----------
        job : Job
            Request to schedule.
        requeued : bool, default=False
            Whether the request was dispatched before and needs another attempt.
        on_preempt : callable or None
            Called if the dispatched request is preempted, i.e. has to give its
            slot to an urgent request of a higher tier, or, if its own customer is
            heavy, of a customer of the same class that is not heavy.

        Returns
        -------
        Assignment
            Backend server chosen for the request. The caller must call
            ``release`` when the attempt ends.

        Raises
        ------
        Refusal
            The scheduler refused the request.
        """
        scheduler = self.pools.get(job.pool)
        now = self.clock()
        if scheduler is None:
            raise make_shed_refusal(Shed(job, "no_backend", 0.0, 0.0, 1.0))
        if requeued:
            scheduler.observe_requeue(job, now)
        else:
            shed = scheduler.observe_arrival(job, now)
            if shed is not None:
                raise make_shed_refusal(shed)
        fut = asyncio.get_running_loop().create_future()
        self._futures[job.request_id] = fut
        self.apply_decisions(scheduler)
        try:
            assignment = await fut
        except asyncio.CancelledError:
            self._handle_cancellation(scheduler, job, fut)
            raise
        if on_preempt is not None:
            self._preempt_callbacks[job.request_id] = on_preempt
        return assignment

    def _handle_cancellation(
        self, scheduler: PoolScheduler, job: Job, fut: asyncio.Future
    ) -> None:
        if self._futures.pop(job.request_id, None) is not None:
            scheduler.observe_cancel(job, self.clock())
        elif not fut.cancelled() and fut.exception() is None:
            self.release(job, completed=False)

    def release(self, job: Job, *, work: float | None = None, completed: bool) -> None:
        """Free the slot of a dispatched request.

        Parameters
        ----------
        job : Job
            Request whose attempt has ended.
        work : float or None
            Measured work in output-token equivalents; None leaves the estimate
            charged.
        completed : bool
            Whether the response was received completely.
        """
        self._preempt_callbacks.pop(job.request_id, None)
        scheduler = self.pools[job.pool]
        if work is not None:
            self.on_work(job, work - job.charged_work)
        scheduler.observe_dispatch_end(
            job, self.clock(), work=work, completed=completed
        )
        self.apply_decisions(scheduler)

    def apply_decisions(self, scheduler: PoolScheduler) -> None:
        """Run one scheduling round of a pool and carry out its decisions.

        Parameters
        ----------
        scheduler : PoolScheduler
            One of the schedulers in ``pools``.
        """
        for decision in scheduler.decide(self.clock()):
            match decision:
                case Assignment():
                    self._resolve_future(decision.job, decision)
                    if not decision.job.resumed:
                        self.on_work(decision.job, decision.job.charged_work)
                case Shed():
                    self._resolve_future(decision.job, make_shed_refusal(decision))
                case Preemption():
                    callback = self._preempt_callbacks.pop(
                        decision.victim.request_id, None
                    )
                    if callback is not None:
                        callback(decision)

    def _resolve_future(self, job: Job, result: Assignment | Refusal) -> None:
        fut = self._futures.pop(job.request_id, None)
        if fut is None or fut.done():
            return
        if isinstance(result, Refusal):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    async def run(self) -> None:
        """Schedule all pools with waiting requests periodically, until cancelled."""
        while True:
            await asyncio.sleep(SCHEDULING_INTERVAL)
            for scheduler in self.pools.values():
                if scheduler.state.n_waiting:
                    self.apply_decisions(scheduler)

    def snapshot(self) -> list[dict[str, object]]:
        """Return the state of all pools for reports.

        Returns
        -------
        list of dict
            One snapshot per pool.
        """
        return [scheduler.snapshot() for scheduler in self.pools.values()]
