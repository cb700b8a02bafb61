"""Fuzz tests: odd values in what other programs write raise no error."""

import json
import logging
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st
from medlargate_standins.fuzzing import make_fuzz_settings
from medlargate_standins.relay_testbed import make_config

from medlargate.fleet import ClusterState, decode_node
from medlargate.platform import (
    Entry,
    decode_registration,
    decode_request,
    decode_response,
    decode_routing_config,
    parse_address,
)
from medlargate.platform._bounds import MAX_DURATION, MAX_RATE, MAX_SLOTS

from ...fleet._usage_reporter import _decode_counts, _decode_era
from .._block_store import StoredBlock
from .._origin_store import OriginBatch
from .._stored_models import iter_stored_models

SETTINGS = make_fuzz_settings(n_long=20_000)
GOOD = {
    "Service": "plain",
    "Address": "127.0.0.1:8000",
    "Zone": "fd-a",
    "Version": "1",
    "Slots": 8,
    "State": "ready",
    "Spot": False,
    "leaves_ms": 100.0,
    "ColdLeftMs": 5,
    "born": 1_700_000_000_000,
}
HEADERS = (
    "attempt-id",
    "deadline-ms",
    "token-usage",
    "length-hint",
    "prompt-prefix",
    "last-event-id",
    "server-load",
    "server-limit",
    "server-brittle",
    "cold-ms",
    "retry-after",
    "content-encoding",
    "instance-id",
)
RECORD_FIELDS = (
    "request",
    "part",
    "crashed_at",
    "written_at",
    "versions",
    "origins",
    "zone",
    "address",
    "era",
    "time",
)


class Raw:
    """Text that stands in a document as it is."""

    def __init__(self, text):
        self.text = text

    def __repr__(self):
        return f"Raw({self.text[:20]!r}, {len(self.text)})"


raw_texts = st.one_of(
    st.integers(1, 1100).map(lambda depth: "[" * depth + "]" * depth),
    st.integers(1, 1100).map(lambda depth: '{"a":' * depth + "1" + "}" * depth),
    st.integers(1, 7000).map(lambda n_digits: "9" * n_digits),
    st.sampled_from(["1e308", "-1e308", "1e999", "NaN", "-0", "1e-320", "", '"']),
)
odd_values = st.one_of(
    raw_texts.map(Raw),
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["127.0.0.1:70000", "0.0.0.0:1", "1.2.3.4:5\n", "inf", "\ud800"]),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.floats(), max_size=2),
)


def encode(value):
    """Encode a document in which values may stand that are not valid JSON."""
    if isinstance(value, Raw):
        return value.text
    if isinstance(value, dict):
        rows = (f"{json.dumps(k)}:{encode(v)}" for k, v in value.items())
        return "{" + ",".join(rows) + "}"
    if isinstance(value, list):
        return "[" + ",".join(map(encode, value)) + "]"
    return json.dumps(value)


