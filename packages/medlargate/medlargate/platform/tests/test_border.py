"""The platform's names stay in its adapter; what it says is decoded once."""

import re
import unittest
from pathlib import Path

import orjson
from medlargate_standins.relay_world import make_config

import medlargate
from medlargate.platform import (
    decode_answer,
    decode_declaration,
    decode_registration,
    decode_request,
    make_forward_headers,
)

NAMES = re.compile(
    r"Attempt-Id|Deadline-Ms|Prompt-Prefix|Token-Usage|Response-Seal|Expect-Instance"
    r"|Request-Priority|Server-Load|Not-Executed|Duty-Holder|Fencing-Token|Kv-Fetch"
    r"|ExpectedRev|PutOp|TtftGoalMs|ItlGoalMs|KvCapacity|/kv-|\"/scale\"|\"/usage\"",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_the_platforms_names_appear_in_its_adapter_only(self):
        root = Path(medlargate.__file__).parent
        found = [
            str(path.relative_to(root))
            for path in root.rglob("*.py")
            if "platform" not in path.parts and "tests" not in path.parts
            if NAMES.search(path.read_text())
        ]
        self.assertEqual(found, [])


class DecodeTest(unittest.TestCase):
    def test_a_configuration(self):
        got = decode_declaration(orjson.dumps(make_config(3))).unwrap()
        self.assertEqual(got.version, 3)
        route = next(rule for rule in got.routes if rule.name == "resume-stream")
        self.assertTrue(route.resumable and route.repeatable and route.streams)
        self.assertEqual((route.timeout, route.target), (3.0, 0.3))

    def test_faults_name_field_and_value(self):
        fault = decode_declaration(b'{"Version": "x"}').failure()
        self.assertIn("Version", fault)
        self.assertIn("'x'", fault)

    def test_a_registration_of_another_writer(self):
        for data in (b"", b"[]", b'{"Service": 3}', b"\xff", b'{"Address": "x"}'):
            with self.subTest(data=data):
                self.assertTrue(decode_registration("servers/a", data, 1).failure())

    def test_a_request_with_strange_optional_headers(self):
        rows = [
            (b"attempt-id", b"r1"),
            (b"deadline-ms", b"soon"),
            (b"token-usage", b","),
        ]
        facts = decode_request(rows)
        self.assertEqual((facts.request_id, facts.time_left), ("r1", None))
        self.assertEqual(facts.n_prompt_tokens, 0)

    def test_an_answer(self):
        rows = [(b"server-load", b"3,1,8"), (b"not-executed", b"1")]
        facts = decode_answer(503, rows)
        self.assertTrue(facts.not_run)
        self.assertEqual((facts.load.n_running, facts.load.n_slots), (3, 8))
        self.assertIsNone(decode_answer(200, [(b"server-load", b"x,1")]).load)
        self.assertTrue(decode_answer(421, []).not_run)
        self.assertFalse(decode_answer(503, []).not_run)

    def test_a_caller_can_t_have_its_id_removed(self):
        rows = [
            (b"connection", b"attempt-id, x-a"),
            (b"attempt-id", b"r1"),
            (b"x-a", b""),
        ]
        got = dict(
            make_forward_headers(rows, customer=None, server_id="s", time_left=1.0)
        )
        self.assertEqual(got[b"attempt-id"], b"r1")
        self.assertNotIn(b"x-a", got)
