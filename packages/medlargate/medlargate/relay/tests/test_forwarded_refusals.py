"""Refusals of forwarded requests that deny that a request has run."""

import unittest

from medlargate.policy import Refusal, Verdict
from medlargate.relay._forwarding import make_refusal_notice
from medlargate.relay._request_handler import _make_truthful

from .test_partitioned_nodes import PartitionCase, cut_off


class RefusalTest(unittest.TestCase):
    def test_refusal_does_not_say_by_default_that_nothing_has_run(self):
        with self.assertRaises(TypeError):
            Refusal(504, "timeout", "the deadline passed")

    def test_no_status_promises_what_is_not_known(self):
        for status in (408, 421, 429, 503):
            for verdict in (Verdict.MAY_HAVE_RUN, Verdict.RAN):
                for own in Verdict:
                    refusal = Refusal(status, "x", "x", own)
                    self.assertEqual(_make_truthful(refusal, verdict).status, 502)
                refusal = Refusal(status, "x", "x", verdict)
                truthful = _make_truthful(refusal, Verdict.NOT_RUN)
                self.assertEqual((truthful.status, truthful.verdict), (502, verdict))

    def test_refusal_of_a_request_that_was_not_sent_is_kept(self):
        refusal = Refusal(503, "x", "x", Verdict.NOT_RUN, retry_after=1.0)
        self.assertIs(_make_truthful(refusal, Verdict.NOT_RUN), refusal)


class ForwardedRefusalsTest(PartitionCase):
    """Another node ends a forwarded request whose server has begun to run it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        cut_off(self.world.nodes[0])
        for backend in self.world.backends.values():
            backend.behaviour = lambda _: "silent"

    def let_others_refuse(self, status, headers):
        """Let the other nodes answer so once a server runs the request."""

        async def handle(req, responder, *, forwarded):
            del forwarded
            self.world.backends["p1"].runs[req.get("attempt-id")] += 1
            rows = [(b"Attempt-Id", req.get("attempt-id").encode()), *headers]
            await responder.send(status, rows, b"")

        for node in self.world.nodes[1:]:
            node.request_handler.handle = handle

    async def assert_not_denied(self):
        request_id = self.world.make_request_id()
        reply = await self.world.call("/book/x", request_id=request_id)
        self.assertIn(reply.status, (502, 504))
        self.assertIn(b'"run":"may_have_run"', reply.body)
        self.assertEqual(self.n_runs(request_id), 1)

    async def test_timeout_that_an_older_build_reports_as_not_run(self):
        notice = make_refusal_notice(Refusal(504, "timeout", "", Verdict.NOT_RUN))
        self.let_others_refuse(504, notice)
        await self.assert_not_denied()

    async def test_refusal_with_a_verdict_that_is_not_known(self):
        refusal = Refusal(503, "other", "", Verdict.MAY_HAVE_RUN)
        self.let_others_refuse(503, make_refusal_notice(refusal)[:1])
        await self.assert_not_denied()

    async def test_refusal_without_a_verdict(self):
        self.let_others_refuse(503, [])
        await self.assert_not_denied()


if __name__ == "__main__":
    unittest.main()
