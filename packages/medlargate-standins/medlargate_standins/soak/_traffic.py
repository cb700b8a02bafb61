"""Callers that keep their connections, and the load balancer that chooses nodes."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from ..demo import HOST
from ..relay_testbed import Reply, make_request, read_reply
from ._fleet import Fleet, NodeProcess
from ._scenario import RequestKind, Scenario

PROBE_INTERVAL = 1.0  # seconds
MAX_FAILED_PROBES = 2  # in a row, after which a node gets no new connections
CONNECT_TIMEOUT = 1.0  # seconds
SEND_AT_ONCE_RATE = 0.7  # fraction of requests that follow an answer immediately
MAX_IDLE_TIME = 3.0  # seconds between two other requests of a caller
LEAVE_RATE = 0.03  # fraction of callers that leave before the answer
MAX_RETRY_AFTER = 1.0  # seconds
PROMISED_STATUSES = frozenset({408, 421, 429, 503})
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Request of a caller and how it ended.

    Attributes
    ----------
    request_id, kind, node : str
        Request id, name of the kind and of the node that got the request.
    sent_at, ended_at : float
        When the request was sent and when the call ended, in seconds on the monotonic
        clock.
    end : str
        ``"answered"`` for a complete answer; ``"closed"`` if the node closed the
        connection before; ``"time_limit"`` and ``"left"`` if the caller did;
        ``"unsent"`` if there was no connection.
    status, n_bytes : int
        Status and size of what was received; 0 without a status.
    n_before : int
        Requests answered on the connection before.
    time_limit : float
        Time that the caller gives the request, in seconds.
    """

    request_id: str
    kind: str
    node: str
    sent_at: float
    ended_at: float
    end: str
    status: int = 0
    n_bytes: int = 0
    n_before: int = 0
    time_limit: float = 0.0


