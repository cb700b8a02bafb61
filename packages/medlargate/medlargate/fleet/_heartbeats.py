"""Heartbeat messages between nodes and their addressing."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

UNKNOWN = -1


class AgedRevision(BaseModel):
    """Configuration revision of a node or failure domain at a time in the past.

    Attributes
    ----------
    age : float
        Seconds since the time for which the revision holds.
    revision : int
        Configuration revision; ``UNKNOWN`` for a node that has not read the store
        since its start.
    """

    model_config = ConfigDict(frozen=True)
    age: float
    revision: int


class NodeStatus(BaseModel):
    """Status of the sender that a heartbeat carries.

    Attributes
    ----------
    node, domain, incarnation : str
        Name, failure domain and process start of the sender.
    revision : int
        Configuration revision of the sender.
    vouches : bool
        Whether the sender has read the store since its start, so that its revision
        counts for completeness.
    confirmed : AgedRevision or None
        Newest revision in the store as of the last confirmation by the store.
    members, domains : dict of str to AgedRevision
        Last known revisions of nodes of the sender's domain and of domains.
    demand, waiting : dict of str to dict
        Smoothed number of waiting and running requests, and number of waiting
        requests, by pool and tier.
    work : dict of str to float
        Total work done for customers, by pool, class and customer.
    """

    model_config = ConfigDict(frozen=True)
    node: str
    domain: str
    incarnation: str
    revision: int
    vouches: bool = True
    serving: bool = True
    confirmed: AgedRevision | None = None
    members: dict[str, AgedRevision] = {}
    domains: dict[str, AgedRevision] = {}
    demand: dict[str, dict[int, float]] = {}
    waiting: dict[str, dict[int, int]] = {}
    work: dict[str, float] = {}


class Heartbeat(BaseModel):
    """A numbered heartbeat, or the answer with the same number."""

    model_config = ConfigDict(frozen=True)
    number: int
    is_answer: bool
    facts: NodeStatus


@dataclass(frozen=True, slots=True)
class Peer:
    """A node in the platform's VM list.

    Attributes
    ----------
    name, domain : str
        Name and failure domain of the node.
    address : tuple of (str, int)
        IP address and UDP port.
    http_port : int
        TCP port of the node's HTTP interface.
    """

    name: str
    domain: str
    address: tuple[str, int]
    http_port: int


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """A heartbeat message and its receiver.

    Attributes
    ----------
    peer : str
        Name of the receiving node.
    heartbeat : Heartbeat
        Message to send.
    """

    peer: str
    heartbeat: Heartbeat
