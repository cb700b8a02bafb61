"""When to order backend servers, and when to give them back."""

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
    """What one failure domain knows of a pool.

    Attributes
    ----------
    pool : str
        Model or plain service.
    demand : float
        Requests waiting and running, all nodes.
    top_demand : float
        Those of the highest tier.
    n_slots : int
        Slots of the servers that take work.
    steady, cheap : tuple of str
        Names of the servers of each kind, idle ones last.
    """

    pool: str
    demand: float
    top_tier_demand: float
    n_slots: int
    steady: tuple[str, ...]
    cheap: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ScalingDecision:
    """An order that the load calls for.

    Attributes
    ----------
    action : str
        ``"start"`` or ``"stop"``.
    subject : str
        ``"<pool>/steady"`` or ``"<pool>/cheap"`` to start, a server to stop.
    reason : str
        What decided.
    """

    action: str
    subject: str
    reason: str


@dataclass
class PoolScaler:
    """Hysteresis for one pool of one failure domain.

    Attributes
    ----------
    high_since, low_since : float or None
        Since when the load has been above or below its bound.
    booting_until : float
        An ordered server is expected until then.

    Notes
    -----
    Servers are started one at a time, since a boot takes the weight store's
    limited rate. A cheap one is started only while the steady ones alone hold the
    highest tier with a reserve, so that losing all cheap ones at once keeps it.

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
    booting_until: float = 0.0
    history: list[ScalingDecision] = field(default_factory=list)

    def decide(self, load: PoolLoad, now: float) -> ScalingDecision | None:
        """Decide whether to order a server.

        Parameters
        ----------
        load : PoolLoad
            The pool's load.
        now : float
            Seconds.

        Returns
        -------
        ScalingDecision or None
            At most one order at a time.
        """
        ratio = load.demand / load.n_slots if load.n_slots else float("inf")
        self._observe(ratio, load.demand, now)
        decision = None
        if self._has_lasted(self.high_since, START_DELAY, now):
            if now >= self.booting_until:
                decision = self._start(load, ratio, now)
        elif self._has_lasted(self.low_since, STOP_DELAY, now):
            decision = self._stop(load, ratio, now)
        if decision is not None:
            self.history = [*self.history[-7:], decision]
        return decision

    def _observe(self, ratio: float, demand: float, now: float) -> None:
        if ratio > START_LOAD and demand > 0:
            self.high_since = now if self.high_since is None else self.high_since
        else:
            self.high_since = None
        if ratio < STOP_LOAD:
            self.low_since = now if self.low_since is None else self.low_since
        else:
            self.low_since = None

    def _has_lasted(self, since: float | None, delay: float, now: float) -> bool:
        return since is not None and now - since >= delay

    def _start(self, load: PoolLoad, ratio: float, now: float) -> ScalingDecision:
        self.booting_until = now + BOOT_TIMEOUT
        n_servers = len(load.steady) + len(load.cheap)
        per_server = load.n_slots / n_servers if n_servers else 1.0
        steady_slots = len(load.steady) * per_server
        is_covered = load.top_tier_demand <= steady_slots * (1 - STEADY_RESERVE)
        kind = "cheap" if is_covered and load.steady else "steady"
        reason = f"load {ratio:.2f} above {START_LOAD}"
        return ScalingDecision("start", f"{load.pool}/{kind}", reason)

    def _stop(self, load: PoolLoad, ratio: float, now: float) -> ScalingDecision | None:
        self.low_since = now
        reason = f"load {ratio:.2f} below {STOP_LOAD}"
        if load.cheap:
            return ScalingDecision("stop", load.cheap[-1], reason)
        if len(load.steady) > 1:
            return ScalingDecision("stop", load.steady[-1], reason)
        return None