def list_paths(value, path=()):
    """Return the paths of all values of a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    paths = []
    for key, child in items:
        paths.append((*path, key))
        if isinstance(child, dict | list) and child:
            paths += list_paths(child, (*path, key))
    return paths


def make_entry(key, value, revision):
    return Entry(key, encode(value).encode(), revision, 1)


class OddValuesTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.disable, logging.root.manager.disable)
        logging.disable(logging.WARNING)

    def make_state(self):
        return ClusterState(decode_routing_config, decode_registration, lambda: 0.0)

    @SETTINGS
    @given(
        changes=st.dictionaries(st.sampled_from(sorted(GOOD)), odd_values, min_size=1),
        key=st.sampled_from(["odd", "good", "x/good", "", "a b", "a\n", "\xe4"]),
    )
    def test_odd_registration_names_no_server_or_a_valid_one(self, changes, key):
        state = self.make_state()
        odd = make_entry(f"servers/{key}", {**GOOD, **changes}, 2)
        entries = [
            make_entry("servers/good", GOOD, 1),
            odd,
            make_entry("servers/other", GOOD, 3),
        ]
        with self.assertNoLogs("medlargate", "ERROR"):
            state.observe_servers(entries, 3, confirmed_at=0.0)
        self.assertEqual(state.servers_revision, 3)
        self.assertIn("other", state.servers)
        if key != "good":
            self.assertIn("good", state.servers)
        for server in state.servers.values():
            self.assertEqual(parse_address(server.address), (server.host, server.port))
            self.assertTrue(1 <= server.n_slots <= MAX_SLOTS)
            self.assertTrue(0 <= server.cold_for <= MAX_DURATION)
            self.assertTrue(abs(server.leaves_in or 0.0) <= MAX_DURATION)
            self.assertTrue(0 <= server.born < 2**53)
        with self.assertNoLogs("medlargate", "ERROR"):
            state.observe_servers(entries[::2], 4, confirmed_at=0.0)
        self.assertLessEqual({"other"}, set(state.servers))
        self.assertNotIn("odd", state.servers)

    @SETTINGS
    @given(data=st.data())
    def test_odd_configuration_keeps_a_valid_one_in_force(self, data):
        state = self.make_state()
        state.observe_config(
            make_entry("op/config", make_config(1), 1), confirmed_at=0.0
        )
        config = make_config(2)
        paths = [it for it in list_paths(config) if it != ("Version",)]
        *parents, last = data.draw(st.sampled_from(paths))
        target = config
        for step in parents:
            target = target[step]
        target[last] = data.draw(odd_values)
        entry = make_entry("op/config", config, 2)
        state.observe_config(entry, confirmed_at=0.0)
        table = state.route_table
        self.assertIn(table.routing_config.version, (1, 2))
        for rule in table.routing_config.routes:
            numbers = (rule.timeout, rule.target, rule.max_pause, rule.max_attempts)
            self.assertTrue(all(map(math.isfinite, numbers)))
        state.observe_config(
            make_entry("op/config", make_config(3), 3), confirmed_at=0.0
        )
        self.assertEqual(state.route_table.routing_config.version, 3)

    @SETTINGS
    @given(
        status=st.integers(200, 999),
        rows=st.dictionaries(
            st.sampled_from(HEADERS),
            st.one_of(
                raw_texts,
                st.text(st.characters(max_codepoint=255), max_size=20),
                st.lists(raw_texts, max_size=4).map(",".join),
            ),
        ),
    )
    def test_odd_headers_raise_no_error(self, status, rows):
        headers = [(k.encode(), v.encode("latin-1")) for k, v in rows.items()]
        request = decode_request(headers)
        self.assertLess(request.time_left or 0.0, 2**53)
        self.assertLess(request.n_prompt_tokens, 2**53)
        got = decode_response(status, headers)
        for number, largest in (
            (got.retry_after, MAX_DURATION),
            (got.cold_time, MAX_DURATION),
            (got.max_request_rate, MAX_RATE),
            (got.max_rejections, MAX_RATE),
            (got.load.n_slots if got.load else None, MAX_SLOTS),
        ):
            self.assertTrue(number is None or 0 <= number <= largest)

    @SETTINGS
    @given(
        row=st.dictionaries(
            st.sampled_from(RECORD_FIELDS),
            odd_values,
        )
    )
    def test_odd_records_of_nodes_raise_no_error(self, row):
        entry = make_entry("medlargate/x", row, 1)
        for model in (StoredBlock, OriginBatch):
            list(iter_stored_models([entry], model, logging.getLogger(), "odd"))
        node = decode_node(entry.value)
        self.assertTrue(node is None or parse_address(node["address"]))
        logging.disable(logging.ERROR)
        counts = _decode_counts(entry)
        self.assertTrue(counts is None or all(it >= 0 for it in counts.values()))
        self.assertIn(set(_decode_era(entry.value)), (set(), {"era", "time"}))


if __name__ == "__main__":
    unittest.main()
