"""Messages of the membership, and whom they are for."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

UNKNOWN = -1


class AgedRevision(BaseModel):
    """What a node says of another one or of a failure domain: how old, how complete.

    A node that has not read the store since its start has the revision ``UNKNOWN``.
    """

    model_config = ConfigDict(frozen=True)
    age: float
    revision: int


class NodeStatus(BaseModel):
    """What a heartbeat carries."""

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
    """A heartbeat or its answer."""

    model_config = ConfigDict(frozen=True)
    number: int
    is_answer: bool
    facts: NodeStatus


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node as the platform lists it.

    Attributes
    ----------
    name, domain : str
        Identity.
    address : tuple of (str, int)
        IP number and UDP port.
    http_port : int
        TCP port.
    """

    name: str
    domain: str
    address: tuple[str, int]
    http_port: int


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """A message to be sent.

    Attributes
    ----------
    peer : str
        To whom.
    heartbeat : Heartbeat
        What.
    """

    peer: str
    heartbeat: Heartbeat
