"""Translates commands into changes of the configuration."""

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
    """The operations of one command.

    Attributes
    ----------
    operations : tuple of Operation
        Operations that are applied atomically.
    secret : str
        Secret of a created key, which is shown only once; empty for other commands.
    """

    operations: tuple[Operation, ...]
    secret: str = ""


def make_change(command: Command, config: Config, hash_secret) -> Change:
    """Translate a command into a change.

    Parameters
    ----------
    command : Command
        Parsed command.
    config : Config
        Active configuration.
    hash_secret : callable
        Returns the hash of a key's secret.

    Returns
    -------
    Change
        Operations of the command.

    Raises
    ------
    StatementError
        If the command names a missing or already existing entity, or an unknown
        parameter.
    """
    match command.verb:
        case "create":
            return _create(command, config, hash_secret)
        case "change":
            return Change((_update(command, config, dict(command.values)),))
        case "delete":
            _get_entity(command, config)
            operation = Operation(action="delete", kind=command.kind, name=command.name)
            return Change((operation,))
        case "drain" | "undrain":
            return _drain(command, config)
        case _:
            value = {"at": time.time()}
            operation = Operation(
                action="put", kind="pardon", name=command.name, value=value
            )
            return Change((operation,))


def make_precondition(change: Change, config: Config) -> Callable[[Config], None]:
    """Make a check that no other change touched the entities of a command.

    Parameters
    ----------
    change : Change
        Operations of the command.
    config : Config
        Configuration from which the change was made.

    Returns
    -------
    callable
        Takes the latest configuration and raises ``ConfigError`` when one of the
        entities differs from ``config``.
    """
    expected = {
        (op.kind, op.name): config.entities[op.kind].get(op.name)
        for op in change.operations
    }

    def check(latest: Config) -> None:
        for (kind, name), entity in expected.items():
            if latest.entities[kind].get(name) != entity:
                raise ConfigError(
                    f"{kind} {name!r} was changed by another operator in the meantime; "
                    f"the latest revision is {latest.revision}"
                )

    return check


def _check_fields(command: Command) -> None:
    known = set(KINDS[command.kind].model_fields)
    allowed = known - {"digest"}
    for field, _ in command.values:
        if field not in allowed:
            names = ", ".join(sorted(allowed))
            raise StatementError(
                f"{command.kind} has no parameter {field!r}; allowed: {names}"
            )


def _get_entity(command: Command, config: Config):
    entity = config.entities[command.kind].get(command.name)
    if entity is None:
        raise StatementError(f"{command.kind} {command.name!r} does not exist")
    return entity


def _create(command: Command, config: Config, hash_secret) -> Change:
    _check_fields(command)
    if command.name in config.entities[command.kind]:
        raise StatementError(f"{command.kind} {command.name!r} already exists")
    value = dict(command.values)
    secret = ""
    if command.kind == "key":
        secret = SECRET_PREFIX + secrets.token_urlsafe(24)
        value["digest"] = hash_secret(secret)
    operation = Operation(
        action="put", kind=command.kind, name=command.name, value=value
    )
    return Change((operation,), secret)


def _update(command: Command, config: Config, values: dict) -> Operation:
    _check_fields(command)
    entity = _get_entity(command, config)
    value = {**entity.model_dump(mode="json", exclude_defaults=True), **values}
    return Operation(action="put", kind=command.kind, name=command.name, value=value)


def _drain(command: Command, config: Config) -> Change:
    values = {"draining": command.verb == "drain"}
    if command.kind == "backend":
        return Change((_update(command, config, values),))
    names = [n for n, b in config.backends.items() if b.failure_domain == command.name]
    if not names:
        raise StatementError(f"no backend server is in failure domain {command.name!r}")
    commands = [Command(command.verb, "backend", name) for name in names]
    return Change(tuple(_update(each, config, values) for each in commands))
