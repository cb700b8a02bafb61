"""Reload of a changed settings file while the node is running."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .._settings import Settings

# All other fields are addresses or intervals that open sockets, leases and usage
# windows depend on; their changes take effect at the next start.
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
class ReloadDecision:
    """Result of a reload of the settings.

    Attributes
    ----------
    settings : Settings
        Old settings with the changes that are applied now.
    live : tuple of str
        Names of the changed fields that are applied now.
    at_start : tuple of str
        Names of the changed fields that are applied at the next start.
    """

    settings: Settings
    live: tuple[str, ...]
    at_start: tuple[str, ...]


def decide_reload(old: Settings, new: Settings) -> ReloadDecision:
    """Determine which changes of the settings are applied now.

    Parameters
    ----------
    old : Settings
        Settings in force.
    new : Settings
        Validated settings of the changed file.

    Returns
    -------
    ReloadDecision
        Decision whose ``settings`` is ``old`` itself if nothing changed.
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
    return ReloadDecision(settings, live, at_start)


def _flatten(sections: dict[str, Any]) -> dict[str, Any]:
    """Return the values by ``section.field`` name."""
    return {
        f"{section}.{field}": value
        for section, fields in sections.items()
        for field, value in (fields or {}).items()
    }
