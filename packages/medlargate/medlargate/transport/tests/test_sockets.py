"""Tests of the socket options that detect unreachable peers."""

import asyncio
import socket
import unittest

from medlargate.transport._sockets import set_liveness_options

OPTIONS = ("USER_TIMEOUT", "KEEPIDLE", "KEEPINTVL", "KEEPCNT")


def count_lost_probes(user_timeout, idle, interval, max_probes):
    """Return how many unanswered probes end an idle connection on Linux.

    With a user timeout, given in milliseconds, the connection ends at the first probe
    time after it at which a probe is out, whatever the number of probes.
    """
    n_lost = 1
    while True:
        elapsed = idle + n_lost * interval
        if elapsed * 1000 >= user_timeout if user_timeout else n_lost >= max_probes:
            return n_lost
        n_lost += 1


class LivenessOptionsTest(unittest.IsolatedAsyncioTestCase):
    async def get_options(self):
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1"
        )
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        set_liveness_options(writer.transport)
        sock = writer.get_extra_info("socket")
        values = [
            sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, f"TCP_{name}"))
            for name in OPTIONS
        ]
        writer.close()
        server.close()
        return values

    async def test_one_lost_probe_does_not_end_an_idle_connection(self):
        self.assertGreaterEqual(count_lost_probes(*await self.get_options()), 2)

    async def test_unreachable_peer_is_detected_within_five_seconds(self):
        options = await self.get_options()
        _, idle, interval, _ = options
        self.assertLessEqual(idle + count_lost_probes(*options) * interval, 5)

    async def test_user_timeout_and_probes_agree(self):
        user_timeout, idle, interval, max_probes = await self.get_options()
        self.assertEqual(user_timeout, 1000 * (idle + interval * max_probes))


if __name__ == "__main__":
    unittest.main()
