"""Estimates of how fast backend servers work now, and the choice among similar ones.

Load pattern: servers run on machines that are shared with other programs. Each is slow
at different times, and many nodes learn at the same time that a server has become slow
or fast. Servers report the slowness of their machine with each response. A node smooths
these reports, corrects them by measured times, and lets them decay to the usual value
once no newer report comes. Predictions carry an error that grows with the age of the
report, and the choice is random among servers whose predictions differ by less, so that
nodes with the same knowledge do not all choose the same server.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeVar

Option = TypeVar("Option")

# A machine's speed changes many times a second. Reports are averaged over this time, so
# that a lasting change is learned from the next few responses.
REPORT_SMOOTHING_TIME = 0.15  # seconds
# Without newer reports, a machine's deviation from its usual speed halves in this time.
REPORT_HALF_LIFE = 10.0  # seconds
# Reports that differ by more than this on average, as a logarithm, say little about the
# next moment and count less.
MAX_DEVIATION = 0.3
MIN_MACHINE_SLOWNESS, MAX_MACHINE_SLOWNESS = 0.2, 10.0
# Predictions from a fresh report are about this far off, relative to the time.
MIN_ERROR = 0.1
ERROR_PER_SECOND = 0.03  # growth of the error with the age of the report
MAX_ERROR = 0.5
ERROR_OF_SILENT = 0.3  # of a server that does not report the slowness of its machine
MIN_TOLERANCE = 0.005  # seconds by which predictions differ for other reasons
# Step of the correction by one measured time. The time of a request that had to queue
# depends on requests that the node does not know.
UNQUEUED_STEP, QUEUED_STEP = 0.2, 0.05
# Error of the lasting slowness, relative to the mean residual of the measured times.
RESIDUAL_ERROR = 0.4
# Additional error before the first measured time; it falls with their number.
UNMEASURED_ERROR = 0.2
# A server that seemed slow by a few unlucky times gets no requests that would show the
# error. Its lasting slowness halves in this time without measured times.
FIXED_HALF_LIFE = 30.0  # seconds
MAX_LOG_RESIDUAL = math.log(4.0)
MIN_FIXED_SLOWNESS, MAX_FIXED_SLOWNESS = 0.3, 10.0
# A response after the target or a pause beyond the limit has a small part of its value.
# The penalty is the delay that is accepted to avoid it.
LATE_PENALTY = 1.0  # seconds
# A server slower than the fastest by this factor gets hardly any requests. It is
# probed by single requests once its report is older than PROBE_AGE, or rarely if its
# machine has the usual speed and it is slow for a lasting reason.
AVOIDED_FACTOR = 1.15
PROBE_AGE = 1.0  # seconds
LASTING_PROBE_AGE = 10.0  # seconds
# Requests that would be late on an avoided server probe it only after this time.
LATE_PROBE_AGE = 4.0  # seconds
MAX_PROBE_LATENESS = 0.5  # probability
# Probes may be late, so that they are bounded as a share of a service's requests.
PROBE_SHARE = 0.04
MAX_SPEEDS = 64  # reports in one status message
# Reports older than this are not sent to other nodes, which have got them before.
MAX_SENT_AGE = 2.0  # seconds
NOTABLE_CHANGE = 0.1  # relative slowness that other nodes are told about


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """Estimated speed of a server at one time.

    Attributes
    ----------
    machine_slowness : float
        Time that work takes on the machine now, relative to the usual time.
    fixed_slowness : float
        Lasting ratio of measured to predicted times.
    error : float
        Relative error of the prediction of a time.
    age : float
        Seconds since the last report.
    """

    machine_slowness: float
    fixed_slowness: float
    error: float
    age: float

    @property
    def slowness(self) -> float:
        """Time that work takes on the server now, relative to the average server."""
        return self.machine_slowness * self.fixed_slowness


@dataclass(slots=True)
class ServerSpeed:
    """Estimator of the speed of one server that reports that of its machine.

    Measured times are fitted to ``fixed * reported ** sensitivity``, so that a server
    whose reports do not agree with its times is predicted by the times.

    Attributes
    ----------
    log_reported : float
        Logarithm of the smoothed reports.
    deviation : float
        Mean difference between a report and the estimate before it, as a logarithm.
    reported_at : float
        Time of the last report, in seconds; minus infinity without reports.
    own_at, own_slowness : float
        Time and value of the last report in a response to this node.
    notable_at : float
        Time of the last own report that differed from the usual value, in seconds.
    log_fixed : float
        Logarithm of the lasting slowness.
    residual : float
        Mean size of the residual of a measured time, as a logarithm.
    n_times : int
        Number of measured times.
    measured_at : float
        Time of the last one, in seconds.
    sensitivity : float
        Share of the reported deviation that measured times show, between 0 and 1.
    """

    log_reported: float = 0.0
    deviation: float = 0.0
    reported_at: float = float("-inf")
    own_at: float = float("-inf")
    own_slowness: float = 1.0
    notable_at: float = float("-inf")
    log_fixed: float = 0.0
    residual: float = 0.0
    n_times: int = 0
    measured_at: float = float("-inf")
    sensitivity: float = 1.0

    @property
    def has_reports(self) -> bool:
        """Whether the server has reported the slowness of its machine."""
        return self.reported_at > float("-inf")

    def observe_own_report(self, slowness: float, now: float) -> None:
        """Store the slowness reported in a response to this node."""
        self.own_slowness, self.own_at = slowness, now
        if abs(slowness - 1.0) > NOTABLE_CHANGE:
            self.notable_at = now
        self.observe_report(slowness, now)

    def observe_report(self, slowness: float, reported_at: float) -> None:
        """Update the estimate of the machine's slowness.

        Parameters
        ----------
        slowness : float
            Reported slowness; 1 is usual.
        reported_at : float
            Time of the report, in seconds. Reports older than the last one are ignored.
        """
        if not slowness > 0 or not reported_at > self.reported_at:
            return
        log_slowness = math.log(
            min(max(slowness, MIN_MACHINE_SLOWNESS), MAX_MACHINE_SLOWNESS)
        )
        elapsed = reported_at - self.reported_at
        weight = 1.0 - math.exp(-elapsed / REPORT_SMOOTHING_TIME)
        change = log_slowness - self.log_reported
        if self.has_reports:
            self.deviation += 0.1 * (abs(change) - self.deviation)
        self.log_reported += weight * change
        self.reported_at = reported_at

    def compute_log_reported(self, now: float) -> float:
        """Return the logarithm of the machine's slowness, decayed to the given time."""
        if not self.has_reports:
            return 0.0
        age = max(0.0, now - self.reported_at)
        weight = min(1.0, MAX_DEVIATION / max(self.deviation, 0.01))
        return weight * self.log_reported * 0.5 ** (age / REPORT_HALF_LIFE)

    def compute_log_fixed(self, now: float) -> float:
        """Return the logarithm of the lasting slowness, decayed to the given time."""
        if not self.n_times:
            return self.log_fixed
        age = max(0.0, now - self.measured_at)
        return self.log_fixed * 0.5 ** (age / FIXED_HALF_LIFE)

    def observe_time(
        self,
        elapsed: float,
        predicted: float,
        *,
        log_sent: float,
        queued: bool,
        now: float,
    ) -> None:
        """Correct the estimate by the measured time of a request.

        Parameters
        ----------
        elapsed, predicted : float
            Measured and predicted time to the first token or answer, in seconds.
        log_sent : float
            ``compute_log_reported`` at the time of the prediction.
        queued : bool
            Whether the request had to wait for others on the server.
        now : float
            Current time in seconds.
        """
        log_mean = (log_sent + self.compute_log_reported(now)) / 2
        residual = math.log(max(elapsed, 0.001) / max(predicted, 0.005))
        residual -= self.sensitivity * (log_mean - log_sent)
        residual = min(max(residual, -MAX_LOG_RESIDUAL), MAX_LOG_RESIDUAL)
        self.log_fixed = self.compute_log_fixed(now)
        self.n_times += 1
        self.measured_at = now
        self.residual += 0.1 * (abs(residual) - self.residual)
        step = QUEUED_STEP if queued else UNQUEUED_STEP
        step *= residual / (1.0 + log_mean * log_mean)
        self.log_fixed = min(
            max(self.log_fixed + step, math.log(MIN_FIXED_SLOWNESS)),
            math.log(MAX_FIXED_SLOWNESS),
        )
        self.sensitivity = min(max(self.sensitivity + step * log_mean, 0.0), 1.0)

    def estimate(self, now: float) -> SpeedEstimate:
        """Return the estimated speed at the given time, in seconds."""
        age = max(0.0, now - self.reported_at)
        error = MIN_ERROR + self.deviation / 4 + ERROR_PER_SECOND * age
        error += RESIDUAL_ERROR * self.residual
        error += UNMEASURED_ERROR / (1 + self.n_times)
        return SpeedEstimate(
            machine_slowness=math.exp(
                self.sensitivity * self.compute_log_reported(now)
            ),
            fixed_slowness=math.exp(self.compute_log_fixed(now)),
            error=min(MAX_ERROR, error) if self.has_reports else ERROR_OF_SILENT,
            age=age,
        )


