"""Engines that crash on certain requests and are started again under new ids."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from medlargate.platform import Delete, Put

from .._backend_messages import ReceivedRequest
from ..backend import Backend, Work
from ..demo import HOST
from ..platform import Platform
from ._crash_forms import CrashForm

HEARTBEAT_INTERVAL = 1.2  # seconds between renewals of a registration
# A registration that is no longer renewed is removed after this time.
REGISTRATION_LIFETIME = 3.6  # seconds
PREFILL_TIME = 0.1  # seconds
N_SLOTS = 8
_FOREVER = 3600.0  # seconds


@dataclass
class _CrashableEngine(Backend):
    """One start of an engine.

    Attributes
    ----------
    get_crash_event : callable
        Returns the number of events that a run of a request writes before it crashes
        the engine, 0 for a crash before the head of the answer, and None for a sound
        request.
    crash_host : callable
        Crashes the engine and schedules its next start.
    is_silent : bool
        Whether the engine's machine is gone: nothing is sent any more.
    """

    get_crash_event: Callable[[ReceivedRequest], int | None] = lambda _: None
    crash_host: Callable[[], None] = lambda: None
    is_silent: bool = False

    async def _respond(self, req, reader, writer) -> bool:
        await self._stay_silent()
        is_meant = req.headers.get("expect-instance") == self.server_id
        if is_meant and self.get_crash_event(req) == 0:
            await asyncio.sleep(PREFILL_TIME)
            await self._crash()
        return await super()._respond(req, reader, writer)

    async def _pause_stream(self, req: ReceivedRequest, event: int, work: Work) -> None:
        # A resumed answer begins after the events that the caller has.
        n_held = int(req.headers.get("last-event-id", 0))
        crash_event = self.get_crash_event(req)
        if crash_event is not None and (
            event == min(n_held + crash_event, work.n_events)
        ):
            await self._crash()
        await super()._pause_stream(req, event, work)
        await self._stay_silent()

    async def _crash(self) -> None:
        if not self.is_silent and not self.has_crashed:
            self.crash_host()
        await self._stay_silent()
        raise ConnectionResetError("the engine crashed")

    async def _stay_silent(self) -> None:
        if self.is_silent:
            await asyncio.sleep(_FOREVER)


@dataclass
class EngineHost:
    """Machine that starts its engine again after each crash.

    Attributes
    ----------
    name, zone : str
        Prefix of the engine's ids, and failure domain.
    form : CrashForm
        How the engine crashes.
    platform : Platform
        Platform at which the engine registers.
    get_crash_event : callable
        Returns the number of events before the crash under a request, or None.
    crashes : list of float
        Times of the crashes, in seconds on the monotonic clock.
    arrivals : list of (float, ReceivedRequest)
        Requests that reached the engine, with their times.
    """

    name: str
    zone: str
    form: CrashForm
    platform: Platform
    get_crash_event: Callable[[ReceivedRequest], int | None]
    crashes: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, ReceivedRequest]] = field(default_factory=list)
    _n_starts: int = 0
    _port: int = 0
    _engine: _CrashableEngine | None = None
    _ended: list[_CrashableEngine] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start the engine under a new id, register it and renew the registration."""
        self._n_starts += 1
        engine = _CrashableEngine(
            f"{self.name}-{self._n_starts}",
            "engine",
            self.zone,
            slots=N_SLOTS,
            n_events=self.form.n_events,
            delay=PREFILL_TIME,
            pause=self.form.pause,
            born=self._n_starts,
            get_crash_event=self.get_crash_event,
            crash_host=self.crash,
        )
        engine.behaviour = self._observe_arrival
        await engine.start(HOST, self._port)
        self._port, self._engine = engine.port, engine
        self._spawn(self._renew(engine))

    def _observe_arrival(self, req: ReceivedRequest) -> str:
        self.arrivals.append((time.monotonic(), req))
        return "ok"

    async def _renew(self, engine: _CrashableEngine) -> None:
        key = f"servers/{engine.server_id}"
        while engine is self._engine:
            put = Put(key, engine.registration(HOST))
            self.platform.store.write([], [put], [])
            await asyncio.sleep(HEARTBEAT_INTERVAL)
        await asyncio.sleep(REGISTRATION_LIFETIME - HEARTBEAT_INTERVAL)
        self.platform.store.write([], [Delete(key)], [])

    def crash(self) -> None:
        """Crash the engine; it is started again after the form's time."""
        engine = self._engine
        if engine is None:
            return
        self.crashes.append(time.monotonic())
        self._engine = None
        self._ended.append(engine)
        if self.form.vanishes:
            engine.is_silent = True
            engine.stop_listening()
        else:
            engine.crash()
        self._spawn(self._start_later())

    async def _start_later(self) -> None:
        await asyncio.sleep(self.form.returns_after)
        await self.start()

    def _spawn(self, job) -> None:
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop the engine and all its earlier starts."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine in (*self._ended, self._engine):
            if engine is not None:
                await engine.close()


def make_crash_choice(
    form: CrashForm, is_deadly: Callable[[ReceivedRequest], bool], seed: str
) -> Callable[[ReceivedRequest], int | None]:
    """Return a function that chooses after how many events a request crashes engines.

    The choice is the same each time that it is made for a request.

    Parameters
    ----------
    form : CrashForm
        How engines crash.
    is_deadly : callable
        Returns whether a request has a part that crashes engines now.
    seed : str
        Seed of the choice.
    """

    def choose(req: ReceivedRequest) -> int | None:
        if not is_deadly(req):
            return None
        random_state = random.Random(f"{seed}/{req.request_id}")
        if random_state.random() < form.survival_rate:
            return None
        return random_state.randint(*form.crash_events)

    return choose


@contextlib.asynccontextmanager
async def run_hosts(hosts: list[EngineHost]):
    """Run the engines of machines; close them at the end."""
    try:
        for host in hosts:
            await host.start()
        yield
    finally:
        for host in hosts:
            await host.close()
