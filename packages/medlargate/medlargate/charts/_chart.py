"""State charts read from YAML files and interpreted at run time."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cache
from importlib import resources
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict
from transitions import Machine


class _Transition(BaseModel):
    model_config = ConfigDict(extra="forbid")
    event: str
    source: str
    dest: str


class _ChartFile(BaseModel):
    model_config = ConfigDict(extra="forbid")
    initial: str
    states: dict[str, dict[str, Any]]
    transitions: list[_Transition]


class TransitionError(Exception):
    """An event arrived in a state whose chart does not allow it.

    Parameters
    ----------
    chart, state, event : str
        The chart's name, the current state and the event.
    """

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(f"chart {chart!r}: no event {event!r} in state {state!r}")


@dataclass(frozen=True)
class Chart:
    """A checked state chart.

    Attributes
    ----------
    name : str
        The file's name without its ending.
    initial : str
        The state in which each subject starts.
    attributes : dict of str to dict
        What the file says of each state.
    table : dict of (str, str) to str
        Maps (state, event) to the next state.

    Notes
    -----
    ``transitions.Machine`` checks the file; the table is derived from the
    machine, because a dictionary look-up per event is what the data path affords.

    Examples
    --------
    >>> load_chart("request").decide("queued", "assign")
    'assigned'
    """

    name: str
    initial: str
    attributes: dict[str, dict[str, Any]]
    table: dict[tuple[str, str], str]

    def decide(self, state: str, event: str) -> str:
        """Return the state that follows an event.

        Parameters
        ----------
        state, event : str
            The current state and what happened.

        Returns
        -------
        str
            The next state.

        Raises
        ------
        TransitionError
            The chart has no such transition.
        """
        dest = self.table.get((state, event))
        if dest is None:
            raise TransitionError(self.name, state, event)
        return dest

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the chart has a transition for an event.

        Parameters
        ----------
        state, event : str
            The current state and the event.

        Returns
        -------
        bool
            True when ``decide`` would succeed.
        """
        return (state, event) in self.table


def _build_table(machine: Machine) -> dict[tuple[str, str], str]:
    table = {}
    for event_name, event in machine.events.items():
        for source, candidates in event.transitions.items():
            for transition in candidates:
                table[source, event_name] = transition.dest
    return table


@cache
def load_chart(name: str) -> Chart:
    """Load and check one of the package's charts.

    Parameters
    ----------
    name : str
        The file's name without its ending, for instance ``"request"``.

    Returns
    -------
    Chart
        The chart; the same object at each call.
    """
    text = resources.files(__package__).joinpath(f"{name}.yaml").read_text()
    parsed = _ChartFile.model_validate(yaml.safe_load(text))
    machine = Machine(
        model=None,
        states=list(parsed.states),
        transitions=[
            {"trigger": step.event, "source": step.source, "dest": step.dest}
            for step in parsed.transitions
        ],
        initial=parsed.initial,
        auto_transitions=False,
    )
    return Chart(name, parsed.initial, parsed.states, _build_table(machine))


@dataclass
class Subject:
    """Something that moves through a chart.

    Attributes
    ----------
    chart : Chart
        The chart that rules it.
    state : str
        Its current state.
    history : list of str
        Every state it has been in, oldest first.
    """

    chart: Chart
    state: str = ""
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.state = self.state or self.chart.initial
        self.history.append(self.state)

    def observe(self, event: str) -> str:
        """Take in an event and return the new state.

        Parameters
        ----------
        event : str
            What happened.

        Returns
        -------
        str
            The state after it.
        """
        self.state = self.chart.decide(self.state, event)
        self.history.append(self.state)
        return self.state

    @property
    def attributes(self) -> dict[str, Any]:
        """What the chart's file says of the current state."""
        return self.chart.attributes[self.state]


def make_mermaid(chart: Chart) -> str:
    """Draw a chart as a Mermaid state diagram.

    Parameters
    ----------
    chart : Chart
        The chart to draw.

    Returns
    -------
    str
        Mermaid source text.
    """
    lines = ["stateDiagram-v2", f"    [*] --> {chart.initial}"]
    for (source, event), dest in chart.table.items():
        lines.append(f"    {source} --> {dest}: {event}")
    return "\n".join(lines)
