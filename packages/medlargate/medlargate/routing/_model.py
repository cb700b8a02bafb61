"""What the operator declares and the backend servers register, decoded once."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

DEFAULT_PRIORITY = 5  # the rank that engines assume when none is sent


class Repeat(enum.StrEnum):
    """What may be done again with the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service's share of a route.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : int
        Relative share.
    """

    service: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route of the configuration.

    Attributes
    ----------
    name, host, prefix : str
        Identity; the prefix begins and ends with a slash.
    repeat : Repeat
        Kind of request.
    shares : tuple of ServiceShare
        Services that may run its requests.
    timeout : float
        Longest time from arrival to the final answer, seconds.
    target : float
        Time to the answer or first event that callers want, seconds.
    max_attempts : int
        Most backend servers to which one request may be sent.
    priority : int
        Rank; 0 is the most urgent.
    public : bool
        Needs no key.
    resumable : bool
        A stream may go on at another engine after its last event.
    max_pause : float
        Longest pause between events that is still on time, seconds; 0: not declared.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    shares: tuple[ServiceShare, ...]
    timeout: float
    target: float
    max_attempts: int = 1
    priority: int = DEFAULT_PRIORITY
    public: bool = False
    resumable: bool = False
    max_pause: float = 0.0

    @property
    def streams(self) -> bool:
        """Whether answers are streams of events."""
        return self.repeat is Repeat.STREAM

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeat is Repeat.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a service declares of its model engines.

    Attributes
    ----------
    n_slots : int
        Requests that one engine runs at once.
    n_cache_tokens : int
        Tokens that its memory holds, running requests included.
    n_tokens_per_event : int
        Output tokens of one event of a stream.
    transfer_per_token : float
        Seconds to move one token's memory between engines; 0: not to be had.
    """

    n_slots: int
    n_cache_tokens: int
    n_tokens_per_event: int = 1
    transfer_per_token: float = 0.0


@dataclass(frozen=True, slots=True)
class ScalingSpec:
    """Bounds and prices for ordering engines of a service.

    Attributes
    ----------
    min_per_zone, max_per_zone : int
        Bounds on the engines of both kinds in one failure domain.
    boot_time : float
        Seconds until an ordered engine serves.
    spot_price : float
        Price of a reclaimable engine as a fraction of a steady one; 0: none offered.
    zone_prices : mapping of str to float
        Price of an engine-second by failure domain.
    """

    min_per_zone: int
    max_per_zone: int
    boot_time: float
    spot_price: float = 0.0
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service.

    Attributes
    ----------
    name : str
        Its name.
    max_conns : int
        Connections that one backend server accepts from all nodes together.
    engine : EngineSpec or None
        Given for model engines.
    scaling : ScalingSpec or None
        Given when engines may be ordered.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Sizes.
    header_timeout, idle_timeout : float
        Seconds for a request's headers, and for a connection without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class CustomerSpec:
    """One customer.

    Attributes
    ----------
    name : str
        Its name, as backend servers are told.
    priority : int or None
        Takes precedence over a route's rank when given.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Declaration:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes : tuple of RouteRule
        All routes.
    services : mapping of str to ServiceSpec
        All services by name.
    limits : IngressLimits
        Bounds for callers.
    customers : mapping of str to CustomerSpec
        Customers by key; empty when no keys are asked for.
    checks_keys : bool
        Whether requests of routes that are not public need a key.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: Mapping[str, ServiceSpec]
    limits: IngressLimits = IngressLimits()
    customers: Mapping[str, CustomerSpec] = field(default_factory=dict)
    checks_keys: bool = False


@dataclass(frozen=True, slots=True)
class Registration:
    """What one backend server has registered.

    Attributes
    ----------
    server_id : str
        Identity of this start of the server; also the instance that must answer.
    service, address, host, zone : str
        Service, ``IP:PORT``, its IP number, failure domain.
    port : int
        TCP port.
    n_slots : int
        Requests that it runs at once.
    draining : bool
        It has announced that it leaves.
    leaves_in : float or None
        Seconds until a reclaimed engine ends, as of the registration's write.
    spot : bool
        It may be reclaimed.
    revision : int
        The store's revision of this registration.
    born : int
        Unix time of its start, milliseconds; 0 when not given.
    """

    server_id: str
    service: str
    address: str
    host: str
    port: int
    zone: str
    n_slots: int
    draining: bool = False
    leaves_in: float | None = None
    spot: bool = False
    revision: int = 0
    born: int = 0
