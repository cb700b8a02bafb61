"""Evacuated failure domains as read from the store and relayed by peers."""

import asyncio
import unittest

from medlargate_standins._memory_store import MemoryStore, MemoryStoreClient

from medlargate.platform import (
    Change,
    Delete,
    Entry,
    Put,
    decode_registration,
    decode_routing_config,
)

from .. import ClusterState, Evacuations, StoreWatcher


class RevisionsTest(unittest.TestCase):
    """Guards against news that arrive late and bring back an earlier state."""

    def test_older_state_does_not_replace_newer(self):
        evacuations = Evacuations()
        evacuations.replace(["a", "b"], 10)
        self.assertEqual(evacuations.replace(["a"], 12), (frozenset(), {"b"}))
        self.assertEqual(
            evacuations.replace(["a", "b"], 11), (frozenset(), frozenset())
        )
        self.assertEqual(evacuations.domains, {"a"})

    def test_changes_older_than_the_state_are_left_out(self):
        # A watch may answer after a peer has told more than the watch says.
        evacuations = Evacuations(20, frozenset({"b"}))
        changes = [
            Change("op/evacuate/a", 18, Entry("op/evacuate/a", b"{}", 18, 18)),
            Change("op/evacuate/b", 21, None),
            Change("op/config", 22, None),
            Change("op/evacuate/c", 23, Entry("op/evacuate/c", b"{}", 23, 23)),
        ]
        self.assertEqual(evacuations.apply(changes), {"c"})


class RecordingClient(MemoryStoreClient):
    """Client that records the keys and prefixes of its calls."""

    def __init__(self, store):
        super().__init__(store)
        self.keys = []

    async def read(self, key, **arguments):
        self.keys.append(key)
        return await super().read(key, **arguments)

    async def poll(self, key, *arguments):
        self.keys.append(key)
        return await super().poll(key, *arguments)


class StoreCallsTest(unittest.IsolatedAsyncioTestCase):
    async def observe(self, prefix, seconds=2.2):
        """Run a watcher while a domain is evacuated and taken back; return it."""
        loop = asyncio.get_running_loop()
        store = MemoryStore(loop.time)
        store.write([], [Put("op/config", b'{"Version": 1}')])
        watcher = StoreWatcher(
            RecordingClient(store),
            ClusterState(decode_routing_config, decode_registration, loop.time),
            "op/config",
            "servers/",
            loop.time,
            evacuations_prefix=prefix,
        )
        seen = []
        watcher.cluster_state.evacuation_listeners.append(
            lambda _: seen.append(watcher.cluster_state.evacuated)
        )
        jobs = watcher.run_config, watcher.run_servers, watcher.run_polls
        tasks = [asyncio.create_task(job()) for job in jobs]
        await asyncio.sleep(seconds / 2)
        n_calls = len(watcher.store.keys)
        store.write([], [Put("op/evacuate/a", b"{}")])
        await asyncio.sleep(0.1)
        store.write([], [Delete("op/evacuate/a")])
        await asyncio.sleep(seconds / 2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return n_calls, watcher, seen

    async def test_evacuations_are_read_without_more_calls(self):
        n_calls_without, watcher, seen = await self.observe("")
        self.assertEqual(set(watcher.store.keys), {"op/config", "servers/"})
        self.assertEqual(seen, [])
        n_calls, watcher, seen = await self.observe("op/evacuate/")
        self.assertEqual(set(watcher.store.keys), {"op/", "servers/"})
        self.assertEqual(seen, [{"a"}, frozenset()])
        self.assertLessEqual(n_calls, n_calls_without)
