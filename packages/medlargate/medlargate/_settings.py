"""Node settings: parsed from YAML and validated, errors with file, line and field."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Self

import yaml
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    ValidationError,
    model_validator,
)

Name = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
ADDRESS = r"^[0-9.]+:[0-9]{1,5}$"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(_Section):
    """Identity of the node and the addresses on which it listens."""

    name: str = Name
    failure_domain: str = Name
    region: str = Field("default", pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    address: IPvAnyAddress = Field(description="IP address for callers and other nodes")
    port: int = Field(8080, ge=1, le=65535, description="TCP port for HTTP")
    fleet_port: int = Field(
        0,
        ge=0,
        le=65535,
        description="UDP port of heartbeats; 0: same as the HTTP port",
    )
    fleet_secret: str = Field(
        "", description="shared by all nodes; empty: no contact with other nodes"
    )


class PlatformSection(_Section):
    """Address of the platform's services and timeout of calls to them."""

    address: IPvAnyAddress | None = Field(None, description="IP address")
    port: int = Field(2379, ge=1, le=65535, description="TCP port")
    endpoint: str = Field(
        "", pattern=f"{ADDRESS}|^$", description="IP:PORT, instead of address and port"
    )
    timeout: float = Field(2.0, gt=0, le=60, description="seconds per call")

    @model_validator(mode="after")
    def _check_has_address(self) -> Self:
        if self.address is None and not self.endpoint:
            raise ValueError("address or endpoint is required")
        return self

    @property
    def url(self) -> str:
        """Base URL of the platform's services."""
        return f"http://{self.endpoint or f'{self.address}:{self.port}'}"


class LimitsSection(_Section):
    """Limits on requests, on the queue and on stored records."""

    max_body_bytes: int = Field(1_000_000, ge=1_000, le=100_000_000)
    max_header_bytes: int = Field(16_384, ge=1_024, le=1_048_576)
    max_caller_bytes: int = Field(
        25_165_824,
        ge=1_000_000,
        description="bytes of requests' bodies and of unread answers that the OpenAI "
        "interface holds for all callers; at least max_body_bytes",
    )
    body_timeout: float = Field(10.0, gt=0, le=300, description="seconds")
    max_queue_length: int = Field(10_000, ge=1, le=1_000_000, description="requests")
    max_label_values: int = Field(
        200,
        ge=1,
        le=10_000,
        description="distinct values of the metrics' customer label",
    )
    max_decisions: int = Field(
        20_000,
        ge=100,
        le=1_000_000,
        description="requests whose decisions are kept",
    )


class StopSection(_Section):
    """Timing of a planned shutdown."""

    balancer_delay: float = Field(
        2.0,
        ge=0,
        le=120,
        description="seconds that a stopping node waits until the balancer stops "
        "sending to it",
    )
    drain_timeout: float = Field(60.0, gt=0, le=3600, description="seconds")


class FleetSection(_Section):
    """Timing of heartbeats, leases, orders and usage reports."""

    heartbeat_interval: float = Field(1.0, gt=0, le=30, description="seconds")
    suspect_timeout: float = Field(
        4.0,
        gt=0,
        le=120,
        description="seconds without news until a node counts as not alive",
    )
    trust_timeout: float = Field(
        4.0,
        gt=0,
        le=86_400,
        description="seconds a key stays valid without a confirmed configuration",
    )
    lease_timeout: float = Field(6.0, ge=1, le=300, description="seconds")
    order_timeout: float = Field(2.0, gt=0, le=60, description="seconds")
    usage_window: float = Field(60.0, ge=1, le=86_400, description="seconds")
    usage_flush_interval: float = Field(15.0, gt=0, le=600, description="seconds")


