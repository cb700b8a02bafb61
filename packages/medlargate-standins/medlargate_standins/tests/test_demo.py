import asyncio
import json
import subprocess
import sys
import unittest

import aiohttp
import openai

from ..engine import generate_tokens


class DemoTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        command = [sys.executable, "-m", "medlargate", "demo", "--port", "0"]
        cls.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        cls.first = json.loads(cls.process.stdout.readline())

    @classmethod
    def tearDownClass(cls):
        cls.process.terminate()
        cls.process.wait(20)
        cls.process.stdout.close()

    def make_client(self, key=None):
        return openai.OpenAI(
            base_url=self.first["address"] + "/v1",
            api_key=key or self.first["key"],
            max_retries=0,
        )

    def create_completion(self, **options):
        return self.make_client().chat.completions.create(
            model="demo-chat",
            messages=[{"role": "user", "content": "a question"}],
            max_tokens=7,
            **options,
        )

    def test_plain_answer(self):
        response = self.create_completion()
        expected = "".join(generate_tokens("a question", 7))
        self.assertEqual(response.choices[0].message.content, expected)
        self.assertEqual(response.usage.completion_tokens, 7)

    def test_streamed_answer(self):
        parts = [
            chunk.choices[0].delta.content or ""
            for chunk in self.create_completion(stream=True)
            if chunk.choices
        ]
        self.assertEqual("".join(parts), "".join(generate_tokens("a question", 7)))

    def test_usage_event_only_when_asked_for(self):
        options = {"include_usage": True}
        chunks = list(self.create_completion(stream=True, stream_options=options))
        self.assertEqual(chunks[-1].usage.completion_tokens, 7)
        self.assertTrue(
            all(chunk.choices for chunk in self.create_completion(stream=True))
        )

    def test_other_keys_are_refused_as_not_run(self):
        with self.assertRaises(openai.AuthenticationError) as caught:
            self.make_client("another").models.list()
        self.assertEqual(caught.exception.body["run"], "not_run")
        self.assertEqual(caught.exception.response.headers["Medlargate-Run"], "not_run")

    def test_models_are_the_callers_routes(self):
        names = [model.id for model in self.make_client().models.list()]
        self.assertEqual(names, ["demo-chat", "demo-batch"])

    def test_plain_service(self):
        async def call():
            headers = {"Authorization": "Bearer " + self.first["key"]}
            async with aiohttp.ClientSession(headers=headers) as session:
                url = self.first["address"] + "/routes/bookings/new"
                async with session.post(url, json={"call": "b1"}) as resp:
                    return resp.headers["Medlargate-Run"], await resp.json()

        verdict, body = asyncio.run(call())
        self.assertEqual(verdict, "ran")
        self.assertEqual((body["call"], body["execution"]), ("b1", 1))

    def test_open_route_needs_no_key(self):
        async def call():
            async with aiohttp.ClientSession() as session:
                url = self.first["address"] + "/routes/catalogue/list"
                async with session.get(url) as resp:
                    return resp.status

        self.assertEqual(asyncio.run(call()), 200)
