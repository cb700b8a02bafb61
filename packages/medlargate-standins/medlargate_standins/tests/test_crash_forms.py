"""Short seeded runs of the forms in which requests crash engines, on real nodes."""

import unittest

from ..soak._crash_forms import load_crash_forms
from ..soak._crash_run import run_crash_form


class CrashFormTest(unittest.IsolatedAsyncioTestCase):
    """Few engines crash under a prompt part, and no sound request is refused."""

    async def run_form(self, name, seed=1, min_sound=100):
        report = await run_crash_form(load_crash_forms()[name], seed, seconds=10.0)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.n_sound, min_sound)

    async def test_part_that_crashes_engines_at_the_first_event(self):
        await self.run_form("first-event")

    async def test_part_that_crashes_engines_in_prefill(self):
        await self.run_form("prefill")

    async def test_part_that_crashes_engines_at_any_event_and_was_sound_before(self):
        await self.run_form("any-event-once-sound")

    async def test_part_under_which_machines_are_lost(self):
        await self.run_form("machine-lost")

    async def test_part_under_which_machines_are_lost_and_replaced_at_once(self):
        await self.run_form("machine-replaced")

    async def test_part_whose_engines_accept_connections_again_at_once(self):
        await self.run_form("back-at-once")

    async def test_last_part_that_the_requests_of_a_session_share(self):
        await self.run_form("session-any-event")

    async def test_two_parts_that_crash_engines_at_any_event(self):
        await self.run_form("two-parts")

    async def test_part_beside_parts_that_were_never_answered(self):
        await self.run_form("unfinished-streams", min_sound=30)

    async def test_lost_domains_block_no_part_that_was_never_answered(self):
        await self.run_form("unfinished-domain-losses", seed=3, min_sound=30)

    async def test_lost_domains_block_no_sound_part(self):
        await self.run_form("domain-losses")


if __name__ == "__main__":
    unittest.main()
