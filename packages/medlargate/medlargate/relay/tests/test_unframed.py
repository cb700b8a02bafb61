"""Streams with neither a length nor chunks, which end with their connection."""

import asyncio

from .. import _crash_watch
from .test_relay import RelayCase


class UnframedStreamTest(RelayCase):
    async def test_stream_that_ends_after_an_event_is_complete(self):
        self.set_behaviour("engine", lambda _: "unframed")
        reply = await self.world.call("/once-stream/x")
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.body.count(b"id: "), 4)

    async def end_unframed(self, n_events, *, crashes):
        """Let a stream end by its connection; return the parts it shows as sound."""
        for name in ("e1", "e2"):
            self.world.backends[name].n_events = n_events
        await self.world.call("/once-stream/x", Prompt_Prefix="a:1,b:1")
        sound_at = self.node.crash_guard.parts.sound_at
        self.assertEqual(list(sound_at), [])
        if crashes:
            for server in list(self.node.cluster_state.servers.values()):
                self.node.crash_watch.observe_replaced(server)
        await asyncio.sleep(0.3)
        return list(sound_at)

    async def test_end_shows_that_the_parts_are_sound_unless_the_server_crashed(self):
        self.set_behaviour("engine", lambda _: "unframed")
        delay, _crash_watch.UNFRAMED_DELAY = _crash_watch.UNFRAMED_DELAY, 0.2
        self.addCleanup(setattr, _crash_watch, "UNFRAMED_DELAY", delay)
        for n_events in (1, 4):
            self.assertEqual(await self.end_unframed(n_events, crashes=True), [])
        # A last part is remembered only while it is suspected.
        sound = await self.end_unframed(1, crashes=False)
        self.assertEqual(set(sound) - {"b"}, {"a"})

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        self.set_behaviour("engine", lambda _: "unframed-half:3")
        reply = await self.world.call("/once-stream/x")
        self.assertEqual((reply.status, reply.complete), (200, False))
        self.assertEqual(reply.body.count(b"id: "), 2)

    async def test_resumed_stream_that_ends_inside_its_first_event_is_broken_off(self):
        kinds = iter(("unframed-half:3", "unframed-half:3", "ok"))
        self.set_behaviour("engine", lambda _: next(kinds))
        reply = await self.world.call("/resume-stream/x")
        self.assertEqual((reply.status, reply.complete), (200, False))

    async def test_empty_rest_of_a_resumed_stream_is_broken_off(self):
        kinds = iter(("cut:3", "unframed-half:3"))
        self.set_behaviour("engine", lambda _: next(kinds).replace("half:3", "empty"))
        reply = await self.world.call("/resume-stream/x")
        self.assertEqual((reply.status, reply.complete), (200, False))
