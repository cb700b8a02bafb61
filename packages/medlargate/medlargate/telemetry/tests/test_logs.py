"""Non-blocking log output, and request paths reconstructed from log lines."""

import asyncio
import logging
import os
import unittest

import orjson
from click.testing import CliRunner
from medlargate_standins.relay_testbed import RelayTestbed

from medlargate._cli import main
from medlargate.telemetry import LineWriter, explain_request, write_logs_to


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer_fd = os.pipe()
        self.writer = LineWriter(self.writer_fd, {"node": "n1"})

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer_fd)

    def test_a_stalled_reader_does_not_block_the_writer(self):
        for number in range(20_000):
            self.writer.write(f"kind{number}", {"message": "x", "pad": "y" * 100})
        self.assertGreater(self.writer.n_dropped, 0)

    def test_lines_beyond_the_rate_limit_are_dropped_and_counted(self):
        for _ in range(1000):
            self.writer.write("same", {"message": "x"})
        self.assertEqual(self.writer.n_dropped, 800)

    def test_a_closed_reader_raises_no_error(self):
        os.close(self.reader)
        self.reader, spare = os.pipe()
        self.writer.write("kind", {"message": "x"})
        self.writer.flush()
        os.close(spare)

    def test_logging_records_are_written_as_json_lines(self):
        root = logging.getLogger()
        handlers, level, disabled = root.handlers[:], root.level, logging.root.manager
        before = disabled.disable
        logging.disable(logging.NOTSET)
        try:
            write_logs_to(self.writer_fd, node="n2")
            logging.getLogger("a").warning("seen", extra={"server": "s1"})
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
            logging.disable(before)
        row = orjson.loads(os.read(self.reader, 65_536))
        self.assertEqual((row["message"], row["server"]), ("seen", "s1"))
        self.assertEqual(row["node"], "n2")


class ContradictionTest(unittest.TestCase):
    @staticmethod
    def explain(*rows):
        return explain_request(
            (
                orjson.dumps({"time": time, "request": "r1", **row}).decode()
                for time, row in enumerate(rows)
            ),
            "r1",
        )

    def test_refusal_that_denies_what_another_node_reports_is_pointed_out(self):
        forward = {"node": "n1", "message": "forward", "peer": "n2"}
        ran = {"node": "n2", "message": "end", "verdict": "may_have_run"}
        denied = {"node": "n1", "message": "end", "verdict": "not_run"}
        report = self.explain(forward, ran, denied)
        self.assertEqual(
            report[-1], "contradiction: n1 says not_run, n2 says may_have_run"
        )

    def test_refusal_before_another_node_served_is_no_contradiction(self):
        forward = {"node": "n1", "message": "forward", "peer": "n2"}
        refused = {"node": "n2", "message": "end", "verdict": "not_run"}
        served = {"node": "n3", "message": "end", "verdict": "ran"}
        end = {"node": "n1", "message": "end", "verdict": "ran", "outcome": "ok"}
        report = self.explain(forward, refused, forward, served, end)
        self.assertEqual(report[-1], "cause: answered by a backend server")


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """The ``explain`` command of docs/OPERATIONS.md on log lines of a real run."""

    async def asyncSetUp(self):
        self.world = RelayTestbed()
        await self.world.start()
        self.lines = []
        node = self.world.nodes[0]

        def write(kind, fields):
            row = {"time": len(self.lines), "node": "n1", **fields}
            self.lines.append("  1.0 n1 " + orjson.dumps(row).decode())

        node.writer.write = write

    async def asyncTearDown(self):
        await self.world.close()

    def behave(self, behaviour):
        for backend in self.world.backends.values():
            backend.behaviour = behaviour

    async def explain(self, path, **more):
        await self.world.call(path, request_id="r1", **more)
        await asyncio.sleep(0.05)
        return explain_request(self.lines, "r1")

    async def test_a_request_without_a_server(self):
        for name in ("p1", "p2"):
            self.world.unregister(self.world.backends[name])
        await asyncio.sleep(0.2)
        report = await self.explain("/book/x")
        self.assertIn("no backend server of the service was known", report[-1])

    async def test_a_502_after_a_lost_answer(self):
        self.behave(lambda _: "reset")
        report = await self.explain("/book/x")
        self.assertIn("may have run it", report[-1])
        self.assertTrue(any(" fault " in line for line in report))

    async def test_an_interrupted_stream(self):
        self.behave(lambda _: "cut:3")
        report = await self.explain("/once-stream/x")
        self.assertIn("broke off", report[-1])
        self.assertIn("n_events=2", report[-2])

    async def test_the_explain_command(self):
        await self.explain("/read/x")
        result = CliRunner().invoke(
            main, ["explain", "r1"], input="\n".join(self.lines)
        )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("cause: answered by a backend server", result.output)
        result = CliRunner().invoke(main, ["explain", "r9"], input="")
        self.assertEqual(result.exit_code, 1)
