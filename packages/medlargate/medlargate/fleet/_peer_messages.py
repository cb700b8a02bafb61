"""Messages between nodes, and the nodes' entries in the store."""

from __future__ import annotations

from collections.abc import Mapping

import orjson
from pydantic import BaseModel, Field

from ..platform import parse_address


class StatusMessage(BaseModel):
    """State revisions and loads, common to node and domain statuses.

    Attributes
    ----------
    name, zone, address : str
        Name and failure domain of the sender, and its ``IP:PORT`` for datagrams and
        for state pulls.
    time : float
        Time of day at the sender, seconds since 1970.
    config_revision, servers_revision : int
        Store revisions of the sender's configuration and registrations.
    servers_digest : str
        Digest that is equal on nodes with the same registrations.
    config_age, servers_age : float
        Seconds since the store confirmed the configuration and the registrations.
    store_age : float
        Seconds since the store answered a call of any node, as far as the sender knows.
    demand : dict of str to float
        Arriving work by service, engine-seconds per second.
    tight_demand : dict of str to float
        Part of ``demand`` from streams that allow only short pauses, by service.
    loads : dict of str to (int, float)
        Running requests and seconds of outstanding prefill, by server.
    crashes : dict of str to list of str
        Servers that crashed on a request, by the request's digest.
    part_crashes : dict of str to dict
        Seconds since the crashes of servers on a prompt part, by part and by run of the
        server.
    part_answers : dict of str to dict
        Seconds since the latest completed answers on the parts in ``part_crashes``, by
        part and by id of the answer.
    part_sound : dict of str to float
        Seconds since the last completed answer on the parts in ``part_crashes``, by
        part; missing without one.
    sound_parts : dict of str to float
        Seconds since completed answers cleared a suspected prompt part, by part.
    memory_crashes : dict of str to float
        Seconds since the crashes of servers whose memory was full, by run of the
        server.
    blocked_parts : list of str
        Prompt parts that the sender blocks by its own evidence.
    versions : dict of str to dict of str to float
        Seconds since servers of a software version served, by service and version, for
        services with several versions.
    limits : dict of str to (float or None, float)
        Requests a second that servers accept from all nodes together, None if a limit
        was lifted, and seconds since a node learned it, by server.
    evacuations_revision : int or None
        Store revision up to which ``evacuated`` is complete; None if the sender does
        not read evacuations.
    evacuated : list of str
        Evacuated failure domains.
    cold : dict of str to float
        Seconds for which servers stay cold, by server.
    traffic_age : float or None
        Seconds since the fleet's first request that the sender knows of; None before it
        and if no service has cold servers.
    slow_engines : (float, list of str)
        Time of day of the last decision which engines have a lasting speed below that
        of the others, and these engines.
    waiting : dict of str to int, or None
        Requests that wait for a server, by service; None if not reported.
    held : dict of str to (float, float, float, float)
        Tokens that requests hold in the memory of engines, by server: with each prompt
        in full, with each shared part once, reserved, and of prompts started and
        produced.
    capacities : dict of str to (int, float)
        Slots of brittle servers as their rejections show, and seconds since, by server.
    memory_facts : dict of str to (bool or None, int or None, float)
        Whether engines hold a shared prompt part once, their memory in tokens if less
        than configured, and seconds since a node learned it, by service.
    consumers : dict of str to dict of str to float
        Work of the largest consumers in the last seconds, in tokens or calls, by
        service and customer; at most 8 rows.
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
    store_age: float = 1e9
    demand: dict[str, float] = Field(default_factory=dict)
    tight_demand: dict[str, float] = Field(default_factory=dict)
    loads: dict[str, tuple[int, float]] = Field(default_factory=dict)
    crashes: dict[str, list[str]] = Field(default_factory=dict)
    part_crashes: dict[str, dict[str, float]] = Field(default_factory=dict)
    part_answers: dict[str, dict[str, float]] = Field(default_factory=dict)
    part_sound: dict[str, float] = Field(default_factory=dict)
    sound_parts: dict[str, float] = Field(default_factory=dict)
    memory_crashes: dict[str, float] = Field(default_factory=dict)
    blocked_parts: list[str] = Field(default_factory=list)
    versions: dict[str, dict[str, float]] = Field(default_factory=dict)
    limits: dict[str, tuple[float | None, float]] = Field(default_factory=dict)
    evacuations_revision: int | None = None
    evacuated: list[str] = Field(default_factory=list)
    cold: dict[str, float] = Field(default_factory=dict)
    traffic_age: float | None = None
    slow_engines: tuple[float, list[str]] = (0.0, [])
    waiting: dict[str, int] | None = None
    held: dict[str, tuple[float, float, float, float]] = Field(default_factory=dict)
    capacities: dict[str, tuple[int, float]] = Field(default_factory=dict)
    memory_facts: dict[str, tuple[bool | None, int | None, float]] = Field(
        default_factory=dict
    )
    consumers: dict[str, dict[str, float]] = Field(default_factory=dict)


class PeerStatus(StatusMessage):
    """Status of one node.

    Attributes
    ----------
    incarnation : str
        Identifier of this start of the process.
    unreachable : list of str
        Services of which the sender reaches no server.
    stopping : bool
        Whether the sender is about to stop.
    active : int
        Number of requests in progress at the sender.
    usage : dict of int to dict
        Usage counts of the sender, by window and customer.
    hears : list of str
        Nodes of the receiver's failure domain that the duty holder has recently
        received a status from; empty in other nodes' statuses.
    holder : bool
        Whether the sender is the duty holder.
    speeds : dict of str to (float, float)
        Slowness that the machines of servers reported to the sender lately, and seconds
        since then, by server; empty in other failure domains.
    """

    incarnation: str
    unreachable: list[str] = Field(default_factory=list)
    stopping: bool = False
    active: int = 0
    usage: dict[int, dict[str, int]] = Field(default_factory=dict)
    hears: list[str] = Field(default_factory=list)
    holder: bool = False
    speeds: dict[str, tuple[float, float]] = Field(default_factory=dict)


class DomainStatus(StatusMessage):
    """Status of a failure domain, sent by its representative to other domains.

    Loads, demand and waiting requests are sums over the nodes of the domain.

    Attributes
    ----------
    n_nodes : int
        Number of nodes of the domain, including recently lost ones.
    interval : float
        Seconds until the next status of the domain.
    parts : list of (str, list of (str, int))
        Servers with the prompt parts recently sent to them: part ids and numbers of
        tokens.
    surplus : dict of str to float, or None
        Slots of work for which the domain has no capacity, by service; None if not
        reported.
    relayed : bool
        Whether the status was forwarded within the receiver's failure domain.
    """

    # Has no default, so that it is always sent: receivers recognize a domain's status
    # by this field.
    n_nodes: int
    interval: float = 0.0
    parts: list[tuple[str, list[tuple[str, int]]]] = Field(default_factory=list)
    surplus: dict[str, float] | None = None
    relayed: bool = False


class LoadUpdate(BaseModel):
    """One node's load on a server, sent when it has just changed considerably.

    Attributes
    ----------
    sender : str
        Name of the node.
    server : str
        Id of the server.
    n_running : int
        Number of the node's requests running on the server.
    reading : float
        Seconds of prefill that these requests still need.
    parts : list of (str, int)
        Prompt parts that the server caches from now on: part ids and numbers of
        tokens.
    zone : str
        Failure domain of the node; empty if not reported.
    held : tuple of float or None
        Tokens that the requests hold, as in a status; None if not reported.
    """

    sender: str
    server: str
    n_running: int
    reading: float
    parts: list[tuple[str, int]] = Field(default_factory=list)
    zone: str = ""
    held: tuple[float, float, float, float] | None = None


class StreamNotes(BaseModel):
    """Origins of streams, for the nodes that keep copies of them.

    Attributes
    ----------
    origins : dict of str to (str, str)
        Services and software versions, by the identity of the caller's attempt.
    """

    origins: dict[str, tuple[str, str]]


class StreamQuery(BaseModel):
    """Question for the origins of streams.

    Attributes
    ----------
    wanted : list of str
        Identities of callers' attempts.
    reply_to : str
        ``IP:PORT`` for the answer, a ``StreamNotes``.
    """

    wanted: list[str]
    reply_to: str


class RejectionNotice(BaseModel):
    """Rejections by servers that fall over if they have to reject too many requests.

    Attributes
    ----------
    rejecting : dict of str to float
        Rejections a second that the servers bear, by server.
    capacities : dict of str to (int, float)
        Slots of the servers as their rejections show, and seconds since, by server.
    """

    rejecting: dict[str, float]
    capacities: dict[str, tuple[int, float]] = Field(default_factory=dict)


def encode_node(zone: str, address: str, incarnation: str) -> bytes:
    """Encode a node's entry in the store."""
    return orjson.dumps({"zone": zone, "address": address, "incarnation": incarnation})


def decode_node(data: bytes) -> Mapping[str, str] | None:
    """Decode a node's entry in the store; return None for other data."""
    try:
        row = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(row, dict) or not isinstance(row.get("zone"), str):
        return None
    return row if parse_address(row.get("address")) is not None else None
