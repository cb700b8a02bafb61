"""Tests of the reload of a changed settings file while requests run."""

import asyncio
import unittest

from medlargate_standins.relay_testbed import RelayTestbed

from medlargate._settings import Settings, SettingsError, SettingsFault

from .._reload import decide_reload

NODE = {"name": "n1", "failure_domain": "fd-a", "address": "127.0.0.1"}
INGRESS = {"frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2"}


def make_settings(**ingress):
    return Settings.model_validate(
        {
            "node": NODE,
            "platform": {"endpoint": "127.0.0.1:3"},
            "ingress": {**INGRESS, **ingress},
        }
    )


class DecideTest(unittest.TestCase):
    def test_nothing_changed(self):
        old = make_settings()
        self.assertIs(decide_reload(old, make_settings()).settings, old)

    def test_live_fields_are_applied_and_others_wait_for_a_restart(self):
        new = make_settings(retry_slack=7, frontend="127.0.0.1:9")
        got = decide_reload(make_settings(), new)
        self.assertEqual(got.live, ("ingress.retry_slack",))
        self.assertEqual(got.at_start, ("ingress.frontend",))
        self.assertEqual(got.settings.ingress.retry_slack, 7)
        self.assertEqual(got.settings.ingress.frontend, "127.0.0.1:1")


class NodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = RelayTestbed()
        await self.world.start()
        self.node = self.world.nodes[0]

    async def asyncTearDown(self):
        await self.world.close()

    def reload(self, **ingress):
        old = self.node.settings
        part = old.ingress.model_copy(update=ingress)
        self.node._read_settings = lambda: old.model_copy(update={"ingress": part})
        self.node._reload_settings()

    async def test_reload_keeps_running_requests_and_counted_retries(self):
        self.world.backends["e1"].pause = self.world.backends["e2"].pause = 0.1
        call = asyncio.create_task(self.world.call("/once-stream/x"))
        await asyncio.sleep(0.15)
        budget = self.node._get_retry_budget("engine")
        budget.spend(0.0, n_nodes=1)
        self.reload(retry_slack=3.0, retry_ratio=0.0)
        self.assertIs(self.node._get_retry_budget("engine"), budget)
        self.assertEqual((budget.slack, len(budget._retries)), (3.0, 1))
        reply = await call
        self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_invalid_file_changes_nothing(self):
        def fail():
            raise SettingsError([SettingsFault("f.yaml", 3, "node.name", "too long")])

        before = self.node.settings
        self.node._read_settings = fail
        self.node._reload_settings()
        self.assertIs(self.node.settings, before)
        self.assertEqual((await self.world.call("/read/x")).status, 200)
