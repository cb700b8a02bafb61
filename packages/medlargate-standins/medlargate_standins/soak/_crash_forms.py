"""Forms in which requests crash engines, from a YAML file."""

from __future__ import annotations

from importlib.resources import files

import yaml
from pydantic import BaseModel, ConfigDict, Field

FORMS_FILE = "crash_forms.yaml"


class CrashForm(BaseModel):
    """How engines crash, and which requests crash them.

    Attributes
    ----------
    crash_events : tuple of (int, int)
        First and last event of an answer after which its engine may crash; 0 crashes it
        before the head of the answer.
    returns_after : float
        Seconds until a crashed engine accepts connections again, under a new id.
    vanishes : bool
        Whether a crash closes no connection, like the loss of a machine.
    n_deadly : int
        Number of deadly prompt parts.
    is_last_part : bool
        Whether a deadly part is the last one of its requests, as a session's is.
    sound_seconds : float
        Time for which requests with a deadly part are answered before it crashes
        engines.
    survival_rate : float
        Fraction of the requests with a deadly part that crash nothing.
    deadly_per_second : float
        Rate of the requests with a deadly part; 0 for none.
    sound_per_second : float
        Rate of the sound requests.
    n_groups : int
        Number of prompt parts that sound requests share beside the first one.
    n_events : int
        Number of events of each answer.
    pause : float
        Seconds between two events.
    domain_losses : tuple of float
        Times, in seconds from the first deadly request, at which all engines of one
        failure domain crash.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    crash_events: tuple[int, int] = (1, 1)
    returns_after: float = Field(default=2.3, gt=0)
    vanishes: bool = False
    n_deadly: int = Field(default=1, ge=1)
    is_last_part: bool = False
    sound_seconds: float = Field(default=0.0, ge=0)
    survival_rate: float = Field(default=0.0, ge=0, lt=1)
    deadly_per_second: float = Field(default=3.0, ge=0)
    sound_per_second: float = Field(default=15.0, gt=0)
    n_groups: int = Field(default=8, ge=1)
    n_events: int = Field(default=20, ge=1)
    pause: float = Field(default=0.05, ge=0)
    domain_losses: tuple[float, ...] = ()


def load_crash_forms() -> dict[str, CrashForm]:
    """Load the forms of this package by name."""
    text = files(__package__).joinpath(f"scenarios/{FORMS_FILE}").read_text()
    return {
        name: CrashForm.model_validate(row or {})
        for name, row in yaml.safe_load(text).items()
    }
