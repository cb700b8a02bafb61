"""Customers that share too little capacity, with real nodes and servers."""

import asyncio
import random
import time
import unittest
from collections import Counter

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed, make_route

N_SERVERS, N_SLOTS = 9, 3
SERVICE_TIME = 0.8  # seconds
CAPACITY = N_SERVERS * N_SLOTS / SERVICE_TIME  # requests a second
TARGET = 1.5  # seconds
CUSTOMERS = ("large", "small1", "small2", "small3")
TENANTS = [{"Name": it, "ApiKeys": [f"key-{it}"]} for it in CUSTOMERS]


class _Load:
    """Callers of several customers at random nodes, and what they received."""

    def __init__(self, world, path, seed=1):
        self.world, self.path = world, path
        self.random_state = random.Random(seed)
        self.n_calls, self.n_served = Counter(), Counter()
        self.elapsed = {}
        self.refusals = []
        self.tasks = []

    async def call(self, customer, *, n_retries, obeys, name="", **headers):
        name = name or customer
        body = f"{customer}-{self.random_state.random()}".encode()
        self.n_calls[name] += 1
        deadline = time.monotonic() + 2.8
        for _ in range(1 + n_retries):
            left = deadline - time.monotonic()
            if left < 0.05:
                return
            request_id = self.world.make_request_id()
            reply = await self.world.call(
                self.path,
                body=body,
                request_id=request_id,
                node=self.random_state.randrange(len(self.world.nodes)),
                Key=f"key-{customer}",
                Deadline_Ms=str(int(left * 1000)),
                **{"Token_Usage": "100,20", **headers},
            )
            if reply.status == 200 and reply.complete:
                self.n_served[name] += 1
                self.elapsed.setdefault(name, []).append(reply.elapsed)
                return
            self.refusals.append((request_id, reply))
            if obeys:
                pause = float(reply.headers.get("retry-after", 0.2))
                await asyncio.sleep(min(pause, left / 3))

    async def send(
        self, customer, rate, duration, *, n_retries=0, obeys=True, **options
    ):
        """Send requests of a customer at random times."""
        send_at = time.monotonic()
        end = send_at + duration
        while send_at < end:
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            call = self.call(customer, n_retries=n_retries, obeys=obeys, **options)
            self.tasks.append(asyncio.create_task(call))
            send_at += self.random_state.expovariate(rate)

    async def finish(self):
        await asyncio.gather(*self.tasks)

    def served(self, customer):
        return self.n_served[customer] / max(1, self.n_calls[customer])

    def describe(self):
        return {it: round(self.served(it), 3) for it in self.n_calls}


def make_work_service(kind, *, n_slots=N_SLOTS):
    service = {"Name": "work", "HealthPath": "/healthz", "MaxConns": 100}
    if kind == "streaming":
        service["Backend"] = {"Slots": n_slots, "KvCapacity": 100_000, "Stride": 1}
    return service


def make_work_route(kind):
    options = {"Resumable": True} if kind == "streaming" else {}
    return make_route("work", kind, "work", TtftGoalMs=int(1000 * TARGET), **options)


async def start_world(*, n_nodes, kind):
    world = RelayTestbed(n_nodes=n_nodes, domains=("fd-a", "fd-b"))
    await world.start(
        Routes=[make_work_route(kind)],
        Services=[make_work_service(kind)],
        Tenants=TENANTS,
    )
    for number in range(N_SERVERS):
        server = Backend(
            f"w{number}",
            "work",
            ("fd-a", "fd-b")[number % 2],
            N_SLOTS,
            max_waiting=2 * N_SLOTS,
        )
        if kind == "streaming":
            server.n_events, server.pause = 4, SERVICE_TIME / 4
        else:
            server.delay = SERVICE_TIME
        await world.add_backend(server)
    async with asyncio.timeout(10):
        while any(
            it.fleet.count_nodes() < n_nodes
            or len(it.cluster_state.servers) < len(world.backends)
            for it in world.nodes
        ):
            await asyncio.sleep(0.01)
    return world


def utilisation(world, duration):
    n_runs = sum(sum(it.runs.values()) for it in world.backends.values())
    return n_runs / (CAPACITY * duration)


