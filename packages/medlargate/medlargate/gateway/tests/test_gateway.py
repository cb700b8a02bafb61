import asyncio
import json
import time
import unittest

import aiohttp
from medlargate_standins.demo import (
    HOST,
    Servers,
    find_free_port,
    make_demo_seed,
    seed_platform,
)
from medlargate_standins.engine import (
    Engine,
    ServiceTimes,
    generate_tokens,
    make_engine_app,
)
from medlargate_standins.platform import Platform, make_platform_app
from medlargate_standins.service import Service, make_service_app

from ..._settings import Settings
from ...policy import Job, Shed
from .. import Node, make_app
from .._dispatcher import make_shed_refusal

SECRET, OPERATOR = "mlg-test", "mlg-test-operator"


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Runs one node, two engines, one plain service and a platform in this process."""

    times = ServiceTimes(first_token=0.01, token_interval=0.002)

    async def asyncSetUp(self):
        self.servers = Servers()
        self.platform = Platform()
        self.engines = [Engine(self.times), Engine(self.times)]
        self.service = Service()
        platform_port = await self.servers.start(make_platform_app(self.platform))
        engine_ports = [
            await self.servers.start(make_engine_app(engine)) for engine in self.engines
        ]
        service_port = await self.servers.start(make_service_app(self.service))
        seed = make_demo_seed(engine_ports, [service_port], SECRET, OPERATOR)
        await seed_platform(self.platform, seed)
        port = find_free_port()
        settings = {
            "node": {
                "name": "n1",
                "failure_domain": "fd-a",
                "address": HOST,
                "port": port,
            },
            "platform": {"address": HOST, "port": platform_port},
            "limits": {
                "max_body_bytes": 20_000,
                "max_header_bytes": 4_096,
                "body_timeout": 0.3,
            },
            "fleet": {
                "trust_timeout": 1.0,
                "usage_window": 1.0,
                "usage_flush_interval": 0.5,
            },
        }
        self.node = Node(Settings.model_validate(settings))
        await self.servers.start(make_app(self.node), port)
        await self.node.start()
        headers = {"Authorization": f"Bearer {SECRET}"}
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(
            f"http://{HOST}:{port}", headers=headers, connector=connector
        )
        self.port = port
        # The node is ready after its first configuration records, but trusts API keys
        # only when the store read that returned these records has finished.
        while not (self.node.ready and self.node.trusts_keys()):
            await asyncio.sleep(0.01)

    async def asyncTearDown(self):
        await self.session.close()
        await self.node.close()
        await self.servers.close()

    async def post(self, path, data=None, **options):
        async with self.session.post(path, data=data, **options) as resp:
            body = await resp.read()
            return resp.status, resp.headers, json.loads(body)

    async def chat(self, text="hi", **options):
        body = {
            "model": "demo-chat",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 5,
            **options,
        }
        return await self.post("/v1/chat/completions", json.dumps(body))

    async def read_stream(self, text="hi", n_tokens=20, on_chunk=None):
        body = {
            "model": "demo-chat",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": n_tokens,
            "stream": True,
        }
        received, raw = "", b""
        async with self.session.post("/v1/chat/completions", json=body) as resp:
            async for line in resp.content:
                raw += line
                if line.startswith(b"data: {"):
                    document = json.loads(line[6:])
                    if document.get("choices"):
                        received += document["choices"][0]["delta"].get("content", "")
                if on_chunk is not None:
                    await on_chunk(received)
        return received, raw

    async def run_statement(self, statement):
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        return await self.post(
            "/operator", json.dumps({"statement": statement}), headers=headers
        )

    def assert_refused(self, answer, status, code, run="not_run"):
        got_status, headers, body = answer
        self.assertEqual((got_status, body["error"]["code"]), (status, code))
        self.assertEqual(body["error"]["run"], run)
        self.assertEqual(headers["Medlargate-Run"], run)


class ShedResumptionTest(unittest.TestCase):
    def test_refusal_of_a_resumed_job_does_not_say_that_it_has_not_run(self):
        job = Job("r1", "alpha", "chat", "m", 0, 0.0, 1.0)
        for code in ("deadline", "queue_full", "no_backend", "stopping"):
            shed = Shed(job, code, 0.0, 0.0, 1.0)
            job.resumed = False
            refusal = make_shed_refusal(shed)
            self.assertIn(refusal.status, (429, 503))
            self.assertTrue(refusal.message.startswith("not run"))
            job.resumed = True
            refusal = make_shed_refusal(shed)
            self.assertEqual(refusal.status, 502)
            self.assertNotIn("not run", refusal.message)


class InvalidRequestTest(GatewayCase):
    async def test_malformed_json(self):
        answer = await self.post("/v1/chat/completions", b"{not json")
        self.assert_refused(answer, 400, "invalid_json")

    async def test_invalid_utf8(self):
        answer = await self.post("/v1/chat/completions", b'{"model": "\xff\xfe"}')
        self.assert_refused(answer, 400, "invalid_json")

    async def test_wrong_types(self):
        answer = await self.post(
            "/v1/chat/completions", b'{"model": 3, "messages": "x"}'
        )
        self.assert_refused(answer, 400, "invalid_request")
        self.assertIn("messages", answer[2]["error"]["message"])

    async def test_unknown_model(self):
        self.assert_refused(await self.chat(model="none"), 404, "unknown_route")

    async def test_plain_route_is_refused_as_model(self):
        self.assert_refused(await self.chat(model="bookings"), 404, "unknown_route")

    async def test_oversized_body(self):
        answer = await self.post("/v1/chat/completions", b"x" * 50_000)
        self.assert_refused(answer, 413, "body_too_large")

    async def test_oversized_headers(self):
        headers = {"X-Large": "x" * 5_000}
        answer = await self.post("/v1/chat/completions", b"{}", headers=headers)
        self.assert_refused(answer, 431, "headers_too_large")

    async def test_stalled_body(self):
        async def slow():
            yield b'{"model": '
            await asyncio.sleep(5)

        answer = await self.post("/v1/chat/completions", slow())
        self.assert_refused(answer, 408, "body_timeout")

    async def test_missing_and_wrong_keys(self):
        for header in ("", "Bearer ", "Bearer wrong", "Basic abc", "Bearer \xff"):
            headers = {"Authorization": header}
            answer = await self.post("/v1/chat/completions", b"{}", headers=headers)
            self.assert_refused(answer, 401, "invalid_key")

    async def test_operator_key_is_refused_as_caller_key(self):
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        answer = await self.post("/v1/chat/completions", b"{}", headers=headers)
        self.assert_refused(answer, 401, "invalid_key")

    async def test_caller_disconnect_frees_the_engine(self):
        for stream in (True, False):
            body = {
                "model": "demo-chat",
                "messages": [{"role": "user", "content": "long"}],
                "max_tokens": 5_000,
                "stream": stream,
            }
            timeout = aiohttp.ClientTimeout(total=0.3)
            with self.assertRaises(TimeoutError):
                async with self.session.post(
                    "/v1/chat/completions", json=body, timeout=timeout
                ) as resp:
                    await resp.read()
            await self.wait_for(lambda: all(e.n_running == 0 for e in self.engines))
            self.assertEqual(self.node.dispatcher.pools["demo-model"].running, {})

    async def wait_for(self, condition):
        deadline = time.monotonic() + 5
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            await asyncio.sleep(0.02)


class BackendFaultTest(GatewayCase):
    def set_fault_on_engines(self, fault):
        for engine in self.engines:
            engine.fault = fault

    async def test_malformed_response(self):
        self.set_fault_on_engines("garbage")
        answer = await self.chat()
        self.assert_refused(answer, 502, "backend_invalid", "may_have_run")

    async def test_wrong_request_id(self):
        self.set_fault_on_engines("wrong_id")
        answer = await self.chat()
        self.assert_refused(answer, 502, "backend_invalid", "may_have_run")
        received, raw = await self.read_stream()
        self.assertEqual(received, "")
        self.assertIn(b"backend_invalid", raw)

    async def test_truncated_stream_ends_with_an_error(self):
        self.set_fault_on_engines("truncate")
        _, raw = await self.read_stream()
        self.assertIn(b'"error"', raw)
        self.assertNotIn(b"[DONE]", raw)

    async def test_refused_request_is_reported_as_not_run(self):
        self.set_fault_on_engines("refuse")
        self.assert_refused(await self.chat(), 502, "backend_refused")

    async def test_failed_attempt_is_retried_on_the_other_engine(self):
        self.engines[0].fault = "garbage"
        for number in range(6):
            status, _, body = await self.chat(f"q{number}")
            self.assertEqual(status, 200)
            text = body["choices"][0]["message"]["content"]
            self.assertEqual(text, "".join(generate_tokens(f"q{number}", 5)))

    async def test_stream_resumes_at_its_offset(self):
        crashed = []

        async def crash_once(received):
            if received and not crashed:
                busy = next(e for e in self.engines if e.n_running)
                busy.crashed.set()
                crashed.append(busy)

        received, raw = await self.read_stream("resume me", 60, crash_once)
        self.assertEqual(received, "".join(generate_tokens("resume me", 60)))
        self.assertTrue(raw.endswith(b"data: [DONE]\n\n"))
        self.assertTrue(crashed)

    async def test_stalled_stream_resumes_on_the_other_engine(self):
        stalled = []

        async def stall_once(received):
            if received and not stalled:
                busy = next(e for e in self.engines if e.n_running)
                busy.fault = "stall"
                stalled.append(busy)

        received, _ = await self.read_stream("silent", 30, stall_once)
        self.assertEqual(received, "".join(generate_tokens("silent", 30)))


class ApiKeyTest(GatewayCase):
    async def test_withdrawn_key_is_refused_and_ends_streams(self):
        withdrawn = []

        async def withdraw(received):
            if received and not withdrawn:
                withdrawn.append(await self.run_statement("withdraw key demo-key"))

        received, raw = await self.read_stream("withdrawn", 2_000, withdraw)
        self.assertLess(len(received.split()), 2_000)
        self.assertIn(b"key_withdrawn", raw)
        self.assertEqual(withdrawn[0][2]["accepted"], True)
        self.assert_refused(await self.chat(), 401, "invalid_key")

    async def test_no_credential_reaches_a_backend_server(self):
        await self.chat()
        headers = {"Cookie": "a=b", "X-Api-Key": SECRET}
        await self.post("/routes/bookings/x", b'{"call": "c"}', headers=headers)
        self.assertEqual([e.credentials for e in self.engines], [[], []])
        self.assertEqual(self.service.credentials, [])

    async def test_single_node_trusts_its_keys_while_the_store_is_down(self):
        self.platform.down_until = time.monotonic() + 30
        await asyncio.sleep(1.5)
        status, _, _ = await self.chat()
        self.assertEqual(status, 200)


class IdempotencyTest(GatewayCase):
    async def book(self, call, key="", **body):
        headers = {"Idempotency-Key": key} if key else {}
        data = json.dumps({"call": call, **body})
        return await self.post("/routes/bookings/new", data, headers=headers)

    async def test_resent_call_is_replayed(self):
        first = await self.book("b1", "k1")
        second = await self.book("b1", "k1")
        self.assertEqual(first[2], second[2])
        self.assertEqual(second[1]["Idempotent-Replayed"], "true")
        self.assertEqual(self.service.executions["b1"], 1)

    async def test_concurrent_resends_run_once(self):
        answers = await asyncio.gather(
            *(self.book("b2", "k2", delay=0.2) for _ in range(5))
        )
        self.assertEqual(self.service.executions["b2"], 1)
        self.assertEqual(sorted(a[0] for a in answers), [200, 409, 409, 409, 409])

    async def test_idempotency_key_of_another_call(self):
        await self.book("b3", "k3")
        answer = await self.book("b4", "k3")
        self.assert_refused(answer, 422, "idempotency_mismatch")
        self.assertEqual(self.service.executions["b4"], 0)

    async def test_without_the_store_the_call_is_not_run(self):
        self.platform.down_until = time.monotonic() + 5
        answer = await self.book("b5", "k5")
        self.assert_refused(answer, 503, "store_unavailable")
        self.assertEqual(self.service.executions["b5"], 0)

    async def test_lost_responses_of_the_store(self):
        self.platform.lose_answers_until = time.monotonic() + 0.3
        answer = await self.book("b6", "k6")
        self.assertEqual(answer[2]["error"]["run"], "not_run")
        self.assertEqual(self.service.executions["b6"], 0)

    async def test_usage_reports_match_what_was_served(self):
        for number in range(5):
            await self.chat(f"u{number}")
        deadline = time.monotonic() + 40
        while time.monotonic() < deadline:
            total = 0
            for bodies in self.platform.reports.values():
                self.assertEqual(len(set(bodies)), 1)
                body = json.loads(bodies[0])
                for table in [body["rows"], *body["corrections"].values()]:
                    total += sum(row["output_tokens"] for row in table.values())
            if total >= 25:
                break
            await asyncio.sleep(0.2)
        self.assertEqual(total, 25)


class CrashingRequestTest(GatewayCase):
    async def test_crashing_request_crashes_at_most_two_servers(self):
        for engine in self.engines:
            engine.fault = "poison"
        codes = []
        for _ in range(6):
            status, _, body = await self.chat("poison")
            codes.append((status, body["error"]["code"]))
            for engine in self.engines:
                engine.crashed.clear()
            await asyncio.sleep(0.05)
        started = sum(sum(e.started.values()) for e in self.engines)
        self.assertLessEqual(started, 2)
        self.assertEqual(codes[-1], (422, "quarantined"))
        rows = (await self.run_statement("show quarantine"))[2]["rows"]
        self.assertEqual(rows[0]["state"], "quarantined")
        await self.run_statement(f"lift quarantine {rows[0]['name']}")
        self.assertEqual((await self.run_statement("show quarantine"))[2]["rows"], [])
