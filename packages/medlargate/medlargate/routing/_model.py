"""Decoded form of the operator's configuration and of server registrations."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

DEFAULT_PRIORITY = 5  # engines assume this priority when none is sent


class RequestType(enum.StrEnum):
    """Type of a route's requests, which determines whether they may be retried.

    Attributes
    ----------
    IDEMPOTENT
        A request that may have run may be sent again.
    ONCE
        A request that may have run must not be sent again.
    STREAM
        The response is a stream of events. A request that may have run must not be
        sent again unless its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that one service gets.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : int
        Weight relative to the other shares of the route.
    """

    service: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Route from a host and a path prefix to one or more services.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host of the requests that match the route.
    prefix : str
        Path prefix of the requests that match the route, with a slash at both ends.
    request_type : RequestType
        Type of the route's requests.
    shares : tuple of ServiceShare
        Services that may run the route's requests.
    timeout : float
        Maximum time from a request's arrival to its final response, in seconds.
    target : float
        Target time to the response or to the first event of a stream, in seconds.
    max_attempts : int
        Maximum number of backend servers to which one request may be sent.
    priority : int
        Priority of the route's requests; 0 is the most urgent.
    public : bool
        Whether requests are accepted without a customer's key.
    resumable : bool
        Whether another engine may continue a stream after its last event.
    max_pause : float
        Target for the longest pause between two events, in seconds; 0 for no target.
    """

    name: str
    host: str
    prefix: str
    request_type: RequestType
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
        """Whether responses are streams of events."""
        return self.request_type is RequestType.STREAM

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.request_type is RequestType.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of a service's model engines.

    Attributes
    ----------
    n_slots : int
        Number of requests that one engine runs concurrently.
    n_cache_tokens : int
        Capacity of one engine's KV cache in tokens, those of running requests included.
    n_tokens_per_event : int
        Number of output tokens in one event of a stream.
    transfer_time_per_token : float
        Seconds to transfer one token's KV cache between engines; 0 if the service
        does not support transfers.
    """

    n_slots: int
    n_cache_tokens: int
    n_tokens_per_event: int = 1
    transfer_time_per_token: float = 0.0


@dataclass(frozen=True, slots=True)
class ScalingSpec:
    """Bounds and prices for the autoscaling of a service's engines.

    Attributes
    ----------
    min_per_zone, max_per_zone : int
        Bounds on the number of engines, spot and on-demand together, in one failure
        domain.
    boot_time : float
        Seconds from the order of an engine until requests can be sent to it.
    spot_price : float
        Price of a spot engine as a fraction of the price of an on-demand engine; 0 if
        spot engines are not offered.
    zone_prices : mapping of str to float
        Price of one engine-second by failure domain.
    """

    min_per_zone: int
    max_per_zone: int
    boot_time: float
    spot_price: float = 0.0
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Service of the configuration, run by a group of backend servers.

    Attributes
    ----------
    name : str
        Name of the service.
    max_conns : int
        Maximum number of connections to one backend server from all nodes together.
    engine : EngineSpec or None
        Properties of the engines; None for a service without model engines.
    scaling : ScalingSpec or None
        Bounds for autoscaling; None if engines must not be ordered.
    health_path : str
        Path of the servers' health checks.
    cold_start_time : float
        Seconds for which a server is cold after a start; 0 if not given.
    cold_rate : float
        Requests a second that a cold server bears; 0 if cold servers need no care.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None
    health_path: str = "/healthz"
    cold_start_time: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on callers' requests and connections.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of a request's headers and body, in bytes.
    header_timeout : float
        Seconds without data from the caller after which a request with incomplete
        headers is refused. Each received packet restarts the timeout.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class CustomerSpec:
    """Customer of the configuration.

    Attributes
    ----------
    name : str
        Name of the customer, as sent to backend servers.
    priority : int or None
        Priority of the customer's requests instead of the route's; None to use the
        route's.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Version number, which increases with each change.
    routes : tuple of RouteRule
        All routes.
    services : mapping of str to ServiceSpec
        All services by name.
    limits : IngressLimits
        Limits on callers' requests and connections.
    customers : mapping of str to CustomerSpec
        Customers by key; empty if no keys are declared.
    requires_keys : bool
        Whether requests need a key on routes that are not public.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: Mapping[str, ServiceSpec]
    limits: IngressLimits = IngressLimits()
    customers: Mapping[str, CustomerSpec] = field(default_factory=dict)
    requires_keys: bool = False


@dataclass(frozen=True, slots=True)
class Registration:
    """Registration of one backend server.

    Attributes
    ----------
    server_id : str
        Identity of one run of the server, which changes at a restart. Requests name
        the identity, so that no other server at the address runs them.
    service : str
        Name of the server's service.
    address : str
        Address as ``IP:PORT``.
    host : str
        IP address.
    port : int
        TCP port.
    zone : str
        Failure domain.
    n_slots : int
        Number of requests that the server runs concurrently.
    draining : bool
        Whether the server has announced its shutdown.
    leaves_in : float or None
        Seconds from the write of the registration until a spot server is reclaimed.
    spot : bool
        Whether the platform may reclaim the server.
    cold_for : float
        Seconds from the write of the registration for which the server stays cold.
    revision : int
        Revision of the registration in the store.
    born : int
        Unix time of the server's start in milliseconds; 0 if not given.
    software_version : str
        Version of the server's software; empty if not given.
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
    cold_for: float = 0.0
    revision: int = 0
    born: int = 0
    software_version: str = ""

    @property
    def run_id(self) -> str:
        """Identity of this run: a server may start again under the id that it had."""
        return f"{self.server_id}/{self.born}"
