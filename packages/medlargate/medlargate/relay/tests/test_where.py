"""The page /where and the command that asks it."""

import asyncio
import copy
import sys
import unittest
from collections import Counter

import orjson
from medlargate_standins.backend import Backend
from medlargate_standins.demo import HOST
from medlargate_standins.relay_testbed import RelayTestbed, read_reply

QUESTION = "route=resume-stream&customer=alpha&tokens=900,4"


class WhereCase(unittest.IsolatedAsyncioTestCase):
    n_nodes = 1

    async def asyncSetUp(self):
        self.world = RelayTestbed(settings={"spill": {"mode": "on"}})
        await self.world.start()
        await self.world.add_backend(Backend("e3", "engine", zone="fd-b", slots=8))
        self.node = self.world.nodes[0]
        async with asyncio.timeout(5):
            while "e3" not in self.node.cluster_state.servers:
                await asyncio.sleep(0.02)
        self.port = self.node.ingress.metrics_port

    async def asyncTearDown(self):
        await self.world.close()

    async def ask(self, query):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        head = f"GET /where?{query} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        writer.write(head.encode())
        reply = await read_reply(reader)
        writer.close()
        return reply.status, orjson.loads(reply.body)

    def fill_engines(self):
        loads = dict.fromkeys(("e1", "e2", "e3"), (8, 2.0))
        self.node.loads.observe_peer_loads("n9", loads)

    def get_state(self):
        """Return everything that decides about requests, for comparison."""
        queue, loads = self.node.request_queue, self.node.loads
        return copy.deepcopy(
            (
                self.node.random_state.getstate(),
                loads.views,
                loads.estimators,
                loads.links,
                loads._partitions,
                queue._queues,
                queue._short_prompt_engines,
                queue.spillover._services,
                queue.spillover._sent,
                queue.spillover._trips,
                queue._limits._buckets,
                queue._limits._shared_at,
                self.node.crash_guard.parts,
                self.node.usage.snapshot(self.node.incarnation, since=0),
                self.node.demand.__dict__,
            )
        )


class AnswerTest(WhereCase):
    async def test_requests_go_where_it_said(self):
        differences = []
        for number in range(100):
            _, answer = await self.ask(QUESTION)
            before = {
                k: len(v.received_requests) for k, v in self.world.backends.items()
            }
            await self.world.call("/resume-stream/x", Token_Usage="900,4")
            [sent] = [
                name
                for name, it in self.world.backends.items()
                if len(it.received_requests) > before[name]
            ]
            if answer["server"] != sent:
                differences.append((number, answer, sent))
        self.assertLessEqual(len(differences), 5, differences)

    async def test_no_state_changes_and_nothing_is_sent(self):
        await self.world.call("/resume-stream/x", Token_Usage="900,4")
        for prepare in (lambda: None, self.fill_engines):
            prepare()
            before = self.get_state()
            n_received = [
                len(it.received_requests) for it in self.world.backends.values()
            ]
            for query in (QUESTION, QUESTION + "&prefix=p1:800&session=s1"):
                status, _ = await self.ask(query)
                self.assertEqual(status, 200)
            self.assertEqual(str(self.get_state()), str(before))
            self.assertEqual(
                [len(it.received_requests) for it in self.world.backends.values()],
                n_received,
            )

    async def test_candidates_say_what_excluded_them(self):
        await self.world.call("/resume-stream/x", Token_Usage="900,4")
        _, answer = await self.ask(QUESTION)
        excluded = {row["server"]: row["excluded"] for row in answer["candidates"]}
        self.assertIn("failure domain", excluded["e3"])
        self.assertIsNone(excluded[answer["server"]])
        self.assertEqual(
            Counter(it["domain"] for it in answer["candidates"])["fd-b"], 1
        )

    async def test_full_engines_let_it_wait_or_refuse_it(self):
        self.fill_engines()
        _, answer = await self.ask(QUESTION)
        self.assertEqual(answer["decision"], "waits")
        self.assertGreater(answer["wait"], 1.0)
        loads = dict.fromkeys(("e1", "e2", "e3"), (8, 9.0))
        self.node.loads.observe_peer_loads("n9", loads)
        _, answer = await self.ask(QUESTION)
        self.assertEqual(answer["decision"], "refused")
        self.assertGreater(answer["retry_after"], 0.0)

    async def test_unknown_names_and_invalid_values_are_errors(self):
        for query, status, word in (
            ("route=nothing&customer=alpha", 404, "nothing"),
            ("route=read&customer=nobody", 404, "nobody"),
            ("route=read&customer=alpha&tokens=many", 400, "many"),
            ("route=read&customer=alpha&bytes=-1", 400, "-1"),
        ):
            got, answer = await self.ask(query)
            self.assertEqual(got, status)
            self.assertIn(word, answer["error"]["message"])


class CommandTest(WhereCase):
    async def run_command(self, *args):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "medlargate",
            "where",
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def test_output_and_exit_codes(self):
        node = ["--node", f"http://{HOST}:{self.port}"]
        known = ["--route", "resume-stream", "--customer", "alpha"]
        status, out, _ = await self.run_command(*node, *known)
        self.assertEqual(status, 0)
        self.assertIn("sent: e", out)
        self.assertIn("first_event", out)
        status, out, _ = await self.run_command(*node, *known, "--json")
        self.assertEqual(orjson.loads(out)["decision"], "sent")
        status, _, err = await self.run_command(*node, "--route", "nothing")
        self.assertEqual((status, "unknown route 'nothing'" in err), (1, True))
        status, _, err = await self.run_command("--node", f"http://{HOST}:9", *known)
        self.assertEqual((status, "not available" in err), (2, True))