class IngressSection(_Section):
    """Settings of a relay node: addresses, time limits, retries, usage and duties."""

    frontend: str = Field(pattern=ADDRESS, description="IP:PORT for callers")
    readiness: str = Field(pattern=ADDRESS, description="IP:PORT for the balancer")
    metrics_port: int = Field(0, ge=0, le=65535, description="0: no metrics page")
    fleet_port: int = Field(
        0, ge=0, le=65535, description="UDP and TCP, for nodes; 0: no peers"
    )
    orders: str = Field("", description="IP:PORT of the orders and usage API")
    seeds: str = Field("", description="IP:PORT of other nodes, joined by commas")
    grace: float = Field(
        8.0, ge=1, le=3600, description="maximum seconds from SIGTERM to exit"
    )
    config_bound_ms: int = Field(
        2000,
        ge=500,
        le=60_000,
        description="maximum milliseconds until a new configuration is in force",
    )
    drain_bound_ms: int = Field(
        2000,
        ge=500,
        le=60_000,
        description="maximum milliseconds until a leaving server gets no more requests",
    )
    evacuate_bound_ms: int | None = Field(
        None,
        ge=0,
        le=60_000,
        description="maximum milliseconds until an evacuated failure domain gets no "
        "more requests; none or 0: evacuations are not read",
    )
    cold_overrun: float | None = Field(
        None,
        ge=1,
        le=10,
        description="factor by which a cold server's rate may be exceeded",
    )
    cold_start_slack: float | None = Field(
        None, ge=0, description="requests above a cold server's rate in one second"
    )
    retry_ratio: float = Field(0.2, ge=0, le=10, description="retries per request")
    retry_slack: float = Field(
        50.0, ge=0, description="retries allowed in addition to the ratio"
    )
    retry_window: float = Field(10.0, gt=0, le=600, description="seconds")
    usage_window: float = Field(5.0, gt=0, le=86_400, description="seconds")
    usage_deadline: float = Field(
        10.0, gt=0, description="seconds after a window; accepted but not used"
    )
    first_start: bool = Field(
        True, description="whether the whole fleet starts for the first time"
    )
    max_descriptors: int | None = Field(
        None,
        ge=16,
        le=1_048_576,
        description="descriptors that the process may open; none: what the operating "
        "system allows",
    )
    memory_mb: float | None = Field(
        None,
        gt=0,
        description="memory that the process may take, in megabytes; none: not known",
    )
    max_caller_bytes: int = Field(
        67_108_864,
        ge=1_048_576,
        description="bytes of requests' bodies and of unread answers that the node "
        "holds for all callers, at most a quarter of memory_mb",
    )
    lease_ms: int = Field(3000, ge=1000, le=300_000, description="milliseconds")
    duties: str = Field("", description="names, joined by commas")
    duty_calls_per_second: float = Field(
        50.0, gt=0, description="all nodes together; accepted but not used"
    )

    @property
    def frontend_address(self) -> tuple[str, int]:
        """Host and port on which callers connect."""
        return _split_address(self.frontend)

    @property
    def memory(self) -> int | None:
        """Memory that the process may take, in bytes; None if it is not known."""
        return None if self.memory_mb is None else int(self.memory_mb * 1e6)

    @property
    def readiness_address(self) -> tuple[str, int]:
        """Host and port that the load balancer probes."""
        return _split_address(self.readiness)


def _split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class LoadSection(_Section):
    """Decisions under load of a relay node."""

    max_memory_share: float = Field(
        0.95,
        ge=0,
        le=1,
        description="share of an engine's KV memory that requests may fill; 0: no "
        "bound but the slots",
    )
    machine_speed: bool = Field(
        True,
        description="whether requests are placed by the speed that servers report of "
        "their machines",
    )
    connection_preference: float = Field(
        0.0,
        ge=0,
        le=1,
        description="seconds of delay that are accepted to reuse a connection to a "
        "server",
    )
    customer_shares: bool = Field(
        True, description="whether waiting requests are ordered by customers' shares"
    )


class SpillSection(_Section):
    """Spillover of a relay node's requests to other failure domains."""

    mode: str = Field(
        "shared_machines",
        pattern="^(off|shared_machines|on)$",
        description="services that it applies to; shared_machines: those whose servers "
        "report the speed of their machine",
    )
    max_share: float = Field(
        0.5, ge=0, le=1, description="share of a domain's work that may leave it"
    )
    min_gain: float = Field(
        0.05, ge=0, le=60, description="seconds that a request must gain by leaving"
    )


