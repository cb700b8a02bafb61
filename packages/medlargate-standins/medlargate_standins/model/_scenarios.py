"""Load scenarios of the two deployments and the metrics of a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ._engines import EngineModel, VirtualClock
from ._simulation import Outcome, Profile, Simulation, Variant

VARIANTS = (
    Variant("medlargate"),
    Variant(
        "fcfs-round-robin",
        fair=False,
        sharing="each",
        preempt=False,
        share_work=False,
        ranking="round_robin",
    ),
    Variant(
        "least-loaded", fair=False, sharing="reports", preempt=False, share_work=False
    ),
)

QUICK = Profile("quick", "drafting", 0, 1.0, 0.03, 40, 200, cheap=True)
CONDENSE = Profile("condense", "drafting", 2, 5.0, 0.06, 150, 800)
SUMMARY = Profile("summary", "drafting", 3, 20.0, 0.10, 400, 2000, heavy_tail=True)
BOOKING = Profile(
    "booking", "portal", 1, 2.0, 0.03, 20, 100, repeatable=False, cheap=False
)
TUTOR = Profile("tutor", "tutor", 1, 1.5, 0.03, 120, 300)
QUIZ = Profile("quiz", "tutor", 0, 2.0, 0.04, 30, 200, min_share=0.05)
LOOKUP = Profile("lookup", "records", 0, 1.0, 0.04, 10, 50)
ISSUE = Profile(
    "issue", "records", 1, 3.0, 0.04, 15, 100, repeatable=False, cheap=False
)


@dataclass(frozen=True)
class Report:
    """Metrics of a simulation run over an interval of virtual time.

    Attributes
    ----------
    attainment : dict of str to float
        Fraction of the requests of each class whose answer was complete and met both
        latency targets.
    goodput : float
        Slot-seconds of requests that met their targets, as a fraction of the pool's
        available slot-seconds.
    wasted : float
        Fraction of the used slot-seconds that went into undelivered answers or
        repeated work.
    late : float
        Fraction of the used slot-seconds that went into complete answers that missed
        a target.
    worst_customer : float
        Lowest attainment of any customer that stays within its share.
    cheap : float
        Fraction of the output tokens that cheap servers generated.
    spending : float
        Available slot-seconds per slot-second of requests that met their targets.
    by_customer : dict of str to float
        Attainment of each customer in the measured pool.
    served_spread : float
        Largest relative difference in completed work between two customers within
        their share, over any 60 s.
    """

    attainment: dict[str, float]
    goodput: float
    wasted: float
    late: float
    worst_customer: float
    cheap: float
    spending: float
    by_customer: dict[str, float]
    served_spread: float


def measure(
    sim: Simulation, *, start: float, end: float, pool: str, heavy: set[str]
) -> Report:
    """Compute the metrics of a simulation that has run.

    Parameters
    ----------
    sim : Simulation
        Simulation that has run past ``end``.
    start, end : float
        Limits of the interval in virtual seconds. Goodput and completed work are
        counted within the interval; the other metrics cover the requests that arrived
        in it.
    pool : str
        Measured pool.
    heavy : set of str
        Customers that exceed their share, left out of ``worst_customer`` and
        ``served_spread``.

    Returns
    -------
    Report
        Metrics of the interval.
    """
    arrived = [o for o in sim.outcomes.values() if start <= o.arrived_at < end]
    in_pool = [o for o in arrived if o.profile.pool == pool]
    by_class = _compute_attainment(arrived, lambda o: o.profile.name)
    by_customer = _compute_attainment(in_pool, lambda o: o.customer)
    light = {name: v for name, v in by_customer.items() if name not in heavy}
    good = sum(
        _count_slot_seconds(o, start, end)
        for o in sim.outcomes.values()
        if _is_good(o, pool)
    )
    slots = sum(engine.batch for engine in sim.pools[pool])
    tokens = sum(o.n_tokens for o in arrived if o.state == "done")
    spent = max(1e-9, sum(o.slot_seconds for o in in_pool))
    wasted = sum(o.wasted_seconds for o in in_pool)
    late = sum(o.slot_seconds for o in in_pool if o.state == "done" and not o.met)
    cheap = sum(o.cheap_tokens for o in arrived)
    goodput = good / (slots * (end - start))
    return Report(
        attainment=by_class,
        goodput=goodput,
        wasted=wasted / spent,
        late=late / spent,
        worst_customer=min(light.values(), default=1.0),
        cheap=cheap / max(1, tokens),
        spending=1 / max(goodput, 1e-9),
        by_customer=by_customer,
        served_spread=_compute_work_spread(sim, start, end, light, pool),
    )


def _is_good(outcome: Outcome, pool: str) -> bool:
    return outcome.met and outcome.profile.pool == pool


def _count_slot_seconds(outcome: Outcome, start: float, end: float) -> float:
    """Return the slot-seconds of a request that fall into an interval."""
    begin = outcome.ended_at - outcome.slot_seconds
    return max(0.0, min(end, outcome.ended_at) - max(start, begin))


def _compute_attainment(outcomes: list[Outcome], key) -> dict[str, float]:
    met: dict[str, int] = defaultdict(int)
    total: dict[str, int] = defaultdict(int)
    for outcome in outcomes:
        met[key(outcome)] += outcome.met
        total[key(outcome)] += 1
    return {name: met[name] / total[name] for name in sorted(total)}


def _compute_work_spread(
    sim: Simulation, start: float, end: float, customers: dict[str, float], pool: str
) -> float:
    """Return the largest relative difference in completed work over any 60 s.

    Intervals begin every 10 s. Only the given customers and the request classes of
    the pool count.
    """
    names = {o.profile.name for o in sim.outcomes.values() if o.profile.pool == pool}
    worst = 0.0
    begin = start
    while begin + 60 <= end:
        work = dict.fromkeys(customers, 0.0)
        for at, customer, cls, amount in sim.completed_work:
            if begin <= at < begin + 60 and customer in work and cls in names:
                work[customer] += amount
        if work and max(work.values()) > 0:
            spread = 1 - min(work.values()) / max(work.values())
            worst = max(worst, spread)
        begin += 10
    return worst


def make_agency(
    variant: Variant, *, seed: int = 1, overload: float = 3.0, zone_loss: bool = False
) -> Simulation:
    """Build the agency scenario: 5 drafting and 4 portal engines in 4 domains.

    Parameters
    ----------
    variant : Variant
        Scheduling policy of the nodes.
    seed : int, default=1
        Seed of the simulation.
    overload : float, default=3.0
        Offered load as a multiple of the drafting pool's capacity.
    zone_loss : bool, default=False
        Whether two cheap drafting engines in one domain crash after 60 s.

    Returns
    -------
    Simulation
        Simulation with 7 nodes and 10 customers, before its first event.
    """
    clock = VirtualClock()
    domains = ["fd-a", "fd-b", "fd-c", "fd-d"]
    drafting = [
        EngineModel(clock, f"draft-{i}", domains[i % 4], cheap=i in (1, 2))
        for i in range(5)
    ]
    drafting[2].failure_domain = drafting[1].failure_domain
    portal = [EngineModel(clock, f"portal-{i}", domains[i]) for i in range(4)]
    pools = {"drafting": drafting, "portal": portal}
    sim = Simulation(variant, clock, pools, 7, domains, seed)
    # An engine with a full batch of 16 generates about 650 tokens per second.
    scale = overload / 3.0
    quick = 45.0 if overload >= 2.0 else 22.0
    condense, summary = 14.0 * scale, 14.0 * scale
    for index in range(10):
        name = f"planner-{index}"
        load_share = 0.25 if index < 2 else 0.0625
        scale = overload / 3.0

        def compute_rate(t: float, base: float) -> float:
            return base if 20 <= t < 140 else base * 0.3

        loads = ((QUICK, quick), (CONDENSE, condense), (SUMMARY, summary))
        for profile, total in loads:
            base = load_share * total
            sim.add_arrivals(
                profile,
                name,
                lambda t, base=base: compute_rate(t, base),
                max_rate=base,
                end=160,
            )
        base = load_share * 20.0
        sim.add_arrivals(BOOKING, name, lambda t, b=base: b, max_rate=base, end=160)
    if zone_loss:
        clock.call_at(60.0, lambda: sim.crash(["draft-1", "draft-2"], 600.0))
    return sim


def make_consortium(
    variant: Variant, *, seed: int = 1, heavy: bool = True
) -> Simulation:
    """Build the consortium scenario: 5 tutor and 3 records engines in 3 domains.

    Parameters
    ----------
    variant : Variant
        Scheduling policy of the nodes.
    seed : int, default=1
        Seed of the simulation.
    heavy : bool, default=True
        Whether ``partner-0`` sends 20 times the tutor requests of each other customer.

    Returns
    -------
    Simulation
        Simulation with 7 nodes and 10 customers, before its first event.
    """
    clock = VirtualClock()
    domains = ["fd-a", "fd-b", "fd-c"]
    tutor = [EngineModel(clock, f"tutor-{i}", domains[i % 3]) for i in range(5)]
    records = [EngineModel(clock, f"records-{i}", domains[i]) for i in range(3)]
    pools = {"tutor": tutor, "records": records}
    sim = Simulation(variant, clock, pools, 7, domains, seed)
    for index in range(10):
        name = f"partner-{index}"
        factor = 20.0 if heavy and index == 0 else 1.0
        loads = ((TUTOR, 1.9), (QUIZ, 1.0), (LOOKUP, 1.0), (ISSUE, 0.5))
        for profile, rate in loads:
            base = rate * (factor if profile is TUTOR else 1.0)
            sim.add_arrivals(profile, name, lambda t, b=base: b, max_rate=base, end=200)
    return sim


def make_partners(variant: Variant, *, seed: int = 1) -> Simulation:
    """Build a scenario of ten equal customers that offer 1.6 times the capacity."""
    clock = VirtualClock()
    domains = ["fd-a", "fd-b", "fd-c"]
    tutor = [EngineModel(clock, f"tutor-{i}", domains[i % 3]) for i in range(5)]
    sim = Simulation(variant, clock, {"tutor": tutor}, 7, domains, seed)
    for index in range(10):
        sim.add_arrivals(
            TUTOR, f"partner-{index}", lambda t: 4.0, max_rate=4.0, end=240
        )
    return sim


def make_straggler(variant: Variant, *, seed: int = 1) -> Simulation:
    """Build a scenario of four engines: three of different speeds, a straggler.

    The service times of the straggler are 5 times those of the fastest engine. Seven
    nodes serve ten customers.
    """
    clock = VirtualClock()
    speeds = [1.0, 1.2, 1.5, 5.0]
    engines = [
        EngineModel(clock, f"engine-{i}", "fd-a", slow=speed)
        for i, speed in enumerate(speeds)
    ]
    sim = Simulation(variant, clock, {"drafting": engines}, 7, ["fd-a"], seed)
    for index in range(10):
        sim.add_arrivals(QUICK, f"c{index}", lambda t: 2.2, max_rate=2.2, end=120)
    return sim
