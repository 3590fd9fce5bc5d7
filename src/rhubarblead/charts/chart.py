"""Loads state charts and computes the state that follows an event."""

import functools
from importlib import resources
from typing import Annotated

import pydantic
import transitions

from rhubarblead import faults
from rhubarblead import tables

_Identifier = Annotated[str, pydantic.Field(pattern=r"^[a-z][a-z_]*$")]


class InvalidTransition(Exception):
    """An event occurred in a state that has no transition for it."""

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        self.chart = chart
        self.state = state
        self.event = event
        super().__init__(
            f"{chart}: no transition for event {event!r} in state {state!r}"
        )


class Transition(tables.Strict):
    """A transition between two states."""

    event: _Identifier
    source: _Identifier
    dest: _Identifier


class Document(tables.Strict):
    """The content of a chart file."""

    name: _Identifier
    initial: _Identifier
    states: Annotated[tuple[_Identifier, ...], pydantic.Field(min_length=1)]
    transitions: tuple[Transition, ...]

    @pydantic.model_validator(mode="after")
    def _check_states(self) -> "Document":
        unknown = self._list_referenced() - set(self.states)
        if unknown:
            raise ValueError(f"unknown states: {sorted(unknown)}")
        if len(set(self.states)) != len(self.states):
            raise ValueError("a state is listed more than once")
        return self

    @pydantic.model_validator(mode="after")
    def _check_transitions(self) -> "Document":
        pairs = [
            (transition.source, transition.event)
            for transition in self.transitions
        ]
        if len(set(pairs)) != len(pairs):
            raise ValueError("a state has several transitions for one event")
        unreached = set(self.states) - self._list_reached()
        if unreached:
            raise ValueError(
                f"states without a transition to them: {sorted(unreached)}"
            )
        return self

    def _list_referenced(self) -> set[str]:
        referenced = {self.initial}
        for transition in self.transitions:
            referenced |= {transition.source, transition.dest}
        return referenced

    def _list_reached(self) -> set[str]:
        return {self.initial} | {
            transition.dest for transition in self.transitions
        }


class Chart:
    """A validated chart, built with the `transitions` library."""

    __slots__ = ("_machine", "_next", "initial", "name")

    def __init__(self, *, document: Document) -> None:
        self.name = document.name
        self.initial = document.initial
        self._machine = transitions.Machine(
            model=None,
            states=list(document.states),
            initial=document.initial,
            auto_transitions=False,
            transitions=[
                {
                    "trigger": transition.event,
                    "source": transition.source,
                    "dest": transition.dest,
                }
                for transition in document.transitions
            ],
        )
        self._next: dict[tuple[str, str], str] = {
            (found.source, event): found.dest
            for event in self._machine.events
            for found in self._machine.get_transitions(event)
            if found.dest is not None
        }

    def follow(self, state: str, event: str) -> str:
        """Finds the state that follows an event.

        Args:
            state: The current state.
            event: The event that occurred.

        Returns:
            The next state.

        Raises:
            InvalidTransition: The state has no transition for the event.
        """
        after = self._next.get((state, event))
        if after is None:
            raise InvalidTransition(chart=self.name, state=state, event=event)
        return after


def parse_chart(text: bytes, *, subject: str) -> Chart:
    """Parses and validates the text of a chart file.

    Args:
        text: The JSON text.
        subject: The name of the file in error messages.

    Returns:
        The chart.

    Raises:
        faults.CannotAccept: The text is not a valid chart; the faults name the
            invalid fields.
    """
    try:
        document = Document.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise faults.CannotAccept(
            subject=subject, faults=faults.list_faults(error)
        ) from error
    return Chart(document=document)


@functools.cache
def load_chart(name: str) -> Chart:
    """Loads a chart of this package.

    Args:
        name: The file name without its suffix.

    Returns:
        The validated chart; the same object for each call.

    Raises:
        faults.CannotAccept: The file is not a valid chart.
    """
    path = resources.files("rhubarblead.charts").joinpath(f"{name}.json")
    return parse_chart(path.read_bytes(), subject=f"{name}.json")
