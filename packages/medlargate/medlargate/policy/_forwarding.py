"""Choice of the node that serves a request for one that reaches no server.

Load pattern: some nodes, or all nodes of a failure domain, are partitioned from the
servers while callers, the store and the other nodes still reach them. Their whole load
moves to the remaining nodes at once.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardPeer:
    """Node that may serve a request for this node.

    Attributes
    ----------
    name, domain, address : str
        Node name, failure domain and ``IP:PORT`` for messages between nodes.
    reaches_service : bool
        Whether the node, by its last status, reaches a server of the service.
    n_requests : int
        Number of requests in progress: those of its last status, or those that this
        node has forwarded to it if there are more.
    """

    name: str
    domain: str
    address: str
    reaches_service: bool = True
    n_requests: int = 0


def choose_forward_peer(
    peers: Sequence[ForwardPeer],
    *,
    domain: str,
    tried: Collection[str],
    random_state: random.Random,
) -> ForwardPeer | None:
    """Choose a node to forward a request to.

    Nodes of the same failure domain are preferred, since traffic between domains is
    billed, as long as at least half of the domain's nodes reach the service. Otherwise
    the load is spread over all nodes that do. Of two random nodes the one with fewer
    requests is chosen: nodes that learn the same at the same time do not all choose the
    same node, and one that has just stopped answering gets few requests.

    Parameters
    ----------
    peers : sequence of ForwardPeer
        Live nodes other than this one.
    domain : str
        Failure domain of this node.
    tried : collection of str
        Names of the nodes that have already failed to serve the request.
    random_state : random.Random
        Source of the choice among equal nodes.

    Returns
    -------
    ForwardPeer or None
        None if no node is left.
    """
    open_peers = [it for it in peers if it.reaches_service and it.name not in tried]
    near = [it for it in open_peers if it.domain == domain]
    n_domain = 1 + sum(it.domain == domain for it in peers)
    group = near if near and 2 * len(near) >= n_domain else open_peers
    drawn = random_state.sample(group, min(2, len(group)))
    return min(drawn, key=lambda it: it.n_requests, default=None)