def compute_late_probability(predicted: float, limit: float, error: float) -> float:
    """Return the probability that a time exceeds its limit.

    Parameters
    ----------
    predicted : float
        Predicted time, in seconds.
    limit : float
        Limit, in seconds; 0 or less if it has passed already.
    error : float
        Relative error of the prediction.

    Returns
    -------
    float
        Probability for times that are log-normally distributed around the prediction.

    Examples
    --------
    >>> compute_late_probability(0.2, 0.2, 0.1)
    0.5
    """
    if limit <= 0:
        return 1.0
    distance = math.log(limit / max(predicted, 0.001))
    return 0.5 * math.erfc(distance / (max(error, 0.01) * math.sqrt(2)))


def choose_similar(
    options: Sequence[Option],
    *,
    get_cost: Callable[[Option], float],
    get_tolerance: Callable[[Option], float],
    get_utilization: Callable[[Option], float],
    random_state: Random,
) -> Option:
    """Choose among the options whose costs do not differ by more than their error.

    Of two options drawn at random, the less utilized one is chosen, so that nodes with
    the same knowledge spread over all of them.

    Parameters
    ----------
    options : sequence
        Options, at least one.
    get_cost, get_tolerance : callable
        Return the cost of an option and the error of the cost, in seconds.
    get_utilization : callable
        Returns the utilization of an option; 1 is full.
    random_state : random.Random
        Source of the draw.

    Returns
    -------
    object
        Chosen option.
    """
    best = min(options, key=get_cost)
    similar = [
        it for it in options if get_cost(it) <= get_cost(best) + get_tolerance(it)
    ]
    drawn = random_state.sample(similar, min(2, len(similar)))
    # A smaller cost within the error must not decide: some servers would never get the
    # requests that show their speed.
    return min(drawn, key=get_utilization)


