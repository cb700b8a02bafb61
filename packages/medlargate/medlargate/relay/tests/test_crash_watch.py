"""Signs from which the crash of a server is recognized."""

import asyncio
import unittest
import weakref
from dataclasses import dataclass, replace
from types import SimpleNamespace

from ...routing import Registration
from .. import _crash_watch
from .._crash_watch import CrashWatch
from .._exchange import AttemptProgress, RequestFeatures

SERVER = Registration("s1", "engine", "10.0.0.1:80", "10.0.0.1", 80, "fd-a", 8, born=1)


@dataclass(eq=False)
class _Request:
    exchange_id: int
    attempt: AttemptProgress
    features: RequestFeatures


def _write_nothing(*_, **__):
    pass


class _Guard:
    """Records what is reported of crashes."""

    def __init__(self):
        self.crashed, self.completed, self.alive = [], [], []
        self.reported = set()  # runs of which another node has noticed a crash

    def has_crashed(self, server):
        return server.run_id in self.reported

    def observe_crash(self, features, server, attempt, crashed_at, *, memory_full):
        self.crashed.append((features.exchange_id, server.run_id))

    def observe_crash_end(self):
        pass

    def observe_completed(self, features):
        self.completed.append(features.exchange_id)

    def observe_alive(self, server):
        self.alive.append(server.run_id)


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """Three requests at one server; the first one breaks off."""

    def setUp(self):
        self.now = 100.0
        self.accepts, self.reaches_any, self.left = False, True, set()
        self.guard = _Guard()
        memory = SimpleNamespace(observe_crash=lambda *_: None)
        loads = SimpleNamespace(is_memory_full=lambda _: False, memory=memory)

        async def can_reach(_):
            return self.accepts

        async def reaches_any_server(_):
            return self.reaches_any

        self.watch = CrashWatch(
            self.guard,
            loads,
            SimpleNamespace(reaches_any_server=reaches_any_server),
            can_reach=can_reach,
            has_left=lambda server_id: server_id in self.left,
            clock=lambda: self.now,
        )
        self.watch.observe_registration(SERVER, "s1")
        self.requests = [self.make_request(number) for number in range(3)]
        for exch in self.requests:
            self.watch.observe_begin(exch, SERVER)
        self.now += 1.0

    def make_request(self, number):
        progress = AttemptProgress(self.now, heard_at=self.now, is_sent=True)
        features = RequestFeatures(number, f"r{number}", "", (), _write_nothing)
        return _Request(number, progress, features)

    async def settle(self):
        await asyncio.sleep(sum(_crash_watch.CHECK_DELAYS) + 0.05)

    def list_crashed(self):
        return [number for number, _ in self.guard.crashed]

    async def test_all_requests_of_a_server_that_accepts_no_connection(self):
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_each_request_is_reported_once(self):
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        for exch in self.requests:
            self.watch.observe_broken(exch, SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_lost_answer_of_a_server_that_accepts_connections(self):
        self.accepts = True
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [])

    async def test_server_that_is_back_at_once_under_another_id(self):
        self.accepts = True
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.watch.observe_registration(replace(SERVER, server_id="s2"), "s2")
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_server_that_is_back_at_once_under_its_id(self):
        self.accepts = True
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.watch.observe_registration(replace(SERVER, born=2, revision=9), "s1")
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_another_server_at_the_address(self):
        self.accepts = True
        self.watch.observe_broken(self.requests[0], SERVER)
        self.watch.observe_replaced(SERVER)
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_server_that_is_replaced_while_its_connections_are_silent(self):
        self.accepts = True
        self.watch.observe_registration(replace(SERVER, server_id="s2"), "s2")
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_server_that_starts_again_while_its_connections_are_silent(self):
        self.accepts = True
        self.watch.observe_registration(replace(SERVER, born=2, revision=9), "s1")
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_server_that_is_replaced_after_it_has_announced_that_it_leaves(self):
        self.left.add("s1")
        self.watch.observe_registration(replace(SERVER, server_id="s2"), "s2")
        drained = replace(SERVER, draining=True, revision=8)
        self.watch.observe_registration(drained, "s1")
        self.watch.observe_registration(replace(SERVER, born=2, revision=9), "s1")
        self.assertEqual(self.list_crashed(), [])

    async def test_answer_of_another_server_without_a_broken_one(self):
        self.watch.observe_replaced(SERVER)
        self.assertEqual(self.list_crashed(), [])

    async def test_silent_server_that_accepts_no_connection(self):
        self.watch.observe_silent("s1")
        await self.settle()
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_request_sent_to_a_server_that_has_crashed(self):
        self.watch.observe_unreachable(SERVER)
        await self.settle()
        late = self.make_request(3)
        self.now += 0.1
        late.attempt.began_at = self.now
        self.watch.observe_begin(late, SERVER)
        self.watch.observe_broken(late, SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [0, 1, 2])

    async def test_request_that_was_not_sent_yet_is_no_evidence(self):
        # Guards against blame of requests that wait for a connection to a lost server.
        for exch in self.requests[1:]:
            exch.attempt.is_sent = False
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.watch.observe_abandoned(self.requests[1], SERVER)
        self.assertEqual(self.list_crashed(), [0])

    async def test_server_that_goes_on_with_another_answer(self):
        self.watch.observe_broken(self.requests[0], SERVER)
        self.now += 0.01
        self.requests[1].attempt.heard_at = self.now
        await self.settle()
        self.assertEqual(self.list_crashed(), [])

    async def test_node_that_reaches_no_server(self):
        self.reaches_any = False
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [])

    async def test_server_that_has_announced_that_it_leaves(self):
        self.left.add("s1")
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.assertEqual(self.list_crashed(), [])

    async def test_caller_that_left_a_silent_answer(self):
        self.accepts = True
        self.watch.observe_abandoned(self.requests[0], SERVER)
        self.watch.observe_answered(self.requests[1], SERVER)
        self.requests[2].attempt.heard_at = self.now
        self.watch.observe_abandoned(self.requests[2], SERVER)
        self.watch.observe_registration(None, "s1")
        self.assertEqual(self.list_crashed(), [0])

    async def test_old_evidence_explains_no_later_end(self):
        self.accepts = True
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.now += _crash_watch.EVIDENCE_TIME + 1.0
        self.watch.observe_registration(None, "s1")
        self.assertEqual(self.list_crashed(), [])

    async def test_server_that_renews_its_registration_has_not_crashed(self):
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        for revision in range(2, 2 + _crash_watch.MIN_RENEWALS):
            self.assertEqual(self.guard.alive, [])
            renewed = replace(SERVER, revision=revision)
            self.watch.observe_registration(renewed, "s1")
        self.assertEqual(self.guard.alive, [SERVER.run_id])

    async def test_crash_that_only_another_node_has_noticed_is_withdrawn(self):
        # Guards against parts blamed for servers that one node did not reach.
        self.watch.observe_registration(replace(SERVER, revision=2), "s1")
        self.guard.reported.add(SERVER.run_id)
        for revision in range(3, 3 + _crash_watch.MIN_RENEWALS):
            self.assertEqual(self.guard.alive, [])
            self.watch.observe_registration(replace(SERVER, revision=revision), "s1")
        self.assertEqual(self.guard.alive, [SERVER.run_id])

    async def test_server_that_answers_later_requests_has_not_crashed(self):
        self.watch.observe_broken(self.requests[0], SERVER)
        await self.settle()
        self.now += 0.1
        late = self.make_request(3)
        self.watch.observe_begin(late, SERVER)
        late.attempt.has_head = True
        self.watch.observe_answered(late, SERVER)
        self.assertEqual(self.guard.alive, [SERVER.run_id])

    async def test_answer_without_a_length_is_complete_unless_its_server_crashed(self):
        self.accepts = True
        delay, _crash_watch.UNFRAMED_DELAY = _crash_watch.UNFRAMED_DELAY, 0.05
        self.addCleanup(setattr, _crash_watch, "UNFRAMED_DELAY", delay)
        self.watch.observe_unframed_end(self.requests[0], SERVER)
        await asyncio.sleep(0.1)
        self.assertEqual(self.guard.completed, [0])
        self.watch.observe_unframed_end(self.requests[1], SERVER)
        self.watch.observe_replaced(SERVER)
        await asyncio.sleep(0.1)
        self.assertEqual(self.guard.completed, [0])
        self.assertEqual(self.list_crashed(), [1, 2])

    async def test_bodies_of_broken_requests_are_not_kept(self):
        # Guards against memory that callers who leave silent answers could take.
        request = weakref.ref(self.requests[0])
        self.watch.observe_abandoned(self.requests[0], SERVER)
        self.requests.clear()
        self.assertIsNone(request())

    async def test_number_of_runs_is_bounded(self):
        for number in range(2 * _crash_watch.MAX_RUNS):
            server = replace(SERVER, server_id=f"t{number}")
            exch = self.make_request(number)
            self.watch.observe_begin(exch, server)
            self.watch.observe_broken(exch, server)
        self.assertLessEqual(len(self.watch._runs), _crash_watch.MAX_RUNS)


if __name__ == "__main__":
    unittest.main()
