import asyncio
import unittest
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from medlargate_standins.fuzzing import make_fuzz_settings
from medlargate_standins.simulated_network import SimulatedNetwork
from returns.result import Failure, Success

from ...policy import Verdict
from .. import Claimed, ClaimRegistry, make_claim_key, make_stored_response

NODES = ("n1", "n2", "n3")
KEYS = ("k1", "k2", "k3")


class ClaimMachine(RuleBasedStateMachine):
    """Callers send and retry bookings at any node while nodes and the store fail."""

    def __init__(self):
        super().__init__()
        self.world = SimulatedNetwork()
        self.registries = {}
        self.executions = Counter()
        self.sent = Counter()
        self.outcomes = []
        self.incarnation = 0
        self.service_delay = 0.01
        self.refuse = False

    @initialize()
    def begin(self):
        for name in NODES:
            self.make_registry(name)

    def make_registry(self, name):
        self.incarnation += 1
        owner = f"{name}-{self.incarnation}"
        client = self.world.make_client(name)
        self.registries[name] = ClaimRegistry(client, owner, self.world.loop.time)

    async def call(self, name, key):
        """Handle a call with an Idempotency-Key as the gateway does."""
        registry, attempt = self.registries[name], object()
        result = await registry.claim(make_claim_key("c", "r", key), "body")
        if isinstance(result, Failure):
            self.outcomes.append((key, attempt, Verdict.NOT_RUN))
            return
        if not isinstance(result.unwrap(), Claimed):
            self.outcomes.append((key, attempt, result.unwrap().verdict))
            return
        claimed = result.unwrap()
        await self.world.wait_running(name)
        if self.refuse:
            await registry.release(claimed)
            self.outcomes.append((key, attempt, Verdict.NOT_RUN))
            return
        self.sent[attempt] += 1
        self.world.loop.call_later(self.service_delay, self.execute, key)
        await asyncio.sleep(self.service_delay + 0.01)
        await self.world.wait_running(name)
        await registry.store_response(claimed, make_stored_response(200, {}, b"booked"))
        self.outcomes.append((key, attempt, Verdict.RAN))

    def execute(self, key):
        self.executions[key] += 1

    @rule(name=st.sampled_from(NODES), key=st.sampled_from(KEYS))
    def send(self, name, key):
        self.world.start(name, self.call(name, key))

    @rule(key=st.sampled_from(KEYS))
    def send_to_all(self, key):
        for name in NODES:
            self.world.start(name, self.call(name, key))

    @rule(name=st.sampled_from(NODES))
    def kill(self, name):
        self.world.kill(name)
        self.make_registry(name)

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

    @rule(delay=st.sampled_from([0.001, 0.3]), refuse=st.booleans())
    def change_service(self, delay, refuse):
        self.service_delay, self.refuse = delay, refuse

    @rule(seconds=st.sampled_from([0.004, 0.015, 0.05, 0.4, 30.0]))
    def advance(self, seconds):
        self.world.run(seconds)

    @invariant()
    def no_call_runs_twice(self):
        assert all(n <= 1 for n in self.executions.values()), "a call ran twice"

    @invariant()
    def not_run_is_true(self):
        for _, attempt, verdict in self.outcomes:
            assert verdict is not Verdict.NOT_RUN or not self.sent[attempt]

    @invariant()
    def ran_is_true(self):
        for key, _, verdict in self.outcomes:
            assert verdict is not Verdict.RAN or self.executions[key] == 1

    def teardown(self):
        if self.registries:
            self.world.store_down = False
            self.world.losing_responses.clear()
            for name in NODES:
                self.world.resume(name)
            self.world.run(5.0)
            self.no_call_runs_twice()
            self.check_new_call()
        self.world.close()

    def check_new_call(self):
        """Check that a new call runs exactly once after all faults have ended."""
        self.refuse = False
        task = self.world.start("n1", self.call("n1", "fresh"))
        self.world.run(5.0)
        assert task.done()
        assert self.executions["fresh"] == 1


class ClaimFuzzTest(ClaimMachine.TestCase):
    settings = make_fuzz_settings(n_long=5_000, n_ci=150)


class ClaimGroupTest(unittest.TestCase):
    def test_a_group_is_one_transaction(self):
        world = SimulatedNetwork()
        client = world.make_client("n1")
        registry = ClaimRegistry(client, "n1", world.loop.time)

        async def run():
            claims = [
                registry.claim(make_claim_key("c", "r", str(i)), "b") for i in range(40)
            ]
            return await asyncio.gather(*claims)

        results = world.loop.run_coroutine(run())
        self.assertTrue(all(isinstance(result, Success) for result in results))
        self.assertEqual(client.n_calls["txn"], 1)
        world.close()


if __name__ == "__main__":
    unittest.main()
