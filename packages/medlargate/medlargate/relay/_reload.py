"""What of a changed settings file is taken in while requests run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .._settings import Settings

# Everything else names addresses or intervals that open sockets, leases and windows
# depend on; it comes into force with the next start.
LIVE_FIELDS = frozenset(
    {
        "log.level",
        "ingress.grace",
        "ingress.seeds",
        "ingress.retry_ratio",
        "ingress.retry_slack",
        "ingress.retry_window",
    }
)


@dataclass(frozen=True, slots=True)
class Reload:
    """What a changed settings file brings.

    Attributes
    ----------
    settings : Settings
        The old ones with what is taken in now.
    live : tuple of str
        Fields that changed and are in force now.
    at_start : tuple of str
        Fields that changed and wait for the next start.
    """

    settings: Settings
    live: tuple[str, ...]
    at_start: tuple[str, ...]


def decide_reload(old: Settings, new: Settings) -> Reload:
    """Decide which changes of the settings are taken in now.

    Parameters
    ----------
    old : Settings
        In force.
    new : Settings
        Of the changed file, checked.

    Returns
    -------
    Reload
        With ``old`` itself when nothing changed.
    """
    before, after = _flatten(old.model_dump()), _flatten(new.model_dump())
    changed = sorted(
        name for name in before | after if before.get(name) != after.get(name)
    )
    live = tuple(name for name in changed if name in LIVE_FIELDS and name in after)
    settings = old
    for name in live:
        section, _, field = name.partition(".")
        part = getattr(settings, section).model_copy(update={field: after[name]})
        settings = settings.model_copy(update={section: part})
    at_start = tuple(name for name in changed if name not in live)
    return Reload(settings, live, at_start)


def _flatten(sections: dict[str, Any]) -> dict[str, Any]:
    """Name each field by its section."""
    return {
        f"{section}.{field}": value
        for section, fields in sections.items()
        for field, value in (fields or {}).items()
    }