class LogSection(_Section):
    """Log level."""

    level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")


class Settings(_Section):
    """All settings of one node; with an ``ingress`` section, it runs as a relay."""

    node: NodeSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    stop: StopSection = StopSection()
    fleet: FleetSection = FleetSection()
    log: LogSection = LogSection()
    ingress: IngressSection | None = None
    load: LoadSection = LoadSection()
    spill: SpillSection = SpillSection()


@dataclass(frozen=True)
class SettingsFault:
    """One error in a settings file.

    Attributes
    ----------
    file : str
        Path of the file, as given.
    line : int
        Line number from 1; 0 when the file could not be read.
    field : str
        Dotted name of the parameter.
    message : str
        Allowed range or type of the value, and the value found.
    """

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.message}"


class SettingsError(Exception):
    """A settings file cannot be read or is invalid.

    Parameters
    ----------
    faults : list of SettingsFault
        All errors that were found in the file.
    """

    def __init__(self, faults: list[SettingsFault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def find_line(root: yaml.Node | None, loc: tuple[int | str, ...]) -> int:
    """Return the line number of a field in a composed YAML document.

    Parameters
    ----------
    root : yaml.Node or None
        Root node of the document.
    loc : tuple of int or str
        Path of keys and indices, as reported by pydantic.

    Returns
    -------
    int
        Line number, from 1, of the deepest existing part of the path.
    """
    line = 1
    node = root
    for step in loc:
        match node:
            case yaml.MappingNode():
                found = [pair for pair in node.value if pair[0].value == str(step)]
                if not found:
                    return line
                line = found[0][0].start_mark.line + 1
                node = found[0][1]
            case yaml.SequenceNode() if isinstance(step, int):
                node = node.value[step]
                line = node.start_mark.line + 1
            case _:
                return line
    return line


def make_faults(
    file: str, root: yaml.Node | None, exc: ValidationError
) -> list[SettingsFault]:
    """Convert a pydantic error to faults with line numbers.

    Parameters
    ----------
    file : str
        Name of the file to report.
    root : yaml.Node or None
        Root node of the composed document.
    exc : pydantic.ValidationError
        Error raised by the validation of the document.

    Returns
    -------
    list of SettingsFault
        One fault per validation error, sorted by line.
    """
    faults = []
    for error in exc.errors():
        field = ".".join(str(step) for step in error["loc"]) or "(document)"
        message = error["msg"]
        if error["type"] != "missing":
            message += f", got {error['input']!r}"
        faults.append(
            SettingsFault(file, find_line(root, error["loc"]), field, message)
        )
    return sorted(faults, key=lambda fault: fault.line)


def check_model(text: str, file: str, model: type[BaseModel]) -> BaseModel:
    """Validate YAML text against a model.

    Parameters
    ----------
    text : str
        YAML document.
    file : str
        Name of the file to report.
    model : type of BaseModel
        Model that the document must match.

    Returns
    -------
    BaseModel
        Instance of ``model`` with the values of the document.

    Raises
    ------
    SettingsError
        If the document is not valid; lists all faults.
    """
    try:
        root = yaml.compose(text)
        data = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        fault = SettingsFault(file, line, "(document)", f"not YAML: {exc}")
        raise SettingsError([fault]) from exc
    try:
        return model.model_validate({} if data is None else data)
    except ValidationError as exc:
        raise SettingsError(make_faults(file, root, exc)) from exc


def check_settings(text: str, *, file: str = "settings") -> Settings:
    """Validate the text of a settings file.

    Parameters
    ----------
    text : str
        YAML document.
    file : str, default="settings"
        Name of the file to report.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    SettingsError
        If the settings are not valid; lists all faults with file, line, field, allowed
        range and value.

    Examples
    --------
    >>> check_settings("node: {port: 0}")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    medlargate._settings.SettingsError: settings:1: node.name: Field required...
    """
    checked = check_model(text, file, Settings)
    assert isinstance(checked, Settings)
    return checked


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        Path of the file.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = SettingsFault(str(path), 0, "(file)", str(exc))
        raise SettingsError([fault]) from exc
    return check_settings(text, file=str(path))
