"""Choice of the servers that run requests suspected of crashing servers.

Load pattern: several requests with a prompt part that crashes servers are in progress
at a time. If each runs on a server of its own, each costs a server before the part is
blocked. On one server they cost one.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ._part_crashes import Suspicion
from ._shares import rank_by_hash

# A first crash may be due to chance, and does not justify the cost of another domain.
MIN_FLEET_CRASHES = 2
# About a quarter of the requests in progress is replaced before further answers or
# crashes show whether a part is guilty.
N_IN_PROGRESS_PER_SLOT = 4


def choose_confined_servers(
    suspicion: Suspicion,
    domains: Mapping[str, str],
    *,
    domain: str,
    n_in_progress: int,
    n_slots: int,
) -> Collection[str]:
    """Return the servers on which requests with a suspected part are run.

    Parameters
    ----------
    suspicion : Suspicion
        Evidence against the part.
    domains : mapping of str to str
        Failure domain of each candidate server.
    domain : str
        Failure domain of this node.
    n_in_progress : int
        Estimated number of requests with the part that all nodes have in progress.
    n_slots : int
        Number of requests that a server runs at a time.

    Returns
    -------
    collection of str
        Servers, which are the same on all nodes that know the same candidates. Empty
        if no candidate is left.

    Notes
    -----
    A part that many requests have is less likely to be guilty, and would overload a
    single server. More servers are used for it.

    Examples
    --------
    >>> domains = {"s1": "a", "s2": "a", "s3": "b"}
    >>> suspicion = Suspicion("part", share=0.5, n_crashed=3)
    >>> chosen = {
    ...     domain: choose_confined_servers(
    ...         suspicion, domains, domain=domain, n_in_progress=2, n_slots=8
    ...     )
    ...     for domain in "ab"
    ... }
    >>> len(chosen["a"]), chosen["a"] == chosen["b"]
    (1, True)
    """
    names = sorted(
        name
        for name, its_domain in domains.items()
        if its_domain == domain or suspicion.n_crashed >= MIN_FLEET_CRASHES
    )
    n_servers = 1 + n_in_progress // max(1, N_IN_PROGRESS_PER_SLOT * n_slots)
    return rank_by_hash(suspicion.part, names)[:n_servers]
