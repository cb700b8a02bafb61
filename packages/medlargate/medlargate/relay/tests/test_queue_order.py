"""Order in which a node's queue gives servers to requests, without network or clock."""

import asyncio
import random
import time
import unittest
from types import SimpleNamespace

from medlargate.platform import PromptPart, RequestInfo
from medlargate.policy import (
    ServerState,
    ServiceTimes,
    choose_fill_limits,
    make_request_digest,
)
from medlargate.relay._crash_guard import CrashGuard
from medlargate.relay._exchange import Exchange
from medlargate.relay._queue_order import QueueOrder
from medlargate.relay._request_queue import RequestQueue
from medlargate.relay._server_view import ServerView
from medlargate.routing import (
    CustomerSpec,
    EngineSpec,
    Registration,
    RequestType,
    RouteRule,
    ServiceShare,
    ServiceSpec,
)

SERVICE = ServiceSpec("work", 100, EngineSpec(n_slots=40, n_cache_tokens=100_000))
RULE = RouteRule(
    "r", "h", "/r/", RequestType.STREAM, (ServiceShare("work"),), 10.0, 2.0
)
TIMES = ServiceTimes(0.05, 1 / 40_000)


class _Loads:
    """Servers whose prefill backlog and running requests the test sets."""

    domain = "fd-a"

    def __init__(self, n_servers):
        self.backlogs = {f"e{number}": 0.0 for number in range(n_servers)}
        self.n_running = dict.fromkeys(self.backlogs, 1)
        self.view = ServerView()
        self.sent = []
        self.slow_engines = SimpleNamespace(names=frozenset())
        self.memory = SimpleNamespace(
            make_request=lambda exch, **_: None,
            release_reservation=lambda held: None,
            observe_send=lambda exch, server_id: None,
        )

    def is_replaced(self, server_id):
        return False

    def get_service_times(self, spec):
        return TIMES

    def get_refusal_time(self, server_id):
        return 0.0

    def get_view(self, server_id):
        return self.view

    def make_states(
        self, spec, servers, parts, n_tokens, request=None, *, may_probe=True
    ):
        ids = [it.server_id for it in servers]
        return [
            ServerState(
                it,
                "fd-a",
                self.n_running[it],
                40,
                backlog=self.backlogs[it],
                n_uncached=n_tokens,
            )
            for it in ids
        ]

    def observe_send(self, exchange_id, spec, state, parts, predicted):
        self.sent.append((exchange_id, state.name))
        self.n_running[state.name] += 1


class QueueCase(unittest.IsolatedAsyncioTestCase):
    def make_queue(self, n_servers=3):
        self.now = 100.0
        self.loads = _Loads(n_servers)
        servers = {
            name: Registration(name, "work", f"h:{name}", "h", 1, "fd-a", 40)
            for name in self.loads.backlogs
        }
        config = SimpleNamespace(customers={"k": 1}, services={"work": SERVICE})
        state = SimpleNamespace(
            servers=servers,
            leaving=set(),
            evacuated=frozenset(),
            servers_revision=1,
            route_table=SimpleNamespace(routing_config=config, priorities={}),
        )
        limits = SimpleNamespace(
            get_wait=lambda name: 0.0,
            get_rate=lambda name: float("inf"),
            observe_send=lambda name: None,
        )
        cold = SimpleNamespace(**vars(limits))
        self.order = QueueOrder(
            state,
            lambda: self.now,
            lambda: True,
            lambda promised, actual: None,
            random_state=random.Random(1),
        )
        self.crash_guard = CrashGuard(lambda: self.now)
        self.queue = RequestQueue(
            state,
            self.loads,
            limits,
            cold,
            self.crash_guard,
            lambda: self.now,
            lambda *args: None,
            lambda service: 0.0,
            order=self.order,
        )
        self.tasks = []
        self.addCleanup(lambda: [it.cancel() for it in self.tasks])

    async def send(self, customer="a", n_tokens=100, priority=None, target="/r/x"):
        """Send a request; return its id."""
        exch = Exchange(
            req=SimpleNamespace(body=b"", target=target),
            responder=None,
            facts=RequestInfo("id", "k", 9.0, n_tokens, parts=(PromptPart("p", 1),)),
            rule=RULE,
            service=SERVICE,
            customer=CustomerSpec(customer, priority),
            config_version=1,
            arrived_at=self.now,
            deadline=self.now + 9.0,
            write_record=lambda *args, **facts: None,
        )
        self.tasks.append(asyncio.create_task(self.queue.acquire(exch)))
        await asyncio.sleep(0)
        await self.settle()
        return exch.exchange_id

    async def settle(self):
        self.queue.observe_change()
        # Passes through the queue follow each other after a pause.
        while self.queue._scheduled:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0)


class LongPromptTest(QueueCase):
    """Load: short prompts of equal priority that keep all engines busy with prefill."""

    async def test_engine_is_reserved_for_a_long_prompt_that_has_waited(self):
        # Guards against short prompts that arrive later and use every engine before
        # its prefill is almost complete.
        self.make_queue()
        self.loads.backlogs.update(e0=0.5, e1=0.6, e2=0.6)
        long = await self.send(n_tokens=20_000)
        self.assertEqual(self.loads.sent, [])
        self.now += 0.41 * RULE.target
        await self.settle()
        for _ in range(20):
            await self.send(n_tokens=500)
        self.assertNotIn("e0", {server for _, server in self.loads.sent})
        self.assertEqual(len(self.loads.sent), 20)
        self.loads.backlogs["e0"] = 0.25
        await self.settle()
        self.assertEqual(self.loads.sent[-1], (long, "e0"))
        # The reservation ends with the wait.
        self.loads.backlogs.update(e1=0.8, e2=0.8)
        await self.send(n_tokens=500)
        self.assertEqual(self.loads.sent[-1][1], "e0")

    async def test_short_prompts_do_not_wait_behind_long_ones(self):
        self.make_queue()
        self.loads.backlogs.update(e0=0.5, e1=0.6, e2=0.6)
        for _ in range(6):
            await self.send(n_tokens=20_000)
        self.assertEqual(self.loads.sent, [])
        short = await self.send(n_tokens=500)
        self.assertEqual([it[0] for it in self.loads.sent], [short])
        # One that waits as well is tried when the engines change.
        self.loads.n_running = dict.fromkeys(self.loads.n_running, 40)
        waiting = await self.send(n_tokens=500)
        self.loads.n_running["e1"], self.loads.backlogs["e1"] = 1, 0.3
        await self.settle()
        self.assertEqual([it[0] for it in self.loads.sent], [short, waiting])


