"""Decoding of the platform's data, and isolation of its names in this package."""

import re
import unittest
from pathlib import Path

import orjson
from medlargate_standins.relay_testbed import make_config

import medlargate
from medlargate.platform import (
    decode_registration,
    decode_request,
    decode_response,
    decode_routing_config,
    make_forward_headers,
    parse_address,
)

PLATFORM_NAMES = re.compile(
    r"Attempt-Id|Deadline-Ms|Prompt-Prefix|Token-Usage|Response-Seal|Expect-Instance"
    r"|Request-Priority|Server-Load|Not-Executed|Duty-Holder|Fencing-Token|Kv-Fetch"
    r"|ExpectedRev|PutOp|Instance-Id|Cold-Ms|Length-Hint|op/evacuate|TtftGoalMs|ItlGoalMs|KvCapacity|/kv-|\"/scale\"|\"/usage\"",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_platform_names_occur_only_in_the_platform_package(self):
        root = Path(medlargate.__file__).parent
        found = [
            str(path.relative_to(root))
            for path in root.rglob("*.py")
            if "platform" not in path.parts and "tests" not in path.parts
            if PLATFORM_NAMES.search(path.read_text())
        ]
        self.assertEqual(found, [])


class DecodeTest(unittest.TestCase):
    def test_a_configuration_is_decoded(self):
        got = decode_routing_config(orjson.dumps(make_config(3))).unwrap()
        self.assertEqual(got.version, 3)
        route = next(rule for rule in got.routes if rule.name == "resume-stream")
        self.assertTrue(route.resumable and route.repeatable and route.streams)
        self.assertEqual((route.timeout, route.target), (3.0, 0.3))

    def test_limit_of_a_server_is_decoded(self):
        for text, rate in (("1.4", 1.4), (" 0 ", 0.0), ("-1", None), ("nan", None)):
            got = decode_response(200, [(b"server-limit", text.encode())])
            self.assertEqual(got.max_request_rate, rate)
        self.assertIsNone(decode_response(200, []).max_request_rate)

    def test_error_names_field_and_value(self):
        fault = decode_routing_config(b'{"Version": "x"}').failure()
        self.assertIn("Version", fault)
        self.assertIn("'x'", fault)

    def test_invalid_registrations_by_other_writers_are_rejected(self):
        for data in (b"", b"[]", b'{"Service": 3}', b"\xff", b'{"Address": "x"}'):
            with self.subTest(data=data):
                self.assertTrue(decode_registration("servers/a", data, 1).failure())

    def test_invalid_optional_request_headers_count_as_missing(self):
        rows = [
            (b"attempt-id", b"r1"),
            (b"deadline-ms", b"soon"),
            (b"token-usage", b","),
        ]
        facts = decode_request(rows)
        self.assertEqual((facts.request_id, facts.time_left), ("r1", None))
        self.assertEqual(facts.n_prompt_tokens, 0)

    def test_response_headers_are_decoded(self):
        rows = [(b"server-load", b"3,1,8"), (b"not-executed", b"1")]
        facts = decode_response(503, rows)
        self.assertTrue(facts.not_run)
        self.assertEqual((facts.load.n_running, facts.load.n_slots), (3, 8))
        self.assertIsNone(decode_response(200, [(b"server-load", b"x,1")]).load)
        self.assertTrue(decode_response(421, []).not_run)
        self.assertFalse(decode_response(503, []).not_run)

    def test_contradictory_response_is_no_refusal(self):
        for status in (200, 500, 504):
            self.assertFalse(decode_response(status, [(b"not-executed", b"1")]).not_run)
        rows = [(b"attempt-id", b"r1"), (b"attempt-id", b"r1")]
        self.assertEqual(decode_response(503, iter(rows)).request_id, "r1")
        rows.append((b"attempt-id", b"r2"))
        self.assertEqual(decode_response(503, iter(rows)).request_id, "")

    def test_load_with_a_machine_speed_is_decoded(self):
        # Four values once made nodes drop the whole header, so that they knew no load
        # but their own.
        cases = (
            ("3,1,8,250", 2.5, False),
            ("3,1,8, 100 ", 1.0, False),
            ("3,1,8", None, False),
            *((f"3,1,8,{it}", None, True) for it in ("fast", "0", "-5", "1e300", "")),
            ("3,1,8,100,7", None, True),
        )
        for text, slowness, is_invalid in cases:
            with self.subTest(text=text):
                load = decode_response(200, [(b"server-load", text.encode())]).load
                self.assertEqual((load.n_running, load.n_slots), (3, 8))
                self.assertEqual(load.slowness, slowness)
                self.assertEqual(load.has_invalid_slowness, is_invalid)

    def test_expected_output_is_decoded(self):
        for hint, expected in ((b"80", 80), (b"-1", None), (b"many", None)):
            rows = [(b"token-usage", b"1460,160"), (b"length-hint", hint)]
            facts = decode_request(rows)
            self.assertEqual(
                (facts.n_prompt_tokens, facts.max_output_tokens), (1460, 160)
            )
            self.assertEqual(facts.output_hint, expected)

    def test_cold_servers_are_decoded(self):
        services = [{"Name": "engine", "ColdStartS": 3.0, "ColdPerS": 5.0}]
        cfg = decode_routing_config(
            orjson.dumps({"Version": 1, "Services": services})
        ).unwrap()
        service = cfg.services["engine"]
        self.assertEqual((service.cold_start_time, service.cold_rate), (3.0, 5.0))
        response = decode_response(200, [(b"cold-ms", b"1500"), (b"instance-id", b"i")])
        self.assertEqual((response.cold_time, response.server_id), (1.5, "i"))

    def test_numbers_beyond_all_bounds_count_as_missing(self):
        # Very long texts once raised errors, which ended requests without an answer.
        for text in (b"9" * 400, b"9" * 6000, "\xb2".encode("latin-1"), b"1e999"):
            with self.subTest(text=text[:10]):
                names = (b"deadline-ms", b"token-usage", b"length-hint")
                facts = decode_request([(name, text) for name in names])
                self.assertIsNone(facts.time_left)
                self.assertEqual(facts.n_prompt_tokens, 0)
                load = (b"server-load", b"%b,0,8" % text)
                self.assertIsNone(decode_response(200, [load]).load)
        rows = [(b"server-limit", b"1e308"), (b"cold-ms", b"1e308")]
        got = decode_response(200, rows)
        self.assertEqual((got.max_request_rate, got.cold_time), (1e6, 31_536_000.0))

    def test_addresses_of_no_machine_are_rejected(self):
        for text in ("127.0.0.1:65535", "10.1.2.3:1"):
            self.assertIsNotNone(parse_address(text))
        odd = ("1.2:80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", ":80")
        odd += ("1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4: 80")
        odd += ("1.2.3.04:80", "::1:80", "host:80", f"1.2.3.4:{'9' * 6000}", 7, None)
        self.assertEqual([parse_address(it) for it in odd], [None] * len(odd))

    def test_connection_header_does_not_remove_the_request_id(self):
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
