"""Connects waiting requests with the schedulers' decisions."""

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
)

TICK_INTERVAL = 0.05  # seconds
SHED_MESSAGES = {
    "deadline": "its latency target can't be met at the present load",
    "queue_full": "the queue is full",
    "no_backend": "no backend server serves this route now",
    "stopping": "this node is stopping",
}


def make_shed_refusal(shed: Shed) -> Refusal:
    """Turn a scheduler's refusal into one for the caller.

    Parameters
    ----------
    shed : Shed
        The decision.

    Returns
    -------
    Refusal
        Status 429 for load, 503 for lack of backend servers.
    """
    status = 503 if shed.code == "no_backend" else 429
    return Refusal(
        status,
        shed.code,
        f"not run: {SHED_MESSAGES[shed.code]}",
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
    """Schedulers of all pools, and the requests that wait for them.

    Parameters
    ----------
    domain : str
        This node's failure domain.
    max_queue_length : int
        Waiting requests of one pool.

    Attributes
    ----------
    pools : dict of str to PoolScheduler
        One scheduler for each model or plain service.
    on_work : callable
        Gets each job with the work that was charged or settled.
    views : dict of str to BackendView
        Every backend server, shared by the pools that it serves.
    """

    domain: str
    max_queue_length: int = 10_000
    pools: dict[str, PoolScheduler] = field(default_factory=dict)
    views: dict[str, BackendView] = field(default_factory=dict)
    clock: Callable[[], float] = time.monotonic
    on_work: Callable[[Job, float], None] = lambda job, work: None
    _futures: dict[str, asyncio.Future] = field(default_factory=dict)
    _preempt: dict[str, Callable[[Preemption], None]] = field(default_factory=dict)

    def observe_config(self, cfg: Config) -> None:
        """Take in the backend servers of a configuration.

        Parameters
        ----------
        cfg : Config
            The configuration in force.
        """
        wanted: dict[str, set[str]] = {}
        for name, backend in cfg.backends.items():
            for pool in backend.pools:
                wanted.setdefault(pool, set()).add(name)
                self._observe_backend(pool, name, backend)
        for pool, scheduler in self.pools.items():
            for name in set(scheduler.views) - wanted.get(pool, set()):
                scheduler.views[name].observe("leave")
                if not scheduler.views[name].in_flight:
                    del scheduler.views[name]
                    self.views.pop(name, None)

    def _observe_backend(self, pool: str, name: str, backend: Backend) -> None:
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

    def observe_leaving(self, backend: str) -> None:
        """Take in that a backend server is leaving, from any source.

        Parameters
        ----------
        backend : str
            Its name.
        """
        view = self.views.get(backend)
        if view is not None:
            view.observe("leave")

    def fingerprints_on(self, backend: str) -> list[str]:
        """List the fingerprints of this node's requests on a backend server.

        Parameters
        ----------
        backend : str
            Its name.

        Returns
        -------
        list of str
            One for each request in flight.
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
        returned: bool = False,
        on_preempt: Callable[[Preemption], None] | None = None,
    ) -> Assignment:
        """Wait for a backend server.

        Parameters
        ----------
        job : Job
            The request.
        returned : bool, default=False
            It was dispatched before and has to be sent elsewhere.
        on_preempt : callable or None
            Called when the dispatched request has to yield its slot.

        Returns
        -------
        Assignment
            Where to send it; ``release`` must follow.

        Raises
        ------
        Refusal
            The scheduler refused it.
        """
        scheduler = self.pools.get(job.pool)
        now = self.clock()
        if scheduler is None:
            raise make_shed_refusal(Shed(job, "no_backend", 0.0, 0.0, 1.0))
        if returned:
            scheduler.observe_requeue(job, now)
        else:
            shed = scheduler.observe_arrival(job, now)
            if shed is not None:
                raise make_shed_refusal(shed)
        fut = asyncio.get_running_loop().create_future()
        self._futures[job.request_id] = fut
        self.pump(scheduler)
        try:
            assignment = await fut
        except asyncio.CancelledError:
            self._abandon(scheduler, job, fut)
            raise
        if on_preempt is not None:
            self._preempt[job.request_id] = on_preempt
        return assignment

    def _abandon(self, scheduler: PoolScheduler, job: Job, fut: asyncio.Future) -> None:
        if self._futures.pop(job.request_id, None) is not None:
            scheduler.observe_cancel(job, self.clock())
        elif not fut.cancelled() and fut.exception() is None:
            self.release(job, done=False)

    def release(self, job: Job, *, work: float | None = None, done: bool) -> None:
        """Give a slot back.

        Parameters
        ----------
        job : Job
            The dispatched request.
        work : float or None
            Measured work.
        done : bool
            The answer came to its end.
        """
        self._preempt.pop(job.request_id, None)
        scheduler = self.pools[job.pool]
        if work is not None:
            self.on_work(job, work - job.charged_work)
        scheduler.observe_dispatch_end(job, self.clock(), work=work, completed=done)
        self.pump(scheduler)

    def pump(self, scheduler: PoolScheduler) -> None:
        """Carry out what a scheduler decides now.

        Parameters
        ----------
        scheduler : PoolScheduler
            One of ``pools``.
        """
        for decision in scheduler.decide(self.clock()):
            match decision:
                case Assignment():
                    self._settle(decision.job, decision)
                    if not decision.job.resumed:
                        self.on_work(decision.job, decision.job.charged_work)
                case Shed():
                    self._settle(decision.job, make_shed_refusal(decision))
                case Preemption():
                    callback = self._preempt.pop(decision.victim.request_id, None)
                    if callback is not None:
                        callback(decision)

    def _settle(self, job: Job, result: Assignment | Refusal) -> None:
        fut = self._futures.pop(job.request_id, None)
        if fut is None or fut.done():
            return
        if isinstance(result, Refusal):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    async def run(self) -> None:
        """Pump all pools at a fixed interval, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            for scheduler in self.pools.values():
                if scheduler.state.n_waiting:
                    self.pump(scheduler)

    def snapshot(self) -> list[dict[str, object]]:
        """Report all pools.

        Returns
        -------
        list of dict
            One for each pool.
        """
        return [scheduler.snapshot() for scheduler in self.pools.values()]
