"""A node that starts keeps to the signals that it gets before it can serve."""

import asyncio
import errno
import os
import random
import signal
import tempfile
import unittest
import urllib.request
from pathlib import Path

import yaml

from ..cluster import Cluster
from ..soak._fleet import Fleet

FIRST_READ_TIMEOUT = 10.0  # seconds
LOG_TIMEOUT = 10.0  # seconds


class ReloadAtStartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that SIGHUP ends during the imports of its start."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(1, random.Random(1))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(Path(folder.name))
        self.node = self.fleet.nodes[0]
        self.node.send_signal(signal.SIGKILL)
        await self.node.wait_exit(5.0)
        self.node.logs.write_text("")

    async def open_pipe(self, path):
        """Open the pipe in place of the settings file once the node reads it."""
        async with asyncio.timeout(FIRST_READ_TIMEOUT):
            while True:
                try:
                    return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError as exc:
                    if exc.errno != errno.ENXIO:
                        raise
                await asyncio.sleep(0.01)

    async def wait_for_line(self, text):
        """Return the first log line with a text; lines are written in batches."""
        async with asyncio.timeout(LOG_TIMEOUT):
            while True:
                for line in self.node.logs.read_text().splitlines():
                    if text in line:
                        return line
                await asyncio.sleep(0.05)

    async def test_reload_during_the_start_is_carried_out_after_it(self):
        settings = self.node.settings
        before = settings.read_text()
        changed = yaml.safe_load(before)
        changed["ingress"]["retry_slack"] = 7
        settings.unlink()
        os.mkfifo(settings)
        self.node.start()
        pipe = await self.open_pipe(settings)
        self.node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        os.write(pipe, before.encode())
        other = settings.with_suffix(".new")
        other.write_text(yaml.safe_dump(changed))
        other.replace(settings)
        os.close(pipe)
        self.assertTrue(await self.fleet.wait_ready(self.node), self.node.popen.poll())
        line = await self.wait_for_line("settings taken in")
        self.assertIn("ingress.retry_slack", line)


class GatewayReloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a gateway that a reload signal ends in the midst of requests."""

    async def test_gateway_serves_on_after_a_reload_signal(self):
        cluster = Cluster(n_nodes=1, n_engines=1, n_services=1)
        self.addCleanup(cluster.close)
        await cluster.start()
        node = cluster.nodes[0]
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertIsNone(node.popen.poll())
        url = node.url + "/readyz"
        with await asyncio.to_thread(urllib.request.urlopen, url) as resp:
            self.assertEqual(resp.status, 200)


if __name__ == "__main__":
    unittest.main()
