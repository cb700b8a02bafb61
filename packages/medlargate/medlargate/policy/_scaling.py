"""Autoscaling: when to start and stop the backend servers of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field

START_LOAD = 0.85
STOP_LOAD = 0.35
START_DELAY = 15.0  # seconds
STOP_DELAY = 180.0  # seconds
BOOT_TIMEOUT = 120.0  # seconds
STEADY_RESERVE = 0.34


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Demand and capacity of a pool, as known in a failure domain.

    Attributes
    ----------
    pool : str
        Name of the model or plain service.
    demand : float
        Waiting and running requests on all nodes.
    top_tier_demand : float
        Waiting and running requests of the highest tier on all nodes.
    n_slots : int
        Total number of slots of the servers that accept work.
    steady, cheap : tuple of str
        Names of the failure domain's servers that are not cheap and that are cheap,
        in decreasing order of requests in flight.
    """

    pool: str
    demand: float
    top_tier_demand: float
    n_slots: int
    steady: tuple[str, ...]
    cheap: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ScalingDecision:
    """Decision to start or stop a server.

    Attributes
    ----------
    action : str
        ``"start"`` or ``"stop"``.
    subject : str
        Kind of server to start, ``"<pool>/steady"`` or ``"<pool>/cheap"``, or the name
        of the server to stop.
    reason : str
        Load and threshold that led to the decision.
    """

    action: str
    subject: str
    reason: str


@dataclass
class PoolScaler:
    """Autoscaler with hysteresis for a pool in a failure domain.

    Attributes
    ----------
    high_since, low_since : float or None
        Start of the period of load above ``START_LOAD`` or below ``STOP_LOAD``, in
        seconds; None outside such a period.
    boot_deadline : float
        Time until which the last started server may still boot, in seconds. No other
        server is started before.
    history : list of ScalingDecision
        Last eight decisions, oldest first.

    Notes
    -----
    Servers are started one at a time, because each boot loads weights from a store
    with limited bandwidth. A cheap server is started only while the other servers
    alone can serve the highest tier with a reserve of ``STEADY_RESERVE``, so that the
    tier survives the simultaneous loss of all cheap servers.

    Examples
    --------
    >>> scaler = PoolScaler()
    >>> load = PoolLoad("m", 30.0, 2.0, 16, ("e1",), ())
    >>> scaler.decide(load, 0.0)
    >>> scaler.decide(load, 20.0).subject
    'm/cheap'
    """

    high_since: float | None = None
    low_since: float | None = None
    boot_deadline: float = 0.0
    history: list[ScalingDecision] = field(default_factory=list)

    def decide(self, load: PoolLoad, now: float) -> ScalingDecision | None:
        """Decide whether to start or stop a server.

        Parameters
        ----------
        load : PoolLoad
            Current load of the pool.
        now : float
            Current time in seconds.

        Returns
        -------
        ScalingDecision or None
            Server to start or stop; None if the capacity stays as it is.
        """
        load_ratio = load.demand / load.n_slots if load.n_slots else float("inf")
        self._observe(load_ratio, load.demand, now)
        decision = None
        if self._has_lasted(self.high_since, START_DELAY, now):
            if now >= self.boot_deadline:
                decision = self._start(load, load_ratio, now)
        elif self._has_lasted(self.low_since, STOP_DELAY, now):
            decision = self._stop(load, load_ratio, now)
        if decision is not None:
            self.history = [*self.history[-7:], decision]
        return decision

    def _observe(self, load_ratio: float, demand: float, now: float) -> None:
        if load_ratio > START_LOAD and demand > 0:
            self.high_since = now if self.high_since is None else self.high_since
        else:
            self.high_since = None
        if load_ratio < STOP_LOAD:
            self.low_since = now if self.low_since is None else self.low_since
        else:
            self.low_since = None

    def _has_lasted(self, since: float | None, delay: float, now: float) -> bool:
        return since is not None and now - since >= delay

    def _start(self, load: PoolLoad, load_ratio: float, now: float) -> ScalingDecision:
        self.boot_deadline = now + BOOT_TIMEOUT
        n_servers = len(load.steady) + len(load.cheap)
        slots_per_server = load.n_slots / n_servers if n_servers else 1.0
        steady_slots = len(load.steady) * slots_per_server
        is_covered = load.top_tier_demand <= steady_slots * (1 - STEADY_RESERVE)
        kind = "cheap" if is_covered and load.steady else "steady"
        reason = f"load {load_ratio:.2f} above {START_LOAD}"
        return ScalingDecision("start", f"{load.pool}/{kind}", reason)

    def _stop(
        self, load: PoolLoad, load_ratio: float, now: float
    ) -> ScalingDecision | None:
        self.low_since = now
        reason = f"load {load_ratio:.2f} below {STOP_LOAD}"
        if load.cheap:
            return ScalingDecision("stop", load.cheap[-1], reason)
        if len(load.steady) > 1:
            return ScalingDecision("stop", load.steady[-1], reason)
        return None
