"""Replay of a service's load in several failure domains, with stale views."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from .._domain_spill import (
    ClassLoad,
    DomainLoad,
    LinkTimes,
    SpillOptions,
    SpillPlan,
    choose_destination,
    decide_spill,
    select_candidates,
)
from .._placement import ServerState, ServiceTimes, decide_placement
from .._waiting import accepts_any_server, has_capacity

TIMES = ServiceTimes(base=0.05, prefill_per_token=1 / 40_000, per_running_request=0.002)
STEP = 0.01
OPTIONS = SpillOptions("on", max_share=0.8, min_gain=0.05)
NEVER = float("-inf")


@dataclass
class Node:
    name: str
    domain: str
    running: Counter = field(default_factory=Counter)
    known: Counter = field(default_factory=Counter)  # of all nodes, as told
    queue: list = field(default_factory=list)
    peers: dict = field(default_factory=dict)  # reports by peer or domain
    plan: SpillPlan = field(default_factory=SpillPlan)
    links: LinkTimes | None = None
    planned_at: float = 0.0


@dataclass
class Replay:
    """Nodes, servers and callers; ``run`` fills the results below."""

    spills: bool
    rate: Callable[[str, float], float]  # requests a second, by domain and time
    domains: str = "abc"
    n_servers: int = 4
    n_slots: int = 16
    n_nodes: int = 2  # for each domain
    hold: float = 1.0
    n_bytes: int = 4_500
    target: float = 1.0
    delays: dict[str, float] = field(default_factory=dict)
    # Returns whether statuses of a domain arrive in other domains.
    is_heard: Callable[[str, float], bool] = lambda domain, now: True
    options: SpillOptions = OPTIONS
    excluded: frozenset[str] = frozenset()
    reports_surplus: bool = True
    seed: int = 1
    late: Counter = field(default_factory=Counter)  # requests, by domain of callers
    waited: Counter = field(default_factory=Counter)  # at least 50 ms at their node
    count: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)  # by domains of caller and server
    sent_at: list = field(default_factory=list)
    shares: list = field(default_factory=list)

    def run(self, seconds: float) -> Replay:
        self.random = Random(self.seed)
        # Arrivals are the same for both policies.
        arrivals = Random(self.seed)
        self.servers = [f"{d}{n}" for d in self.domains for n in range(self.n_servers)]
        self.busy: Counter = Counter()
        self.waiting: dict = {name: deque() for name in self.servers}
        self.nodes = [
            Node(f"{d}-{n}", d, links=LinkTimes(d))
            for d in self.domains
            for n in range(self.n_nodes)
        ]
        self.events: list = []
        self.now = 0.0
        n_steps = round(seconds / STEP)
        for step in range(n_steps):
            self.now = step * STEP
            self._deliver()
            if step % 25 == 0:
                self._exchange_in_domain()
            if step % 30 == 0:
                self._exchange_domains()
            if step % 5 == 0:
                for node in self.nodes:
                    self._update_known(node)
            for node in self.nodes:
                rate = self.rate(node.domain, self.now) / self.n_nodes
                if arrivals.random() < rate * STEP:
                    node.queue.append((self.now, self.random.random()))
                    self._process(node)
                elif step % 5 == 0:
                    self._process(node)
        return self

    def late_share(self, domains: str) -> float:
        return sum(self.late[d] for d in domains) / sum(self.count[d] for d in domains)

    @property
    def n_sent_bytes(self) -> int:
        return self.n_bytes * sum(n for (a, b), n in self.sent.items() if a != b)

    def _deliver(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            _, _, node, server = heapq.heappop(self.events)
            node.running[server] -= 1
            node.known[server] -= 1
            if self.waiting[server]:
                self._start(server, *self.waiting[server].popleft())
            else:
                self.busy[server] -= 1

    def _start(self, server, node, arrived_at, sent_at, predicted, unqueued) -> None:
        delay = self.delays.get(server[0], 0.0) if server[0] != node.domain else 0.0
        first = TIMES.base + self.busy[server] * TIMES.per_running_request + delay
        self.count[node.domain] += 1
        self.late[node.domain] += self.now + first - arrived_at > self.target
        if unqueued:
            error = self.now + first - sent_at - predicted
            node.links.observe_answer(server[0], error, self.now)
        end = self.now + self.random.uniform(0.5, 1.5) * self.hold + delay
        heapq.heappush(self.events, (end, self.random.random(), node, server))

    def _exchange_in_domain(self) -> None:
        for node in self.nodes:
            report = (self.now, Counter(node.running), len(node.queue), 0.0)
            for peer in self.nodes:
                if peer.domain == node.domain and peer is not node:
                    peer.peers[node.name] = report

    def _exchange_domains(self) -> None:
        for sender in self.nodes[:: self.n_nodes]:
            loads, n_waiting = Counter(sender.running), len(sender.queue)
            for name, report in sender.peers.items():
                if name.startswith(f"{sender.domain}-"):
                    loads += report[1]
                    n_waiting += report[2]
            surplus = sender.plan.surplus if self.reports_surplus else None
            for node in self.nodes:
                if node.domain != sender.domain and self.is_heard(
                    sender.domain, self.now
                ):
                    report = (self.now, loads, n_waiting, surplus)
                    node.peers[sender.domain] = report

    def _update_known(self, node: Node) -> None:
        node.known = Counter(node.running)
        for at, loads, _, _ in node.peers.values():
            if self.now - at < 1.5:
                node.known.update(loads)

    def _make_states(self, node: Node) -> list[ServerState]:
        return [
            ServerState(it, it[0], node.known[it], self.n_slots) for it in self.servers
        ]

    def _plan(self, node: Node) -> None:
        elapsed = self.now - node.planned_at
        if elapsed < 0.25:
            return
        node.planned_at = self.now
        own = Counter(node.running)
        n_waiting = len(node.queue)
        for name, report in node.peers.items():
            if "-" in name:
                own += report[1]
                n_waiting += report[2]
        rows = {}
        for domain in self.domains:
            names = [it for it in self.servers if it[0] == domain]
            used = {node.domain: sum(own[it] for it in names)}
            at, _, waiting, surplus = node.peers.get(domain, (NEVER, {}, 0, None))
            for other, report in node.peers.items():
                if "-" not in other and self.now - report[0] < 1.5:
                    used[other] = sum(report[1][it] for it in names)
            rows[domain] = DomainLoad(
                domain,
                len(names) * self.n_slots,
                used,
                n_waiting if domain == node.domain else waiting,
                surplus,
                0.0 if domain == node.domain else self.now - at,
                0.3,
                node.links.get_extra_delay(domain, self.now),
                0.0,
                TIMES.base,
            )
        work = sum(node.running.values()) + len(node.queue)
        node.plan = decide_spill(
            rows.pop(node.domain),
            list(rows.values()),
            [ClassLoad("chat", work, self.target, self.n_bytes)],
            node.plan,
            elapsed=elapsed,
            hold_time=self.hold,
            options=self.options,
            excluded=self.excluded,
        )
        if node.domain == "a" and node.name.endswith("0"):
            self.shares.append((self.now, node.plan.total_share))

    def _process(self, node: Node) -> None:
        self._plan(node)
        for request in list(node.queue):
            arrived_at, draw = request
            states = self._make_states(node)
            any_server = accepts_any_server(
                waited=self.now - arrived_at, target=self.target
            )
            if self.spills:
                states = select_candidates(
                    states,
                    TIMES,
                    domain=node.domain,
                    destination=choose_destination(
                        node.plan.shares.get("chat", {}), draw
                    ),
                    plan=node.plan,
                    class_name="chat",
                    n_bytes=self.n_bytes,
                    min_gain=self.options.min_gain,
                    delays={},
                    accept_any=any_server,
                )
            if any_server:
                states = [it for it in states if has_capacity(it, is_engine=True)]
            placement = decide_placement(
                states,
                TIMES,
                domain=node.domain,
                n_bytes=self.n_bytes,
                jitter=0.06,
                random_state=self.random,
            )
            state = (
                next((it for it in states if it.name == placement.name), None)
                if (placement)
                else None
            )
            if state is None or not has_capacity(state, is_engine=True):
                if self.now - arrived_at > 2 * self.target:
                    node.queue.remove(request)
                    self.count[node.domain] += 1
                    self.late[node.domain] += 1
                    self.waited[node.domain] += 1
                continue
            node.queue.remove(request)
            node.running[state.name] += 1
            node.known[state.name] += 1
            self.waited[node.domain] += self.now - arrived_at >= 0.05
            self.sent[node.domain, state.domain] += 1
            if state.domain != node.domain:
                self.sent_at.append((self.now, node.domain, state.domain))
            row = (
                node,
                arrived_at,
                self.now,
                placement.predicted,
                state.n_running < state.n_slots,
            )
            if self.busy[state.name] < self.n_slots:
                self.busy[state.name] += 1
                self._start(state.name, *row)
            else:
                self.waiting[state.name].append(row)
