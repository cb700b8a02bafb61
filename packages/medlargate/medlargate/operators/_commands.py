"""Commands as changes of the configuration."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet import KINDS, Config, ConfigError, Operation
from ._statements import Command, StatementError

SECRET_PREFIX = "mlg-"


@dataclass(frozen=True, slots=True)
class Change:
    """What a command does.

    Attributes
    ----------
    operations : tuple of Operation
        One atomic change.
    secret : str
        A new key's secret, shown once; empty otherwise.
    """

    operations: tuple[Operation, ...]
    secret: str = ""


def make_change(command: Command, cfg: Config, hash_secret) -> Change:
    """Turn a command into a change.

    Parameters
    ----------
    command : Command
        What the operator wants.
    cfg : Config
        The configuration in force.
    hash_secret : callable
        Hashes a key's secret.

    Returns
    -------
    Change
        The operations.

    Raises
    ------
    StatementError
        The command does not fit the configuration.
    """
    match command.verb:
        case "create":
            return _create(command, cfg, hash_secret)
        case "change":
            return Change((_update(command, cfg, dict(command.values)),))
        case "delete":
            _find(command, cfg)
            operation = Operation(action="delete", kind=command.kind, name=command.name)
            return Change((operation,))
        case "drain" | "undrain":
            return _drain(command, cfg)
        case _:
            value = {"at": time.time()}
            operation = Operation(
                action="put", kind="pardon", name=command.name, value=value
            )
            return Change((operation,))


def make_precondition(change: Change, cfg: Config) -> Callable[[Config], None]:
    """Make the check that nobody else changed what a command is about.

    Parameters
    ----------
    change : Change
        What the command does.
    cfg : Config
        The configuration that the operator's node saw.

    Returns
    -------
    callable
        Raises ``ConfigError`` when an entity is not as it was.
    """
    seen = {
        (op.kind, op.name): cfg.entities[op.kind].get(op.name)
        for op in change.operations
    }

    def check(newest: Config) -> None:
        for (kind, name), entity in seen.items():
            if newest.entities[kind].get(name) != entity:
                raise ConfigError(
                    f"{kind} {name!r} was changed by another operator meanwhile, "
                    f"in force is revision {newest.revision}"
                )

    return check


def _check_fields(command: Command) -> None:
    known = set(KINDS[command.kind].model_fields)
    allowed = known - {"digest"}
    for field, _ in command.values:
        if field not in allowed:
            names = ", ".join(sorted(allowed))
            raise StatementError(
                f"{command.kind} has no parameter {field!r}, only {names}"
            )


def _find(command: Command, cfg: Config):
    entity = cfg.entities[command.kind].get(command.name)
    if entity is None:
        raise StatementError(f"{command.kind} {command.name!r} does not exist")
    return entity


def _create(command: Command, cfg: Config, hash_secret) -> Change:
    _check_fields(command)
    if command.name in cfg.entities[command.kind]:
        raise StatementError(f"{command.kind} {command.name!r} exists already")
    value = dict(command.values)
    secret = ""
    if command.kind == "key":
        secret = SECRET_PREFIX + secrets.token_urlsafe(24)
        value["digest"] = hash_secret(secret)
    operation = Operation(
        action="put", kind=command.kind, name=command.name, value=value
    )
    return Change((operation,), secret)


def _update(command: Command, cfg: Config, values: dict) -> Operation:
    _check_fields(command)
    entity = _find(command, cfg)
    value = {**entity.model_dump(mode="json", exclude_defaults=True), **values}
    return Operation(action="put", kind=command.kind, name=command.name, value=value)


def _drain(command: Command, cfg: Config) -> Change:
    values = {"draining": command.verb == "drain"}
    if command.kind == "backend":
        return Change((_update(command, cfg, values),))
    names = [n for n, b in cfg.backends.items() if b.failure_domain == command.name]
    if not names:
        raise StatementError(f"no backend server is in domain {command.name!r}")
    commands = [Command(command.verb, "backend", name) for name in names]
    return Change(tuple(_update(each, cfg, values) for each in commands))
