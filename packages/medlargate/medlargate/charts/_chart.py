"""State charts that are loaded from YAML files and interpreted at run time."""

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
    """An event occurred in a state that has no transition for it.

    Parameters
    ----------
    chart, state, event : str
        Name of the chart, the current state and the event.
    """

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(
            f"chart {chart!r}: no transition for event {event!r} in state {state!r}"
        )


@dataclass(frozen=True)
class Chart:
    """A validated state chart.

    Attributes
    ----------
    name : str
        Name of the YAML file without its suffix.
    initial : str
        Initial state of each ``StateMachine``.
    attributes : dict of str to dict
        Attributes of each state, as given in the file.
    table : dict of (str, str) to str
        Next state for each pair of state and event.

    Notes
    -----
    ``transitions.Machine`` validates the file. The table is derived from the machine,
    because the request path can afford only one dictionary look-up per event.

    Examples
    --------
    >>> load_chart("request").get_next_state("queued", "assign")
    'assigned'
    """

    name: str
    initial: str
    attributes: dict[str, dict[str, Any]]
    table: dict[tuple[str, str], str]

    def get_next_state(self, state: str, event: str) -> str:
        """Return the next state for an event.

        Parameters
        ----------
        state, event : str
            The current state and the event.

        Returns
        -------
        str
            The next state.

        Raises
        ------
        TransitionError
            If the chart has no such transition.
        """
        dest = self.table.get((state, event))
        if dest is None:
            raise TransitionError(self.name, state, event)
        return dest

    def allows(self, state: str, event: str) -> bool:
        """Return whether the chart has a transition for an event.

        Parameters
        ----------
        state, event : str
            The current state and the event.

        Returns
        -------
        bool
            True if ``get_next_state`` would return a state.
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
    """Load and validate one of the charts of this package.

    Parameters
    ----------
    name : str
        Name of the YAML file without its suffix, for instance ``"request"``.

    Returns
    -------
    Chart
        The chart; repeated calls return the same object.
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
class StateMachine:
    """The current state and the state history of one entity with a state chart.

    Attributes
    ----------
    chart : Chart
        Chart that defines the allowed transitions.
    state : str
        Current state; empty starts in the initial state of the chart.
    history : list of str
        All states since the start, oldest first, the current one included.
    """

    chart: Chart
    state: str = ""
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.state = self.state or self.chart.initial
        self.history.append(self.state)

    def observe(self, event: str) -> str:
        """Apply an event and return the new state.

        Parameters
        ----------
        event : str
            Name of the event.

        Returns
        -------
        str
            State after the transition.
        """
        self.state = self.chart.get_next_state(self.state, event)
        self.history.append(self.state)
        return self.state

    @property
    def attributes(self) -> dict[str, Any]:
        """Attributes of the current state, as given in the chart's file."""
        return self.chart.attributes[self.state]


def make_mermaid(chart: Chart) -> str:
    """Format a chart as a Mermaid state diagram.

    Parameters
    ----------
    chart : Chart
        The chart to format.

    Returns
    -------
    str
        Mermaid source text.
    """
    lines = ["stateDiagram-v2", f"    [*] --> {chart.initial}"]
    for (source, event), dest in chart.table.items():
        lines.append(f"    {source} --> {dest}: {event}")
    return "\n".join(lines)
