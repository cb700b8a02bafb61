"""Stateful fuzz test of the scheduler, the crash tracker and the retry policy."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from medlargate_standins.fuzzing import make_fuzz_settings

from .. import (
    Assignment,
    BackendView,
    ConcurrencyLimit,
    CrashTracker,
    Job,
    PoolScheduler,
    Preemption,
    RequestStates,
    RetryBudget,
    Shed,
    Verdict,
    decide_retry,
)
from .._lookahead import compute_latest_start
from .._scheduler import MAX_RESUME_WAIT, REFUSAL_AND_PREEMPTION_INTERVAL

CLASSES = {"top": 0, "mid": 1, "mid2": 1, "low": 3}
CUSTOMERS = ("a", "b", "c")
BACKENDS = {"e1": False, "e2": False, "cheap": True}
LIMIT = 2
EPSILON = 1e-6


class SchedulerMachine(RuleBasedStateMachine):
    """Drives the scheduler, crash tracker and retry policy through random events.

    The machine keeps its own record of waiting, running and ended requests and checks
    every decision against it.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.scheduler = PoolScheduler("m")
        for name, cheap in BACKENDS.items():
            view = BackendView(name, f"fd-{name}", cheap, ConcurrencyLimit(LIMIT))
            self.scheduler.views[name] = view
        self.budget = RetryBudget()
        self.crashes = CrashTracker()
        self.n_jobs = 0
        self.n_successes = 0
        self.n_retries = 0
        self.waiting = {}
        self.placed = {}
        self.states = {}
        self.jobs = {}
        self.n_attempts = {}
        self.executed = {}
        self.ended = {}
        self.crashed_by = {}

    # Oracle

    def check_decisions(self, decisions):
        for decision in decisions:
            match decision:
                case Assignment():
                    self.check_assignment(decision)
                case Shed():
                    self.check_shed(decision)
                case Preemption():
                    self.check_preemption(decision)

    def check_assignment(self, decision):
        job, view = decision.job, self.scheduler.views[decision.backend]
        assert job.request_id in self.waiting
        del self.waiting[job.request_id]
        assert decision.backend not in job.excluded_backends
        assert job.cheap_allowed or not view.cheap
        assert view.state not in ("leaving", "gone")
        assert self.now >= view.down_until
        assert decision.reason == "probe" or view.state != "ejected"
        if decision.reason in ("tier", "overflow"):
            self.check_order(job, view, decision)
        if not job.repeatable:
            verdict = self.states[job.request_id].verdict
            assert verdict is Verdict.NOT_RUN, "a second run was possible"
        self.placed[job.request_id] = decision.backend
        self.n_attempts[job.request_id] += 1
        states = self.states[job.request_id]
        if states.state == "queued":
            states.observe("assign")
        states.observe("write")
        if job.isolated:
            others = [r for r, b in self.placed.items() if b == decision.backend]
            suspects = [r for r in others if self.jobs[r].isolated]
            assert suspects == [job.request_id], "suspects share a server"

    def check_order(self, job, view, decision):
        """Check that no next request of a higher tier could have had this slot."""
        heads = [
            head
            for class_queue in self.scheduler.state.class_queues.values()
            for head in class_queue.requests.list_head_jobs(99)
        ]
        for other in heads:
            free = other.cheap_allowed or not view.cheap
            fits = view.name not in other.excluded_backends and not other.isolated
            if other.tier < job.tier and free and fits:
                raise AssertionError(
                    f"tier {job.tier} went before {other.tier}: {decision}, {other}, "
                    f"{view.snapshot()} at {self.now}"
                )

    def check_shed(self, decision):
        job = decision.job
        self.waiting.pop(job.request_id, None)
        states = self.states[job.request_id]
        if job.resumed:
            assert self.now - job.requeued_at > MAX_RESUME_WAIT
            states.observe("fail")
        else:
            states.observe("refuse")
        assert decision.verdict is states.verdict
        self.check_not_run(job)
        self.ended[job.request_id] = states.verdict
        lower = [other for other in self.waiting.values() if other.tier > job.tier]
        if decision.code == "deadline" and lower and not job.resumed:
            latest = compute_latest_start(self.scheduler.state, job)
            assert self.now >= latest - EPSILON, "shed early while a lower tier waits"
        if decision.code == "queue_full":
            assert not lower

    def check_not_run(self, job):
        if self.states[job.request_id].verdict is Verdict.NOT_RUN:
            assert not self.executed.get(job.request_id), "not_run, but it ran"

    def check_preemption(self, decision):
        victim = decision.victim
        other = self.waiting[decision.beneficiary]
        assert victim.repeatable
        assert victim.tier > other.tier or (
            victim.tier == other.tier and victim.customer != other.customer
        )
        self.end_attempt(victim, resumed=True)

    def end_attempt(self, job, *, resumed):
        """End an attempt that may have run, and queue its job again."""
        self.states[job.request_id].observe("resend")
        self.scheduler.observe_dispatch_end(job, self.now, completed=False)
        del self.placed[job.request_id]
        job.resumed = job.resumed or resumed
        self.scheduler.observe_requeue(job, self.now)
        self.waiting[job.request_id] = job

    def run_scheduler(self):
        self.check_decisions(self.scheduler.decide(self.now))

    def pick_running(self, index):
        return sorted(self.placed)[index % len(self.placed)]

    # Steps

    @rule(
        cls=st.sampled_from(sorted(CLASSES)),
        customer=st.sampled_from(CUSTOMERS),
        time_to_deadline=st.sampled_from([0.2, 1.0, 5.0]),
        repeatable=st.booleans(),
        cheap=st.booleans(),
        poison=st.integers(0, 9),
    )
    def arrive(self, cls, customer, time_to_deadline, repeatable, cheap, poison):
        self.n_jobs += 1
        request_id = f"r{self.n_jobs:04d}"
        fingerprint = "poison" if poison == 0 else request_id
        crash = self.crashes.decide(fingerprint, self.now)
        if not crash.run:
            return
        job = Job(
            request_id=request_id,
            customer=customer,
            class_name=cls,
            pool="m",
            tier=CLASSES[cls],
            arrived_at=self.now,
            deadline=self.now + time_to_deadline,
            work=50.0,
            repeatable=repeatable,
            cheap_allowed=cheap,
            fingerprint=fingerprint,
            isolated=crash.isolated,
        )
        self.jobs[request_id] = job
        self.n_attempts[request_id] = 0
        self.states[request_id] = RequestStates()
        self.states[request_id].observe("enqueue")
        shed = self.scheduler.observe_arrival(job, self.now)
        if shed is not None:
            self.check_shed(shed)
        else:
            self.waiting[request_id] = job
        self.run_scheduler()

    @rule(
        cls=st.sampled_from(sorted(CLASSES)),
        customer=st.sampled_from(CUSTOMERS),
        n=st.integers(4, 9),
        time_to_deadline=st.sampled_from([1.0, 5.0]),
    )
    def flood(self, cls, customer, n, time_to_deadline):
        for _ in range(n):
            self.arrive(cls, customer, time_to_deadline, True, True, 1)

    @precondition(lambda self: self.placed)
    @rule(seconds=st.sampled_from([0.3, 2.0]))
    def serve(self, seconds):
        """Deliver a first token on every stream, advance time, and end half of them."""
        for request_id in sorted(self.placed):
            self.scheduler.observe_first_token(self.jobs[request_id], 0.05)
        self.now += seconds
        for index, request_id in enumerate(sorted(self.placed)):
            if index % 2 == 0 and request_id in self.placed:
                self.finish(sorted(self.placed).index(request_id), 50)

    @precondition(lambda self: self.placed)
    @rule(index=st.integers(0, 99), tokens=st.integers(1, 400))
    def finish(self, index, tokens):
        request_id = self.pick_running(index)
        job = self.jobs[request_id]
        self.executed[request_id] = self.executed.get(request_id, 0) + 1
        self.states[request_id].observe("finish")
        self.scheduler.observe_dispatch_end(job, self.now, work=float(tokens))
        del self.placed[request_id]
        self.n_successes += 1
        self.budget.observe_success()
        self.crashes.observe_success(job.fingerprint)
        self.ended[request_id] = self.states[request_id].verdict
        assert job.repeatable is True or self.executed[request_id] == 1
        self.run_scheduler()

    @precondition(lambda self: self.placed)
    @rule(index=st.integers(0, 99), elapsed=st.floats(0.01, 0.5))
    def deliver(self, index, elapsed):
        job = self.jobs[self.pick_running(index)]
        self.scheduler.observe_first_token(job, elapsed)

    @precondition(lambda self: self.placed)
    @rule(index=st.integers(0, 99), ran=st.booleans())
    def lose_answer(self, index, ran):
        request_id = self.pick_running(index)
        self.executed[request_id] = self.executed.get(request_id, 0) + ran
        self.fail(request_id, Verdict.MAY_HAVE_RUN, "resend")

    @precondition(lambda self: self.placed)
    @rule(index=st.integers(0, 99))
    def refuse_connection(self, index):
        request_id = self.pick_running(index)
        self.scheduler.observe_failure(self.placed[request_id], self.now)
        self.fail(request_id, Verdict.NOT_RUN, "connect_failure")

    def fail(self, request_id, verdict, event):
        job, states = self.jobs[request_id], self.states[request_id]
        states.observe(event)
        self.scheduler.observe_dispatch_end(job, self.now, completed=False)
        job.excluded_backends.add(self.placed.pop(request_id))
        decision = decide_retry(
            job,
            verdict,
            n_attempts=self.n_attempts[request_id],
            budget=self.budget,
            now=self.now,
        )
        crash = self.crashes.decide(job.fingerprint, self.now)
        if not decision.should_retry or not crash.run:
            end = "refuse" if states.verdict is Verdict.NOT_RUN else "fail"
            states.observe(end)
            self.check_not_run(job)
            self.ended[request_id] = states.verdict
            self.n_retries += decision.should_retry
        else:
            self.n_retries += 1
            job.isolated = crash.isolated
            job.resumed = states.verdict is not Verdict.NOT_RUN
            self.scheduler.observe_requeue(job, self.now)
            self.waiting[request_id] = job
        self.run_scheduler()

    @rule(name=st.sampled_from(sorted(BACKENDS)), announced=st.booleans())
    def crash(self, name, announced):
        running = [r for r, backend in self.placed.items() if backend == name]
        fingerprints = [self.jobs[r].fingerprint for r in running]
        known = {e["fingerprint"]: len(e["backends"]) for e in self.crashes.snapshot()}
        marked = self.crashes.observe_crash(
            name, fingerprints, now=self.now, domain=f"fd-{name}", announced=announced
        )
        assert not (announced and marked)
        assert set(marked) <= set(fingerprints)
        for fingerprint in marked:
            assert known.get(fingerprint, 0) < 2, "a quarantined request ran"
        self.scheduler.observe_failure(name, self.now)
        for request_id in running:
            if request_id in self.placed:
                self.fail(request_id, Verdict.MAY_HAVE_RUN, "resend")

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 99))
    def cancel(self, index):
        request_id = sorted(self.waiting)[index % len(self.waiting)]
        self.scheduler.observe_cancel(self.waiting.pop(request_id), self.now)
        self.ended[request_id] = self.states[request_id].verdict

    @rule(
        name=st.sampled_from(sorted(BACKENDS)),
        event=st.sampled_from(["leave", "rejoin"]),
    )
    def leave_or_rejoin(self, name, event):
        self.scheduler.views[name].observe(event)
        self.run_scheduler()

    @rule(name=st.sampled_from(sorted(BACKENDS)), load=st.integers(0, LIMIT))
    def change_remote_load(self, name, load):
        self.scheduler.views[name].others = load
        self.run_scheduler()

    @rule(share=st.integers(0, LIMIT), name=st.sampled_from(sorted(BACKENDS)))
    def change_share(self, share, name):
        self.scheduler.views[name].share = share
        self.run_scheduler()

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.3, 2.0, 20.0, 150.0]))
    def advance(self, seconds):
        self.now += seconds
        self.run_scheduler()

    # Checks

    @invariant()
    def slots_are_counted_once(self):
        for name, view in self.scheduler.views.items():
            assert view.in_flight == sum(b == name for b in self.placed.values())
            suspects = [r for r, b in self.placed.items() if b == name]
            assert view.n_suspects == sum(self.jobs[r].isolated for r in suspects)
        assert set(self.scheduler.running) == set(self.placed)
        assert self.scheduler.state.n_waiting == len(self.waiting)

    @invariant()
    def nobody_waits_past_the_deadline(self):
        for job in self.waiting.values():
            late = self.now - job.deadline
            assert job.resumed or late <= REFUSAL_AND_PREEMPTION_INTERVAL + EPSILON

    @invariant()
    def the_retry_budget_is_kept(self):
        allowed = 20 + 0.1 * self.n_successes + 0.2 * self.now
        assert self.n_retries <= allowed + EPSILON


class SchedulerFuzzTest(SchedulerMachine.TestCase):
    settings = make_fuzz_settings(n_long=20_000)


class TierOrderTest(unittest.TestCase):
    """Replays events that ``SchedulerFuzzTest`` found with another draw."""

    def test_requeued_job_does_not_precede_a_higher_tier(self):
        """An attempt fails while a request of a higher tier is queued."""
        machine = SchedulerMachine()
        machine.arrive("top", "a", 0.2, False, False, 0)
        machine.serve(0.3)
        machine.flood("mid2", "a", 6, 1.0)
        machine.deliver(1, 0.03125)
        machine.flood("top", "c", 7, 5.0)
        machine.serve(0.3)
        machine.arrive("mid2", "b", 5.0, False, True, 0)
        machine.serve(2.0)
        machine.flood("top", "c", 4, 1.0)
        machine.lose_answer(0, False)


if __name__ == "__main__":
    unittest.main()