class Balancer:
    """Load balancer that takes nodes out of rotation after failed probes.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose nodes are probed.
    random_state : random.Random
        Source of the choice among nodes.
    """

    def __init__(self, fleet: Fleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random_state = random_state
        self._n_failed: dict[str, int] = {}

    async def run(self) -> None:
        """Probe all nodes each second until cancelled."""
        while True:
            nodes = list(self._fleet.nodes)
            ready = await asyncio.gather(*(self._fleet.is_ready(it) for it in nodes))
            for node, is_ready in zip(nodes, ready, strict=True):
                n_failed = 0 if is_ready else self._n_failed.get(node.name, 0) + 1
                self._n_failed[node.name] = n_failed
            await asyncio.sleep(PROBE_INTERVAL)

    def choose_node(self, domain: str) -> NodeProcess:
        """Choose a node for a new connection from a failure domain."""
        nodes = self._fleet.nodes
        local = [it for it in nodes if it.domain == domain]
        for group in (local, nodes):
            in_rotation = [it for it in group if self._is_in_rotation(it)]
            if in_rotation and 2 * len(in_rotation) < len(group):
                in_rotation = group
            if in_rotation:
                return self._random_state.choice(in_rotation)
        return self._random_state.choice(nodes)

    def _is_in_rotation(self, node: NodeProcess) -> bool:
        return self._n_failed.get(node.name, 0) < MAX_FAILED_PROBES


@dataclass
class KeptConnection:
    """Connection to a node that carries one request after the other."""

    node: NodeProcess
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    n_answered: int = 0

    @property
    def is_closed(self) -> bool:
        """Whether the node has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()


class KeepingCaller:
    """Caller that sends its next request on the connection of the last one.

    Parameters
    ----------
    name : str
        Prefix of the request ids.
    domain : str
        Failure domain of the caller.
    fleet : Fleet
        Fleet whose key the caller uses.
    balancer : Balancer
        Chooses the node of a new connection.
    scenario : Scenario
        Kinds of requests.
    random_state : random.Random
        Source of kinds and pauses.

    Attributes
    ----------
    calls : list of CallRecord
        Ended calls.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        fleet: Fleet,
        balancer: Balancer,
        scenario: Scenario,
        random_state: random.Random,
    ) -> None:
        self._name = name
        self._domain = domain
        self._fleet = fleet
        self._balancer = balancer
        self._scenario = scenario
        self._random_state = random_state
        self._sequence = itertools.count(1)
        self._conn: KeptConnection | None = None
        self.calls: list[CallRecord] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._call_and_retry()
                if self._random_state.random() >= SEND_AT_ONCE_RATE:
                    await asyncio.sleep(self._random_state.uniform(0, MAX_IDLE_TIME))
        finally:
            self._close()

    async def _call_and_retry(self) -> None:
        kinds = self._scenario.kinds
        (kind,) = self._random_state.choices(kinds, [it.weight for it in kinds])
        end = time.monotonic() + kind.timeout
        reply = await self._call(kind, end)
        if reply is None or not _may_retry(kind, reply):
            return
        pause = float(reply.headers.get("retry-after", 0) or 0)
        if pause >= (end - time.monotonic()) / 3:
            return
        self._close()
        await asyncio.sleep(min(pause, MAX_RETRY_AFTER))
        await self._call(kind, end)

    async def _call(self, kind: RequestKind, end: float) -> Reply | None:
        """Send one request; return None if its caller left or ran out of time."""
        request_id = f"{self._name}c{next(self._sequence)}"
        conn = await self._connect()
        sent_at = time.monotonic()
        if conn is None:
            self._record(request_id, kind, "-", sent_at, "unsent")
            return Reply()
        time_limit = end - sent_at
        try:
            conn.writer.write(self._encode(kind, request_id, time_limit))
            leaves = self._random_state.random() < LEAVE_RATE
            timeout = time_limit * (self._random_state.random() if leaves else 1.0)
            async with asyncio.timeout(timeout):
                reply = await read_reply(conn.reader)
        except TimeoutError:
            outcome, reply = "left" if leaves else "time_limit", None
        except OSError:
            outcome, reply = "closed", Reply()
        else:
            outcome = "answered" if reply.complete else "closed"
        self._record(
            request_id,
            kind,
            conn.node.name,
            sent_at,
            outcome,
            status=reply.status if reply else 0,
            n_bytes=len(reply.body) if reply else 0,
            n_before=conn.n_answered,
            time_limit=time_limit,
        )
        conn.n_answered += 1
        is_complete = reply is not None and reply.complete
        if not is_complete or reply.headers.get("connection") == "close":
            self._close()
        return reply

    def _record(
        self,
        request_id: str,
        kind: RequestKind,
        node: str,
        sent_at: float,
        outcome: str,
        **facts: float,
    ) -> None:
        now = time.monotonic()
        self.calls.append(
            CallRecord(request_id, kind.name, node, sent_at, now, outcome, **facts)
        )

    def _encode(self, kind: RequestKind, request_id: str, time_limit: float) -> bytes:
        headers = {"Deadline_Ms": str(max(1, round(time_limit * 1000)))}
        if kind.streams:
            n_prompt, n_output = kind.n_tokens
            n_shared = n_prompt // 2
            topic = f"{kind.name}{self._random_state.randrange(8):x}"
            headers |= {
                "Model": "m",
                "Token_Usage": f"{n_prompt},{n_output}",
                "Prompt_Prefix": f"{topic}:{n_shared},{request_id}:{n_shared}",
            }
        path = f"/{kind.name}/{'stream' if kind.streams else 'x'}"
        method = "GET" if kind.route["Type"] == "idempotent" else "POST"
        body = b"" if method == "GET" else request_id.encode()
        key = self._fleet.keys[0]
        return make_request(method, path, request_id, body, Key=key, **headers)

    async def _connect(self) -> KeptConnection | None:
        if self._conn is not None and self._conn.is_closed:
            self._close()
        if self._conn is None:
            node = self._balancer.choose_node(self._domain)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    streams = await asyncio.open_connection(HOST, node.port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                return None
            self._conn = KeptConnection(node, *streams)
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.writer.transport.abort()
            self._conn = None


def _may_retry(kind: RequestKind, reply: Reply) -> bool:
    if reply.complete and (reply.status < 300 or reply.status in FINAL_STATUSES):
        return False
    if kind.route["Type"] == "idempotent":
        return True
    return reply.complete and reply.status in PROMISED_STATUSES