class SuspectedCrashTest(QueueCase):
    """Load: two requests that ran side by side on two engines that crashed."""

    async def test_requests_with_the_same_crashes_run_on_different_engines(self):
        # Guards against a sound request that is blocked with the one beside it.
        self.make_queue()
        self.loads.backlogs.update(e1=0.2, e2=0.2)
        for target in ("/r/bad", "/r/good"):
            digest = make_request_digest(RULE.name, "a", target, b"")
            self.crash_guard.requests.merge({digest: ["x/1", "y/1"]}, now=self.now)
        for target in ("/r/bad", "/r/good", "/r/new"):
            await self.send(target=target)
        bad, good, new = (server for _, server in self.loads.sent)
        self.assertEqual((bad, new), ("e0", "e0"))
        self.assertNotEqual(good, "e0")


class OvertakingTest(QueueCase):
    """Load: all slots are taken, and requests wait at the node."""

    async def asyncSetUp(self):
        self.make_queue(1)
        self.loads.n_running["e0"] = 40

    async def test_new_request_does_not_overtake_waiting_ones(self):
        # A slot becomes free, and a request arrives before the queue is processed.
        first = await self.send()
        self.loads.n_running["e0"] = 39
        second = await self.send()
        self.assertEqual([it[0] for it in self.loads.sent], [first])
        self.loads.n_running["e0"] = 39
        await self.settle()
        self.assertEqual([it[0] for it in self.loads.sent], [first, second])

    async def test_small_customer_precedes_waiting_requests_of_the_large_one(
        self,
    ):
        for _ in range(20):
            self.order._get("work").shares.observe_work("large", 100.0, self.now)
        for _ in range(10):
            await self.send("large")
        small = await self.send("small")
        # The customer below its share may use some more than the slots.
        self.assertEqual([it[0] for it in self.loads.sent], [small])

    async def test_urgent_request_is_sent_although_less_urgent_ones_fill_the_slots(
        self,
    ):
        # Other nodes refill each slot before this one learns that it is free.
        self.queue._cluster_state.route_table.priorities["work"] = (1, 2)
        await self.send(priority=2)
        urgent = await self.send(priority=1)
        self.assertEqual([it[0] for it in self.loads.sent], [urgent])

    async def test_share_of_a_customer_does_not_precede_urgency(self):
        self.queue._cluster_state.route_table.priorities["work"] = (1, 2)
        for _ in range(20):
            self.order._get("work").shares.observe_work("large", 100.0, self.now)
        # The server holds as many as a less urgent one of a small customer may find.
        limits = choose_fill_limits(2, (1, 2), over_share=False)
        self.loads.n_running["e0"] = limits.compute_slot_limit(40)
        await self.send("small", priority=2)
        urgent = await self.send("large", priority=1)
        self.assertEqual([it[0] for it in self.loads.sent], [urgent])

    async def test_pass_through_a_long_queue_takes_little_time(self):
        asyncio.get_running_loop().set_debug(False)
        self.make_queue(70)
        self.loads.n_running = dict.fromkeys(self.loads.n_running, 40)
        for _ in range(100):
            await self.send("large")
        started_at = time.process_time()
        for _ in range(10):
            self.queue._run_pass("work")
        per_request = (time.process_time() - started_at) / 10 / 100
        self.assertLess(per_request, 0.0003)


if __name__ == "__main__":
    unittest.main()


class LimitedServersTest(QueueCase):
    """Load: more requests than all servers together, which limit the rate, accept."""

    def set_limits(self, *, wait, rate):
        self.queue._limits.get_wait = lambda name: wait
        self.queue._limits.get_rate = lambda name: rate

    async def test_none_of_a_long_queue_waits_for_its_turn_to_be_refused(self):
        self.make_queue(2)
        self.loads.n_running.update(e0=40, e1=40)
        for _ in range(10):
            await self.send()
        self.assertEqual(self.queue.count_waiting(), {"work": 10})
        self.set_limits(wait=30.0, rate=1 / 30)
        await self.settle()
        self.assertEqual(self.queue.count_waiting(), {"work": 0})

    async def test_request_that_newer_ones_would_overtake_is_refused_on_arrival(self):
        self.make_queue(2)
        self.set_limits(wait=3.0, rate=0.3)
        for _ in range(8):
            await self.send()
            self.now += 0.25
        n_waiting = self.queue.count_waiting()["work"]
        await self.send()
        self.assertTrue(self.tasks[-1].done())
        self.assertEqual(self.queue.count_waiting()["work"], n_waiting)

    async def test_requests_that_the_limits_allow_wait(self):
        self.make_queue(2)
        self.set_limits(wait=1.0, rate=1.0)
        for _ in range(4):
            await self.send()
        self.assertEqual(self.queue.count_waiting(), {"work": 4})
