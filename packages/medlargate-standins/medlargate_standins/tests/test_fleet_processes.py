import asyncio
import json
import random
import signal
import threading
import unittest
import urllib.request

import aiohttp

from ..cluster import CALLER_SECRET, Cluster
from ..engine import generate_tokens

N_CALLERS = 200
N_REQUESTS = 2_000


class Caller:
    """Client behind a load balancer that sends requests to ready nodes only."""

    def __init__(self, cluster, session, ready, seed):
        self.cluster, self.session, self.ready = cluster, session, ready
        self.random = random.Random(seed)
        self.errors = []
        self.bookings = []

    def choose_node(self):
        return self.random.choice(
            [node for node in self.cluster.nodes if node.name in self.ready]
        )

    async def call(self, number):
        kind = number % 4
        try:
            if kind == 0:
                await self.request_stream(number)
            elif kind == 1:
                await self.request_full_response(number)
            elif kind == 2:
                await self.request_plain("lookup", "GET", number)
            else:
                await self.request_plain("bookings", "POST", number)
        except Exception as exc:
            self.errors.append((number, f"{type(exc).__name__}: {exc}"))

    def make_chat_body(self, number, n_tokens, stream):
        return {
            "model": "chat" if number % 8 < 4 else "summary",
            "messages": [{"role": "user", "content": f"question {number}"}],
            "max_tokens": n_tokens,
            "stream": stream,
        }

    async def request_full_response(self, number):
        n_tokens = 3 + number % 9
        url = self.choose_node().url + "/v1/chat/completions"
        body = self.make_chat_body(number, n_tokens, False)
        async with self.session.post(url, json=body) as resp:
            response = await resp.json()
        text = response["choices"][0]["message"]["content"]
        self.check(
            number, text, "".join(generate_tokens(f"question {number}", n_tokens))
        )

    async def request_stream(self, number):
        n_tokens = 3 + number % 30
        url = self.choose_node().url + "/v1/chat/completions"
        body = self.make_chat_body(number, n_tokens, True)
        text, done = "", False
        async with self.session.post(url, json=body) as resp:
            async for line in resp.content:
                if not line.startswith(b"data: "):
                    continue
                if line.startswith(b"data: [DONE]"):
                    done = True
                    continue
                choices = json.loads(line[6:])["choices"]
                text += choices[0]["delta"].get("content", "")
        expected = "".join(generate_tokens(f"question {number}", n_tokens))
        self.check(number, text if done else text + " (cut)", expected)

    async def request_plain(self, route, method, number):
        url = f"{self.choose_node().url}/routes/{route}/x"
        call = f"{route}-{number}"
        options = {"json": {"call": call}} if method == "POST" else {}
        if method == "GET":
            url += f"?call={call}"
        else:
            self.bookings.append(call)
        async with self.session.request(method, url, **options) as resp:
            response = await resp.json()
        self.check(number, response["call"], call)

    def check(self, number, actual, expected):
        if actual != expected:
            self.errors.append((number, f"{actual!r} instead of {expected!r}"))


class FleetProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        await self.cluster.start()

    def poll_readiness(self, ready, stop_event):
        """Poll the readiness of all nodes, as the platform's load balancer does.

        The polling needs its own thread: in the callers' event loop it was delayed by
        all callers' requests.
        """
        while not stop_event.wait(0.1):
            for node in self.cluster.nodes:
                try:
                    with urllib.request.urlopen(
                        node.url + "/readyz", timeout=1
                    ) as resp:
                        is_ready = resp.status == 200
                except OSError:
                    is_ready = False
                (ready.add if is_ready else ready.discard)(node.name)

    async def test_responses_are_complete_while_a_node_stops(self):
        headers = {"Authorization": f"Bearer {CALLER_SECRET}"}
        ready = {node.name for node in self.cluster.nodes}
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(
            headers=headers, connector=connector
        ) as session:
            stop_event = threading.Event()
            watcher = asyncio.create_task(
                asyncio.to_thread(self.poll_readiness, ready, stop_event)
            )
            callers = [
                Caller(self.cluster, session, ready, seed) for seed in range(N_CALLERS)
            ]
            stopped = self.cluster.nodes[2]
            runs = [
                asyncio.create_task(self.run_caller(caller, index))
                for index, caller in enumerate(callers)
            ]
            await asyncio.sleep(0.5)
            stopped.send_signal(signal.SIGTERM)
            await asyncio.gather(*runs)
            stop_event.set()
            await watcher
        errors = [error for caller in callers for error in caller.errors]
        self.assertEqual(errors, [])
        self.assertEqual(await asyncio.to_thread(stopped.popen.wait, 30), 0)
        await self.check_executions(callers)

    async def run_caller(self, caller, index):
        for number in range(index, N_REQUESTS, N_CALLERS):
            await caller.call(number)

    async def check_executions(self, callers):
        executions, credentials = {}, []
        for service in self.cluster.services:
            stats = await self.cluster.read_stats(service)
            credentials += stats["credentials"]
            for call, count in stats["executions"].items():
                executions[call] = executions.get(call, 0) + count
        for engine in self.cluster.engines:
            credentials += (await self.cluster.read_stats(engine))["credentials"]
        bookings = [call for caller in callers for call in caller.bookings]
        self.assertEqual([executions.get(call) for call in bookings], [1] * 500)
        self.assertEqual(credentials, [])
