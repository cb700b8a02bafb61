"""Slot acquisition and retry handling for attempts on backend servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..policy import Assignment, Preemption, Refusal, Verdict, decide_retry
from ._backend_client import BackendFault
from ._exchange import Exchange

if TYPE_CHECKING:
    from ._node import Node

FAULT_EVENTS = {
    "connect": "connect_failure",
    "refused": "backend_refusal",
    "rejected": "backend_refusal",
}


async def acquire(node: Node, exch: Exchange) -> Assignment:
    """Wait for a slot on a backend server and record the dispatch.

    A request that is suspected of crashing backend servers is isolated first.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        Request to dispatch.

    Returns
    -------
    Assignment
        Backend server chosen for the request. The caller must call
        ``node.release`` when the attempt ends.

    Raises
    ------
    Refusal
        The scheduler refused the request, the request is quarantined, or the
        caller's key was withdrawn while the request was waiting.
    """

    def on_preempt(decision: Preemption) -> None:
        exch.preempted = True
        exch.record("preemption", beneficiary=decision.beneficiary)
        node.watchdog.close_response(exch.request_id)

    requeued = exch.n_attempts > 0
    if node.crashes.has_record(exch.job.fingerprint):
        await node.isolate_suspect(exch)
    if not requeued:
        exch.states.observe("enqueue")
    try:
        assignment = await node.dispatcher.acquire(
            exch.job, requeued=requeued, on_preempt=on_preempt
        )
    except Refusal as exc:
        # The scheduler's verdict covers only the current attempt. The state chart
        # also covers earlier attempts, which may have run.
        exc.verdict = exch.make_failure(exc.status, exc.code, exc.message).verdict
        exch.record("refusal", code=exc.code, **exc.reasons)
        raise
    if exch.states.state == "queued":
        exch.states.observe("assign")
    if node.is_key_withdrawn(exch):
        node.dispatcher.release(exch.job, completed=False)
        raise exch.make_failure(403, "key_withdrawn", "the key was withdrawn")
    exch.n_attempts += 1
    exch.backend = assignment.backend
    exch.preempted = exch.stalled = False
    if exch.queue_wait is None:
        exch.queue_wait = exch.elapsed()
    exch.record(
        "dispatch",
        backend=assignment.backend,
        reason=assignment.reason,
        candidates=assignment.candidates[:8],
    )
    return assignment


def prepare_retry(node: Node, exch: Exchange, fault: BackendFault) -> None:
    """Prepare the next attempt after a failed one, or end the request.

    A preempted request is resumed without using the retry budget. Any other
    request is retried on a different backend server if ``decide_retry`` allows it.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        Request whose attempt failed.
    fault : BackendFault
        Failure of the last attempt.

    Raises
    ------
    Refusal
        No further attempt is made. The verdict of the refusal comes from the
        request's state chart and covers all attempts.
    """
    if exch.key_withdrawn:
        raise exch.make_failure(403, "key_withdrawn", "the key was withdrawn")
    event = FAULT_EVENTS.get(fault.kind, "resend")
    exch.states.observe(event)
    if fault.kind == "rejected":
        raise exch.make_failure(400, "rejected", f"the engine {fault.message}")
    if exch.preempted:
        exch.job.resumed = True
        return
    exch.job.excluded_backends.add(exch.backend)
    decision = decide_retry(
        exch.job,
        fault.verdict,
        n_attempts=exch.n_attempts,
        budget=node.retry_budget,
        now=time.monotonic(),
        delivered=exch.n_tokens > 0,
    )
    exch.record(
        "retry", again=decision.should_retry, reason=decision.reason, fault=fault.kind
    )
    if not decision.should_retry:
        message = f"backend server failed: {fault.message} ({decision.reason})"
        raise exch.make_failure(502, f"backend_{fault.kind}", message)
    node.metrics.observe_retry(fault.kind)
    exch.job.resumed = exch.verdict is not Verdict.NOT_RUN
