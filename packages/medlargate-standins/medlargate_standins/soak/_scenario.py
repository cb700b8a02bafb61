"""Scenarios of a soak: services, kinds of requests and bounds, from YAML files."""

from __future__ import annotations

import random
from importlib.resources import files
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field

from ..backend import Work
from ..relay_testbed import make_config, make_route

SIZE_SIGMA = 0.9  # spread of the logarithm of a stream's number of events
MAX_SIZE_FACTOR = 4.0  # of the mean number of events
KV_CAPACITY = 400_000  # tokens


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServicePlan(_Model):
    """Servers of a service.

    Attributes
    ----------
    n_servers, slots, max_waiting : int
        Number of servers; requests that each runs at a time, and that wait there.
    max_connections : int
        Connections that each server accepts.
    is_engine : bool
        Whether the servers are model engines.
    """

    n_servers: int = Field(ge=1)
    slots: int = Field(ge=1)
    max_waiting: int = Field(ge=0)
    max_connections: int = Field(ge=1)
    is_engine: bool = False


class WorkPlan(_Model):
    """Mean work of a kind of request; see ``Work``."""

    delay: float = Field(ge=0)
    n_events: int = Field(default=0, ge=0)
    pause: float = Field(default=0.0, ge=0)


class RequestKind(_Model):
    """Kind of request that callers send.

    Attributes
    ----------
    name, service : str
        Name of the kind and of its route, and of the service.
    route : dict
        Fields of the route in the operator's configuration.
    weight : float
        Relative frequency.
    n_tokens : tuple of (int, int)
        Prompt tokens and maximum number of output tokens; zeros for plain services.
    work : WorkPlan
        Mean work of a request.
    """

    name: str
    service: str
    route: dict[str, Any]
    weight: float = Field(gt=0)
    n_tokens: tuple[int, int] = (0, 0)
    work: WorkPlan

    @property
    def streams(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route["Type"] == "streaming"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.route["Type"] == "idempotent" or self.route.get("Resumable", False)

    @property
    def max_attempts(self) -> int:
        """Number of servers to which one request may be sent."""
        return self.route["MaxAttempts"]

    @property
    def timeout(self) -> float:
        """Time limit of the callers and of the route, in seconds."""
        return self.route["TimeoutMs"] / 1000

    def draw_work(self, random_state: random.Random) -> Work:
        """Draw the work of one request: streams of many sizes, answers near the mean.

        Parameters
        ----------
        random_state : random.Random
            Source of the draw.
        """
        plan = self.work
        delay = plan.delay * random_state.uniform(0.5, 1.5)
        if not self.streams:
            return Work(delay)
        factor = random_state.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
        n_events = round(plan.n_events * min(factor, MAX_SIZE_FACTOR))
        return Work(delay, max(1, n_events), plan.pause)


class Scenario(_Model):
    """Deployment of a soak and the requests that it serves.

    Attributes
    ----------
    name : str
        Name of the scenario.
    n_nodes : int
        Number of node processes.
    domains : list of str
        Failure domains, assigned to nodes and servers in turn.
    grace : float
        Seconds from SIGTERM to SIGKILL.
    ingress : dict
        Further settings of the nodes' section ``ingress``.
    services : dict of str to ServicePlan
        Services by name.
    kinds : list of RequestKind
        Kinds of requests.
    """

    name: str
    n_nodes: int = Field(ge=1)
    domains: list[str]
    grace: float = Field(gt=0)
    ingress: dict[str, Any] = {}
    services: dict[str, ServicePlan]
    kinds: list[RequestKind]

    def get_kind(self, name: str) -> RequestKind:
        """Return a kind of request by its name."""
        return next(it for it in self.kinds if it.name == name)

    def make_config(self, version: int, **overrides: Any) -> dict[str, Any]:
        """Create the operator's configuration.

        Parameters
        ----------
        version : int
            Configuration version.
        **overrides : object
            Top-level fields that are added or replace the defaults.
        """
        routes = []
        for kind in self.kinds:
            fields = {"Sticky": kind.streams, **kind.route}
            routes.append(
                make_route(kind.name, fields.pop("Type"), kind.service, **fields)
            )
        services = [_make_service(*item) for item in self.services.items()]
        limits = {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000,
        }
        fields = {"Routes": routes, "Services": services, "Limits": limits}
        return make_config(version, **{**fields, **overrides})


def _make_service(name: str, plan: ServicePlan) -> dict[str, Any]:
    service = {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConns": plan.max_connections,
    }
    if plan.is_engine:
        service["Backend"] = {
            "Slots": plan.slots,
            "KvCapacity": KV_CAPACITY,
            "Stride": 4,
            "Models": [{"Name": "m"}],
        }
    return service


def load_scenario(name: str) -> Scenario:
    """Load a scenario.

    Parameters
    ----------
    name : str
        Name of a scenario of this package, or path of a YAML file.

    Returns
    -------
    Scenario
        Validated scenario.
    """
    file = Path(name)
    if file.suffix not in (".yaml", ".yml"):
        file = files(__package__).joinpath(f"scenarios/{name}.yaml")
    return Scenario.model_validate(yaml.safe_load(file.read_text()))
