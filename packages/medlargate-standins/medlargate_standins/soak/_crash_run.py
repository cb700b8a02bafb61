"""Run of one crash form against real nodes, and what callers and engines saw."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from .._backend_messages import ReceivedRequest
from ..demo import HOST
from ..relay_testbed import (
    Reply,
    make_config,
    make_request,
    make_route,
    send_request,
)
from ._crash_forms import CrashForm
from ._crashing_engines import EngineHost, make_crash_choice, run_hosts
from ._fleet import DOMAINS, Fleet, FleetPlan

N_ENGINES = 9
CALL_TIMEOUT = 12.0  # seconds
FIRST_PART, DEADLY_PART = "first", "deadly"
# From the fifth crash on, requests with a deadly part may reach engines for the time in
# which all nodes learn of it; then few of them may.
N_CRASHES_BEFORE_BLOCK = 5
CONTACT_TIME = 3.0  # seconds
MAX_LATE = 3
MAX_CRASHES = 8  # of one deadly part
MIN_WHOLE = 0.98  # of the sound requests after the time in which nodes learn
MIN_JUDGED = 30  # sound requests from which their fraction is taken
MAX_PROMPT_TOKENS, MAX_OUTPUT_TOKENS = 300, 200
RETRY_SLACK = 54  # repeats that the fleet may send beyond the ratio
REFUSAL_CODE = b"crashes_servers"


@dataclass(frozen=True)
class Call:
    """Request of a caller and its answer.

    Attributes
    ----------
    sent_at : float
        Time of the request, in seconds on the monotonic clock.
    is_deadly : bool
        Whether it has a part that crashes engines.
    reply : Reply
        What the caller received.
    """

    sent_at: float
    is_deadly: bool
    reply: Reply

    @property
    def is_whole(self) -> bool:
        """Whether the caller got a complete successful answer."""
        return self.reply.complete and self.reply.status == 200

    @property
    def is_blamed(self) -> bool:
        """Whether the request was refused as one that crashes engines."""
        return REFUSAL_CODE in self.reply.body


@dataclass
class CrashReport:
    """What a run showed.

    Attributes
    ----------
    n_crashes : int
        Number of crashed engines, without those that a lost domain took along.
    n_late : int
        Requests with a deadly part that reached engines later than ``CONTACT_TIME``
        after the fifth crash under their part.
    whole : float
        Fraction of the sound requests after that time that were answered whole.
    n_blamed : int
        Sound requests that were refused as if they crashed engines.
    n_sound : int
        Number of sound requests.
    violations : list of str
        Description of each exceeded bound.
    """

    n_crashes: int
    n_late: int
    whole: float
    n_blamed: int
    n_sound: int
    violations: list[str] = field(default_factory=list)


@dataclass
class _Load:
    """Callers that send requests to random nodes."""

    fleet: Fleet
    form: CrashForm
    random_state: random.Random
    calls: list[Call] = field(default_factory=list)
    deadly_from: float = float("inf")
    _numbers: itertools.count = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def is_deadly(self, req: ReceivedRequest) -> bool:
        """Return whether a request crashes engines now."""
        parts = req.headers.get("prompt-prefix", "")
        return DEADLY_PART in parts and time.monotonic() >= self.deadly_from

    async def run(self, seconds: float) -> None:
        """Send both kinds of requests for some time, then wait for the answers."""
        form = self.form
        rates = ((form.sound_per_second, False), (form.deadly_per_second, True))
        jobs = [self._send(rate, seconds, kind) for rate, kind in rates if rate]
        await asyncio.gather(*jobs)
        await asyncio.gather(*self._tasks)

    async def _send(self, rate: float, seconds: float, is_deadly: bool) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random_state.expovariate(rate))
            if is_deadly and time.monotonic() < self.deadly_from - (
                self.form.sound_seconds
            ):
                continue
            task = asyncio.create_task(self._call(is_deadly))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, is_deadly: bool) -> None:
        number = next(self._numbers)
        sent_at = time.monotonic()
        node = self.random_state.choice(self.fleet.nodes)
        request = self._make_request(number, node.name, is_deadly)
        reply = Reply()
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                reply = await send_request(HOST, node.port, request)
        except (OSError, TimeoutError):
            pass
        self.calls.append(Call(sent_at, is_deadly, reply))

    def _make_request(self, number: int, node: str, is_deadly: bool) -> bytes:
        group = f"group{self.random_state.randrange(self.form.n_groups)}"
        deadly = f"{DEADLY_PART}{self.random_state.randrange(self.form.n_deadly)}"
        parts = [FIRST_PART, *([deadly] if is_deadly else [group])]
        if not (is_deadly and self.form.is_last_part):
            parts.append(f"own{number}")
        return make_request(
            "POST",
            "/resume-stream/x",
            f"{node}c{number}",
            b"%d" % number,
            Deadline_Ms=str(round(CALL_TIMEOUT * 1000)),
            Token_Usage=f"{MAX_PROMPT_TOKENS},{MAX_OUTPUT_TOKENS}",
            Prompt_Prefix=",".join(f"{part}:100" for part in parts),
        )


def _make_config(version: int, **overrides) -> dict:
    route = make_route(
        "resume-stream",
        "streaming",
        "engine",
        Resumable=True,
        Sticky=True,
        TimeoutMs=round(CALL_TIMEOUT * 1000),
    )
    return make_config(version, **{"Routes": [route], **overrides})


async def run_crash_form(
    form: CrashForm,
    seed: int,
    *,
    seconds: float = 12.0,
    warm_up: float = 3.0,
    n_nodes: int = 6,
    folder: Path | None = None,
    node_path: str = "",
) -> CrashReport:
    """Send sound and deadly requests to real nodes.

    Parameters
    ----------
    form : CrashForm
        How engines crash.
    seed : int
        Seed of the requests.
    seconds : float, default=12.0
        Time for which deadly requests come.
    warm_up : float, default=3.0
        Time for which only sound requests come before, in seconds.
    n_nodes : int, default=6
        Number of node processes.
    folder : Path or None
        Folder for the settings and logs of the nodes; a temporary one by default.
    node_path : str
        Folder with the packages that the nodes run; empty for the installed ones.

    Returns
    -------
    CrashReport
        What the run showed, with the exceeded bounds.
    """
    plan = FleetPlan(
        make_config=_make_config,
        servers=(),
        node_path=node_path,
        ingress={"retry_slack": RETRY_SLACK, "duties": ""},
    )
    fleet = Fleet(n_nodes, random.Random(f"{seed}/fleet"), plan)
    load = _Load(fleet, form, random.Random(seed))
    choose = make_crash_choice(form, load.is_deadly, str(seed))
    hosts = [
        EngineHost(f"e{number}", DOMAINS[number % 3], form, fleet.platform, choose)
        for number in range(N_ENGINES)
    ]
    async with run_hosts(hosts):
        await fleet.start(folder)
        try:
            load.deadly_from = time.monotonic() + warm_up + form.sound_seconds
            losses = asyncio.create_task(_lose_domains(form, hosts, load.deadly_from))
            await load.run(warm_up + form.sound_seconds + seconds)
            lost_at = await losses
        finally:
            await fleet.close()
    return _make_report(form, hosts, load, lost_at)


async def _lose_domains(
    form: CrashForm, hosts: list[EngineHost], since: float
) -> list[float]:
    """Crash all engines of one domain after the other; return all their crash times."""
    lost_at: list[float] = []
    for number, delay in enumerate(form.domain_losses):
        await asyncio.sleep(max(0.0, since + delay - time.monotonic()))
        for host in hosts:
            if host.zone == DOMAINS[number % 3]:
                n_before = len(host.crashes)
                host.crash()
                lost_at += host.crashes[n_before:]
    return lost_at


def _make_report(
    form: CrashForm, hosts: list[EngineHost], load: _Load, lost_at: list[float]
) -> CrashReport:
    losses = set(lost_at)
    crashes = sorted(at for it in hosts for at in it.crashes if at not in losses)
    all_crashes = crashes + lost_at
    n_before = N_CRASHES_BEFORE_BLOCK * form.n_deadly
    if len(crashes) >= n_before:
        due_at = crashes[n_before - 1] + CONTACT_TIME
        n_late = sum(
            at > due_at and DEADLY_PART in req.headers.get("prompt-prefix", "")
            for host in hosts
            for at, req in host.arrivals
        )
    else:
        due_at = max(all_crashes, default=load.deadly_from) + CONTACT_TIME
        n_late = 0
    sound = [it for it in load.calls if not it.is_deadly]
    after = [it for it in sound if it.sent_at > due_at]
    if len(after) < MIN_JUDGED:
        # The fifth crash came late or never.
        first_at = min(all_crashes, default=load.deadly_from)
        after = [it for it in sound if it.sent_at > first_at + CONTACT_TIME]
    report = CrashReport(
        n_crashes=len(crashes),
        n_late=n_late,
        whole=sum(it.is_whole for it in after) / max(1, len(after)),
        n_blamed=sum(it.is_blamed for it in sound),
        n_sound=len(sound),
    )
    for exceeded, text in (
        (n_late > MAX_LATE, f"{n_late} late requests with a deadly part"),
        (
            report.n_crashes > MAX_CRASHES * form.n_deadly,
            f"{report.n_crashes} crashed engines",
        ),
        (
            # Streams on a lost domain end with it, whatever their parts.
            bool(form.deadly_per_second) and report.whole < MIN_WHOLE,
            f"{report.whole:.3f} of the sound requests whole",
        ),
        (report.n_blamed > 0, f"{report.n_blamed} sound requests blamed"),
    ):
        if exceeded:
            report.violations.append(text)
    return report
