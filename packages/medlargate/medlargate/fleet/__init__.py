"""What the nodes share: configuration, membership, leases, usage, claims."""

from ._config import ConfigConflictError, ConfigReplica
from ._model import (
    KINDS,
    Backend,
    Config,
    ConfigError,
    Customer,
    Key,
    Operation,
    Record,
    RequestClass,
    Route,
    SeedFile,
    describe_validation,
)
from ._usage import Counts, Part, UsageLedger

__all__ = [
    "KINDS",
    "Backend",
    "Config",
    "ConfigConflictError",
    "ConfigError",
    "ConfigReplica",
    "Counts",
    "Customer",
    "Key",
    "Operation",
    "Part",
    "Record",
    "RequestClass",
    "Route",
    "SeedFile",
    "UsageLedger",
    "describe_validation",
]