class _SharesCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Debug mode, the default of this class, makes the event loop the bottleneck.
        asyncio.get_running_loop().set_debug(False)

    async def run_load(self, *sends, n_nodes=6, kind="idempotent", seed=1):
        world = await start_world(n_nodes=n_nodes, kind=kind)
        self.addAsyncCleanup(world.close)
        path = "/work/stream" if kind == "streaming" else "/work/x"
        load = _Load(world, path, seed)
        started_at = time.monotonic()
        await asyncio.gather(*(send(load) for send in sends))
        duration = time.monotonic() - started_at
        in_use = utilisation(world, duration)
        await load.finish()
        return load, in_use

    def sends_of_small(self, duration, **options):
        return [
            lambda load, name=name: load.send(name, CAPACITY / 20, duration, **options)
            for name in CUSTOMERS[1:]
        ]

    def assert_small_served(self, load, in_use):
        # Before the customers' shares were kept, the small ones got 0.30 to 0.44.
        for name in CUSTOMERS[1:]:
            self.assertGreaterEqual(load.served(name), 0.9, load.describe())
        self.assertGreaterEqual(in_use, 0.5)


class LargeCustomerTest(_SharesCase):
    """One customer sends twice what the servers bear, three a twentieth each."""

    async def check(self, kind):
        load, in_use = await self.run_load(
            lambda load: load.send("large", 2 * CAPACITY, 10.0),
            *self.sends_of_small(10.0),
            kind=kind,
        )
        self.assert_small_served(load, in_use)

    async def test_small_customers_of_a_plain_service_are_served(self):
        await self.check("idempotent")

    async def test_small_customers_of_engines_are_served(self):
        await self.check("streaming")

    async def test_rejections_tell_when_to_return_and_are_true(self):
        load, _ = await self.run_load(
            lambda load: load.send("large", 3 * CAPACITY, 6.0, n_retries=3)
        )
        # A 504 says nothing of whether the request has run.
        rejected = [it for it in load.refusals if it[1].status == 503]
        self.assertGreater(len(rejected), 20)
        run = set().union(*(it.runs for it in load.world.backends.values()))
        for request_id, reply in rejected:
            self.assertGreater(float(reply.headers["retry-after"]), 0.0)
            self.assertNotIn(request_id, run)


class ChangingCustomerTest(_SharesCase):
    """A customer turns large midway while another one stops; 12 nodes."""

    async def test_steady_customers_are_served_throughout(self):
        async def change(load):
            await load.send("small1", CAPACITY / 20, 5.0)
            await load.send("small1", 2 * CAPACITY, 5.0)

        load, in_use = await self.run_load(
            lambda load: load.send("large", 2 * CAPACITY, 5.0),
            change,
            *self.sends_of_small(10.0)[1:],
            n_nodes=12,
        )
        for name in CUSTOMERS[2:]:
            self.assertGreaterEqual(load.served(name), 0.9, load.describe())
        self.assertGreaterEqual(in_use, 0.5)


class ImpatientCallersTest(_SharesCase):
    """Callers of one customer ignore Retry-After and retry at once."""

    async def test_retries_at_once_gain_nothing(self):
        # Two customers of equal size, of which one obeys. Small ones lose nothing.
        rate = CAPACITY
        load, in_use = await self.run_load(
            lambda load: load.send("large", rate, 8.0, n_retries=20, obeys=False),
            lambda load: load.send("small1", rate, 8.0, n_retries=20, obeys=True),
            *self.sends_of_small(8.0)[1:],
        )
        for name in CUSTOMERS[2:]:
            self.assertGreaterEqual(load.served(name), 0.9, load.describe())
        self.assertLessEqual(load.served("large"), load.served("small1") + 0.1)
        self.assertGreaterEqual(in_use, 0.5)


class StarvationTest(_SharesCase):
    """Requests of one customer that belong to sessions of different size."""

    async def test_session_beside_a_larger_one_is_served_alike(self):
        def session(name):
            return {"Prompt_Prefix": f"sys:50,{name}:40,r:10", "name": name}

        load, in_use = await self.run_load(
            lambda load: load.send("large", 1.4 * CAPACITY, 9.0, **session("busy")),
            lambda load: load.send("large", 0.1 * CAPACITY, 9.0, **session("calm")),
            kind="streaming",
        )
        # Requests of a customer are served by arrival, whatever their session. The
        # margin is twice the deviation of the share of the calm session's 30 requests.
        self.assertGreaterEqual(load.served("calm"), load.served("busy") - 0.2)
        self.assertGreaterEqual(in_use, 0.5)


if __name__ == "__main__":
    unittest.main()
