"""What nodes tell each other, and their entries in the store."""

from __future__ import annotations

from collections.abc import Mapping

import orjson
from pydantic import BaseModel, Field


class StatusMessage(BaseModel):
    """How far a node's beliefs reach, and where they can be had.

    Attributes
    ----------
    name, zone, address : str
        Who speaks, and ``IP:PORT`` for datagrams and for pulling beliefs.
    time : float
        Its time of day, seconds since 1970.
    config_revision, servers_revision : int
        How far its beliefs reach.
    servers_digest : str
        Equal where the registrations are the same.
    config_age, servers_age : float
        Seconds since the store confirmed them.
    demand : dict of str to float
        Work that arrives by service, engine-seconds a second.
    tight_demand : dict of str to float
        The part of it that streams with short pauses bring.
    loads : dict of str to (int, float)
        Requests and seconds of reading by server.
    crashes : dict of str to list of str
        Servers that crashed on a request, by the request's mark.
    """

    name: str
    zone: str
    address: str
    time: float
    config_revision: int = 0
    servers_revision: int = 0
    servers_digest: str = ""
    config_age: float = 1e9
    servers_age: float = 1e9
    demand: dict[str, float] = Field(default_factory=dict)
    tight_demand: dict[str, float] = Field(default_factory=dict)
    loads: dict[str, tuple[int, float]] = Field(default_factory=dict)
    crashes: dict[str, list[str]] = Field(default_factory=dict)


class PeerStatus(StatusMessage):
    """One node's word on itself.

    Attributes
    ----------
    incarnation : str
        This start of the process.
    store_up : bool
        The store answers it.
    usage : dict of int to dict
        Its counts by window and customer.
    hears : list of str
        Nodes whose usage it has heard, told by the holder of that duty to those of
        the receiver's failure domain.
    holder : bool
        It holds the duties.
    """

    incarnation: str
    store_up: bool = True
    usage: dict[int, dict[str, int]] = Field(default_factory=dict)
    hears: list[str] = Field(default_factory=list)
    holder: bool = False


class DomainStatus(StatusMessage):
    """What one node tells other failure domains of all nodes of its own.

    Loads and demand are sums over the domain.

    Attributes
    ----------
    n_nodes : int
        Nodes of the domain, those just lost included.
    interval : float
        Seconds until the next one is sent.
    parts : list of (str, list of (str, int))
        Servers and the prompt parts that they were just given, with their tokens.
    relayed : bool
        It was passed on within the receiver's failure domain.
    """

    # Without a default, since its presence tells a domain's word from a node's.
    n_nodes: int
    interval: float = 0.0
    parts: list[tuple[str, list[tuple[str, int]]]] = Field(default_factory=list)
    relayed: bool = False


class LoadUpdate(BaseModel):
    """A node's load on one server, told when it has just grown by much.

    Attributes
    ----------
    sender : str
        The node.
    server : str
        The server.
    n_running : int
        Its own requests there.
    reading : float
        Seconds of reading that they still need.
    parts : list of (str, int)
        Prompt parts that the server holds from now on, with their tokens.
    """

    sender: str
    server: str
    n_running: int
    reading: float
    parts: list[tuple[str, int]] = Field(default_factory=list)


def encode_node(zone: str, address: str, incarnation: str) -> bytes:
    """Encode a node's entry in the store."""
    return orjson.dumps({"zone": zone, "address": address, "incarnation": incarnation})


def decode_node(data: bytes) -> Mapping[str, str] | None:
    """Decode a node's entry in the store; None when it is not one."""
    try:
        row = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(row, dict) or not {"zone", "address"} <= set(row):
        return None
    return row
