import unittest

from ...fleet import Config, ConfigError, Operation
from .. import Command, Condition, Show, StatementError
from .._commands import make_change, make_precondition
from .._tables import merge_rows, select_rows

ROWS = [
    {"name": "a", "tokens": 5, "attainment": 0.9},
    {"name": "b", "tokens": 50, "attainment": None},
    {"name": "c", "tokens": 20, "attainment": 0.99},
]


class SelectTest(unittest.TestCase):
    def names(self, **options):
        return [row["name"] for row in select_rows(Show("customers", **options), ROWS)]

    def test_where(self):
        condition = Condition("attainment", "<", 0.95)
        self.assertEqual(self.names(where=(condition,)), ["a"])

    def test_order_and_limit(self):
        options = {"order_by": "tokens", "descending": True, "limit": 2}
        self.assertEqual(self.names(**options), ["b", "c"])

    def test_contains(self):
        self.assertEqual(self.names(where=(Condition("name", "~", "b"),)), ["b"])

    def test_unknown_field(self):
        with self.assertRaises(StatementError) as caught:
            self.names(order_by="token")
        self.assertIn("tokens", caught.exception.message)

    def test_number_never_matches_a_string(self):
        self.assertEqual(self.names(where=(Condition("tokens", "<", "x"),)), [])


class MergeTest(unittest.TestCase):
    def test_counts_are_summed_over_nodes(self):
        row = {"name": "a", "requests": 10, "met": 9, "tokens": 7}
        merged = merge_rows("customers", {"n1": [row], "n2": [dict(row)]})
        self.assertEqual(merged[0]["requests"], 20)
        self.assertEqual(merged[0]["attainment"], 0.9)

    def test_per_node_rows_name_their_node(self):
        merged = merge_rows("leases", {"n1": [{"name": "usage"}], "n2": []})
        self.assertEqual(merged, [{"node": "n1", "name": "usage"}])


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.cfg = Config()
        self.put("customer", "a", {})
        self.put("backend", "e1", self.backend("fd-a"))
        self.put("backend", "e2", self.backend("fd-b"))

    def backend(self, domain):
        return {
            "address": "127.0.0.1",
            "port": 1,
            "pools": ["m"],
            "failure_domain": domain,
        }

    def put(self, kind, name, value):
        self.cfg.apply(Operation(action="put", kind=kind, name=name, value=value))

    def make(self, verb, kind, name, *values):
        return make_change(
            Command(verb, kind, name, values), self.cfg, lambda _: "0" * 64
        )

    def test_new_key_returns_its_secret_and_stores_only_a_hash(self):
        change = self.make("create", "key", "k", ("customer", "a"))
        self.assertTrue(change.secret.startswith("mlg-"))
        self.assertNotIn(change.secret, change.operations[0].model_dump_json())

    def test_draining_a_domain_drains_its_backends_in_one_change(self):
        change = self.make("drain", "domain", "fd-a")
        self.assertEqual([op.name for op in change.operations], ["e1"])
        self.assertTrue(change.operations[0].value["draining"])

    def test_unknown_parameter(self):
        with self.assertRaises(StatementError) as caught:
            self.make("create", "customer", "b", ("wait", 1))
        self.assertIn("weight", caught.exception.message)

    def test_existing_entity_is_not_created_again(self):
        with self.assertRaises(StatementError):
            self.make("create", "customer", "a")

    def test_concurrent_change_of_the_same_entity_is_a_conflict(self):
        change = self.make("change", "customer", "a", ("weight", 2.0))
        check = make_precondition(change, self.cfg)
        check(self.cfg)
        self.put("customer", "b", {})
        check(self.cfg)
        self.put("customer", "a", {"weight": 3.0})
        with self.assertRaises(ConfigError):
            check(self.cfg)