@dataclass(slots=True)
class ProbeBudget:
    """Requests of a service that may be sent to avoided servers to learn their speed.

    Attributes
    ----------
    credit : float
        Probes that may be sent now, at most 1.
    """

    credit: float = 0.0

    def observe_request(self, *, is_probe: bool = False) -> None:
        """Count a request that was sent, possibly as a probe."""
        credit = 0.0 if is_probe else self.credit
        self.credit = min(1.0, credit + PROBE_SHARE)

    def choose(
        self,
        speeds: Sequence[tuple[str, SpeedEstimate, bool]],
        *,
        random_state: Random,
    ) -> tuple[str, float] | None:
        """Choose a server that the next request may probe.

        Parameters
        ----------
        speeds : sequence of (str, SpeedEstimate, bool)
            Names of the servers, their estimated speed, and whether a probe is under
            way or would have to wait.
        random_state : random.Random
            Source of the choice.

        Returns
        -------
        tuple of (str, float) or None
            Name of an avoided server and the age; None if there is nothing to probe.
        """
        if self.credit < 1.0 or not speeds:
            return None
        fastest = min(it.slowness for _, it, _ in speeds)
        stale = [
            (name, it.age)
            for name, it, is_probed in speeds
            if not is_probed
            and it.slowness > AVOIDED_FACTOR * fastest
            and it.age
            > (PROBE_AGE if it.machine_slowness > AVOIDED_FACTOR else LASTING_PROBE_AGE)
        ]
        return max(stale, key=lambda row: (row[1], random_state.random()), default=None)


def may_probe(probe_age: float | None, lateness: float) -> bool:
    """Return whether a request should probe an avoided server.

    Parameters
    ----------
    probe_age : float or None
        Age of what is known of the server's speed, in seconds; None if the server is
        not to be probed.
    lateness : float
        Probability that the response would be late.

    Returns
    -------
    bool
        False if a request with more time left may come soon.
    """
    if probe_age is None:
        return False
    return lateness < MAX_PROBE_LATENESS or probe_age > LATE_PROBE_AGE


def select_speeds(
    speeds: dict[str, ServerSpeed], now: float
) -> dict[str, tuple[float, float]]:
    """Select the reports that other nodes of the failure domain are told about.

    Parameters
    ----------
    speeds : dict of str to ServerSpeed
        Estimators by server.
    now : float
        Current time in seconds.

    Returns
    -------
    dict of str to (float, float)
        Slowness and age of the report in seconds, by server: reports of this node that
        differ from the usual value or from what the server reported shortly before, at
        most ``MAX_SPEEDS``, the newest first.
    """
    rows = [
        (now - it.own_at, name, it.own_slowness)
        for name, it in speeds.items()
        if now - it.own_at < MAX_SENT_AGE
        and it.own_at - it.notable_at < REPORT_HALF_LIFE
    ]
    return {
        name: (round(slowness, 2), round(max(0.0, age), 2))
        for age, name, slowness in sorted(rows)[:MAX_SPEEDS]
    }
