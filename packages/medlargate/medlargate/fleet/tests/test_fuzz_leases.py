import asyncio
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from medlargate_standins.fuzzing import make_fuzz_settings
from medlargate_standins.simulated_network import SimulatedNetwork
from returns.result import Failure, Success

from ...platform import PlatformCallError, PlatformResponse
from ...policy import Verdict
from .. import DutyLease, OrderDispatcher
from .._orders import PREFIX, Intent

NODES = ("n1", "n2", "n3")
LEASE = 6.0
ORDER_TIMEOUT = 2.0


class Node:
    def __init__(self, world, receiver, name, incarnation):
        self.world, self.name = world, name
        self.owner = f"{name}-{incarnation}"
        client = world.make_client(name)
        self.lease = DutyLease(
            client,
            "orders/fd-a",
            self.owner,
            world.loop.time,
            lease_timeout=LEASE,
            order_timeout=ORDER_TIMEOUT,
            checks_fence=receiver.checks_fence,
        )
        self.dispatcher = OrderDispatcher(
            client,
            self.lease,
            "fd-a",
            lambda order, guard: receiver.send(self, order, guard),
            receiver.read_completed,
            world.loop.time,
        )
        self.sleep = world.make_sleep(name)
        world.start(name, self.run())

    async def run(self):
        while True:
            await self.world.wait_running(self.name)
            await self.lease.step()
            await self.dispatcher.recover()
            await self.sleep(1.0)


class Receiver:
    """Receiver of orders that checks the fencing token if ``checks_fence`` is set."""

    def __init__(self, world):
        self.world = world
        self.checks_fence = True
        self.delay = 0.01
        self.lose = False
        self.fence = 0
        self.executed = []

    async def send(self, node, order, guard):
        await asyncio.sleep(0.01)
        await self.world.wait_running(node.name)
        if not guard():
            return Failure(PlatformCallError(Verdict.NOT_RUN, "guard"))
        # The order was written: it arrives whatever happens to the sender from now on.
        future = self.world.loop.create_future()
        self.world.loop.call_later(self.delay, self.arrive, order, future)
        lose = self.lose
        status = await asyncio.shield(future)
        await self.world.wait_running(node.name)
        if lose:
            return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, "answer lost"))
        return Success(PlatformResponse(status, {}))

    def arrive(self, order, future):
        status = 200
        if self.checks_fence and order.fence < self.fence:
            status = 409
        else:
            self.fence = max(self.fence, order.fence)
            self.executed.append(order)
        if not future.done():
            future.set_result(status)

    async def read_completed(self, domain):
        await asyncio.sleep(0.01)
        return Success(list(self.executed))


class LeaseMachine(RuleBasedStateMachine):
    """Nodes compete for a duty and send orders while nodes and the store fail."""

    def __init__(self):
        super().__init__()
        self.world = SimulatedNetwork()
        self.receiver = Receiver(self.world)
        self.n_orders = 0
        self.incarnation = 0
        self.nodes = {}

    @initialize(checks_fence=st.booleans())
    def begin(self, checks_fence):
        self.receiver.checks_fence = checks_fence
        for name in NODES:
            self.nodes[name] = Node(self.world, self.receiver, name, 0)
        self.world.run(5.0)

    def teardown(self):
        if self.nodes:
            self.heal()
            self.world.run(3 * LEASE)
            assert sum(n.lease.is_holder() for n in self.nodes.values()) == 1
            self.check_intents()
        self.world.close()

    def heal(self):
        self.world.store_down = False
        self.world.losing_responses.clear()
        self.world.cut_from_store.clear()
        for name in NODES:
            self.world.resume(name)

    def check_intents(self):
        executed = {order.order_id for order in self.receiver.executed}
        for entry in self.world.store.read(PREFIX, prefix=True).entries:
            intent = Intent.model_validate_json(entry.value)
            if intent.state == "cancelled":
                assert intent.order.order_id not in executed, (
                    "order cancelled although it was executed"
                )

    @rule(name=st.sampled_from(NODES), n=st.integers(1, 3))
    def order(self, name, n):
        for _ in range(n):
            self.n_orders += 1
            node = self.nodes[name]
            self.world.start(name, node.dispatcher.place("start", f"s{self.n_orders}"))

    @rule()
    def order_by_holder(self):
        for name, node in self.nodes.items():
            if node.lease.states.state != "follower":
                self.order(name, 1)

    @rule(name=st.sampled_from(NODES))
    def pause(self, name):
        self.world.pause(name)

    @rule()
    def pause_holder(self):
        for name, node in self.nodes.items():
            if node.lease.is_holder():
                self.order(name, 1)
                self.world.run(0.02)
                self.world.pause(name)

    @rule(seconds=st.sampled_from([0.02, 0.05, 0.7]))
    def stop_holder_after_an_order(self, seconds):
        """Release the duty in a planned stop while its last order is in flight."""
        for name, node in list(self.nodes.items()):
            if node.lease.is_holder():
                self.order(name, 1)
                self.world.run(seconds)
                self.replace(name)
                self.world.start(name, node.lease.release())
                return

    @rule(name=st.sampled_from(NODES))
    def resume(self, name):
        self.world.resume(name)

    @rule(name=st.sampled_from(NODES))
    def replace(self, name):
        self.world.kill(name)
        self.incarnation += 1
        node = Node(self.world, self.receiver, name, self.incarnation)
        self.nodes[name] = node

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.store_down = down

    @rule(name=st.sampled_from(NODES), cut=st.booleans())
    def cut(self, name, cut):
        if cut:
            self.world.cut_from_store.add(name)
        else:
            self.world.cut_from_store.discard(name)

    @rule(name=st.sampled_from(NODES), lose=st.booleans())
    def lose_answers(self, name, lose):
        if lose:
            self.world.losing_responses.add(name)
        else:
            self.world.losing_responses.discard(name)

    @rule(delay=st.sampled_from([0.01, 1.0, ORDER_TIMEOUT]), lose=st.booleans())
    def slow_orders(self, delay, lose):
        self.receiver.delay = delay
        self.receiver.lose = lose

    @precondition(lambda self: self.nodes)
    @rule(seconds=st.sampled_from([0.005, 0.05, 0.7, 2.0, 4.0, 9.0]))
    def advance(self, seconds):
        self.world.run(seconds)

    @invariant()
    def one_holder_at_most(self):
        holders = [n.owner for n in self.nodes.values() if n.lease.is_holder()]
        assert len(holders) <= 1, f"two holders at once: {holders}"

    @invariant()
    def fencing_tokens_never_decrease(self):
        fences = [order.fence for order in self.receiver.executed]
        assert fences == sorted(fences), "an order of an earlier holder was executed"

    @invariant()
    def no_order_is_executed_twice(self):
        ids = [order.order_id for order in self.receiver.executed]
        assert len(ids) == len(set(ids))


class LeaseFuzzTest(LeaseMachine.TestCase):
    settings = make_fuzz_settings(n_long=5_000, n_ci=200)


if __name__ == "__main__":
    unittest.main()
