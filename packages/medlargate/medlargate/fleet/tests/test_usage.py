import asyncio
import time
import unittest

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient

from .. import UsageLedger, UsagePart, UsageRow, decode_part
from .._usage import flush_part, make_part_key


def make_part(sequence, tokens):
    rows = {"a\tcls": UsageRow(requests=1, output_tokens=tokens)}
    return UsagePart(window=3, node="n1", sequence=sequence, rows=rows)


class FlushTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore(time.monotonic)
        self.client = MemoryStoreClient(self.store)

    def read(self):
        entry = self.store.read(make_part_key(3, "n1")).entries[0]
        return decode_part(entry.value)

    def test_an_older_copy_never_replaces_a_newer_part(self):
        asyncio.run(flush_part(self.client, make_part(5, 50)))
        asyncio.run(flush_part(self.client, make_part(4, 40)))
        self.assertEqual(self.read().sequence, 5)

    def test_a_newer_part_replaces_an_older_one(self):
        asyncio.run(flush_part(self.client, make_part(4, 40)))
        asyncio.run(flush_part(self.client, make_part(5, 50)))
        self.assertEqual(self.read().rows["a\tcls"].output_tokens, 50)


class LedgerTest(unittest.TestCase):
    def test_copies_keep_the_newest(self):
        ledger = UsageLedger("n2", 60.0, time.time)
        ledger.store_copy(make_part(5, 50))
        ledger.store_copy(make_part(4, 40))
        self.assertEqual(ledger.copies[3, "n1"].sequence, 5)

    def test_a_flushed_copy_is_dropped(self):
        ledger = UsageLedger("n2", 60.0, time.time)
        ledger.store_copy(make_part(5, 50))
        ledger.drop_flushed_copy(3, "n1", 4)
        self.assertTrue(ledger.copies)
        ledger.drop_flushed_copy(3, "n1", 5)
        self.assertFalse(ledger.copies)


class DeltaTest(unittest.TestCase):
    def setUp(self):
        self.ledger = UsageLedger("n1", 60.0, lambda: 180.0)
        self.copy_holder = UsageLedger("n2", 60.0, lambda: 180.0)
        self.use("a")
        self.use("b")

    def use(self, customer):
        counts = UsageRow(requests=1, output_tokens=10)
        self.ledger.count_request(customer, "cls", counts)

    def send(self, base):
        return self.copy_holder.store_copy(
            self.ledger.make_delta(3, base).model_copy(deep=True)
        )

    def test_a_delta_has_only_the_changed_rows_and_completes_the_copy(self):
        self.assertTrue(self.send(0))
        self.use("b")
        self.assertEqual(list(self.ledger.make_delta(3, 2).rows), ["b\tcls"])
        self.assertTrue(self.send(2))
        copy = self.copy_holder.copies[3, "n1"]
        self.assertEqual(copy.rows, self.ledger.parts[3].rows)
        self.assertEqual(copy.sequence, 3)

    def test_a_delta_without_its_base_is_refused(self):
        self.assertFalse(self.send(1))
        self.assertEqual(self.copy_holder.copies, {})

    def test_a_repeated_delta_changes_nothing(self):
        self.send(0)
        self.use("a")
        self.send(2)
        self.send(2)
        self.assertEqual(
            self.copy_holder.copies[3, "n1"].rows["a\tcls"].output_tokens, 20
        )
