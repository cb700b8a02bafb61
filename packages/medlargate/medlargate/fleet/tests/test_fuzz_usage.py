import asyncio
import unittest

import orjson
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from medlargate_standins.fuzzing import make_fuzz_settings
from medlargate_standins.simulated_network import SimulatedNetwork
from returns.result import Failure, Success

from ...platform import PlatformCallError, PlatformResponse
from ...policy import Verdict
from .. import DutyLease, UsageLedger, UsageRow, WindowReporter
from .._windows import ACCOUNTED_PREFIX

NODES = ("n1", "n2", "n3")
WINDOW = 20.0
GRACE = 8.0
FLUSH = 2.0
CUSTOMERS = ("a", "b")


class Node:
    def __init__(self, machine, name, incarnation):
        world = machine.world
        self.machine, self.world, self.name = machine, world, name
        owner = f"{name}-{incarnation}"
        self.store = world.make_client(name)
        self.ledger = UsageLedger(owner, WINDOW, world.loop.time)
        self.lease = DutyLease(self.store, "usage", owner, world.loop.time)
        self.reporter = WindowReporter(
            self.store, self.lease, self.send, WINDOW, GRACE, world.loop.time
        )
        self.sleep = world.make_sleep(name)
        world.start(name, self.run_duty())
        world.start(name, self.run_flush())

    async def run_duty(self):
        while True:
            await self.world.wait_running(self.name)
            await self.lease.step()
            await self.reporter.step()
            await self.sleep(1.0)

    async def run_flush(self):
        while True:
            await self.sleep(FLUSH)
            await self.ledger.flush(self.store, self.ledger.unflushed_parts())

    async def send(self, window, body, guard):
        await asyncio.sleep(0.01)
        await self.world.wait_running(self.name)
        if not guard():
            return Failure(PlatformCallError(Verdict.NOT_RUN, "guard"))
        return self.machine.receive_report(window, body)


class UsageMachine(RuleBasedStateMachine):
    """Nodes count, copy and report usage while nodes, store and receiver fail."""

    def __init__(self):
        super().__init__()
        self.world = SimulatedNetwork()
        self.nodes = {}
        self.incarnation = 0
        self.reports = {}
        self.lose_reports = False
        self.counted = dict.fromkeys(CUSTOMERS, 0)
        self.maybe_lost = dict.fromkeys(CUSTOMERS, 0)

    @initialize()
    def begin(self):
        for name in NODES:
            self.nodes[name] = Node(self, name, 0)
        self.world.run(3.0)

    def receive_report(self, window, body):
        bodies = self.reports.setdefault(window, [])
        bodies.append(body)
        if self.lose_reports:
            return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, "answer lost"))
        return Success(PlatformResponse(200 if body == bodies[0] else 409, {}))

    # Steps

    @rule(
        name=st.sampled_from(NODES),
        customer=st.sampled_from(CUSTOMERS),
        tokens=st.integers(1, 50),
        copied=st.booleans(),
    )
    def use(self, name, customer, tokens, copied):
        ledger = self.nodes[name].ledger
        ledger.count_request(
            customer, "cls", UsageRow(requests=1, output_tokens=tokens)
        )
        self.counted[customer] += tokens
        if copied:
            self.copy(name)

    def copy(self, name):
        """Copy the unflushed counters to a second node, as the gateway does."""
        other = NODES[(NODES.index(name) + 1) % len(NODES)]
        ledger, copy_holder = self.nodes[name].ledger, self.nodes[other].ledger
        for part in ledger.unflushed_parts():
            kept = copy_holder.copies.get((part.window, part.node))
            base = kept.sequence if kept else 0
            delta = ledger.make_delta(part.window, base).model_copy(deep=True)
            assert copy_holder.store_copy(delta)

    @rule(name=st.sampled_from(NODES), copied=st.booleans())
    def kill(self, name, copied):
        """Kill a node; the node that holds its copies flushes them later."""
        if copied:
            self.copy(name)
        lost = dict.fromkeys(CUSTOMERS, 0)
        if not copied:
            for part in self.nodes[name].ledger.unflushed_parts():
                for key, row in part.rows.items():
                    lost[key.split("\t")[0]] += row.output_tokens
        for part in self.nodes[name].ledger.copies.values():
            # The copies that the killed node held are lost with it.
            for key, row in part.rows.items():
                lost[key.split("\t")[0]] += row.output_tokens
        for customer, tokens in lost.items():
            self.maybe_lost[customer] += tokens
        dead = self.nodes[name].ledger.node
        self.world.kill(name)
        self.incarnation += 1
        self.nodes[name] = Node(self, name, self.incarnation)
        for other in NODES:
            self.world.start(other, self.flush_copies(other, dead))

    async def flush_copies(self, name, dead):
        node = self.nodes[name]
        for _ in range(200):
            parts = [p for p in node.ledger.copies.values() if p.node == dead]
            done = await node.ledger.flush(node.store, parts)
            if isinstance(done, Success):
                return
            await node.sleep(1.0)

    @rule(name=st.sampled_from(NODES), stop=st.booleans())
    def pause(self, name, stop):
        (self.world.pause if stop else self.world.resume)(name)

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.store_down = down

    @rule(name=st.sampled_from(NODES), lose=st.booleans())
    def lose_answers(self, name, lose):
        (
            self.world.losing_responses.add
            if lose
            else self.world.losing_responses.discard
        )(name)

    @rule(lose=st.booleans())
    def lose_report_answers(self, lose):
        self.lose_reports = lose

    @rule(seconds=st.sampled_from([0.02, 0.5, 3.0, 10.0, 25.0]))
    def advance(self, seconds):
        self.world.run(seconds)

    # Checks

    @invariant()
    def reports_of_a_window_are_identical(self):
        for window, bodies in self.reports.items():
            assert len(set(bodies)) == 1, (
                f"window {window} was reported with different counts"
            )

    def teardown(self):
        if self.nodes:
            self.world.store_down = False
            self.world.losing_responses.clear()
            self.lose_reports = False
            for name in NODES:
                self.world.resume(name)
            self.world.run(30 * WINDOW)
            self.check_totals()
            self.check_gaps()
        self.world.close()

    def check_totals(self):
        totals = dict.fromkeys(CUSTOMERS, 0)
        for bodies in self.reports.values():
            body = orjson.loads(bodies[0])
            tables = [body["rows"], *body["corrections"].values()]
            for table in tables:
                for key, row in table.items():
                    totals[key.split("\t")[0]] += row["output_tokens"]
        for customer, total in totals.items():
            counted = self.counted[customer]
            assert total <= counted, f"{customer}: {total} of {counted} used"
            least = counted - self.maybe_lost[customer]
            assert total >= least, f"{customer}: {total}, at least {least} expected"

    def check_gaps(self):
        windows = sorted(int(name) for name in self.reports)
        if windows:
            present = int(self.world.loop.time() // WINDOW)
            expected = list(range(windows[0], windows[-1] + 1))
            assert windows == expected, "a window was never reported"
            assert windows[-1] >= present - 3
        assert self.world.store.read(ACCOUNTED_PREFIX, prefix=True).entries


class UsageFuzzTest(UsageMachine.TestCase):
    settings = make_fuzz_settings(n_long=5_000, n_ci=40)


if __name__ == "__main__":
    unittest.main()
