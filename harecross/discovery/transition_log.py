"""Log lines for state transitions of server processes: the old and new state, and the cause."""

from __future__ import annotations

from collections.abc import Iterable

from harecross.discovery.process_table import ProcessState, Transition, TransitionCause

MAX_NAMES_SHOWN = 6  # servers named in one line; the others are only counted


def describe_statement(transition: Transition, now: float) -> str:
    """Describes the statement that determined a transition: its source, version and age."""
    statement = transition.statement
    version = "" if statement.version is None else f" v{statement.version}"
    lifecycle = statement.lifecycle.value
    age_s = now - statement.stated_at
    return f"{statement.source.address}{version} said {lifecycle}, {age_s:.1f} s ago"


def describe_transitions(transitions: Iterable[Transition], now: float) -> list[str]:
    """Returns one line for each combination of states and cause; `now` is in monotonic seconds.

    If the current source has just stated the new state, a line names only the servers.
    """
    groups: dict[tuple[ProcessState, ProcessState, TransitionCause], list[Transition]] = {}
    for transition in transitions:
        groups.setdefault((transition.before, transition.after, transition.cause), []).append(transition)
    return [
        f"{before.value} -> {after.value}, {cause.value}: {', '.join(shown_names(group, now))}"
        for (before, after, cause), group in groups.items()
    ]


def shown_names(group: list[Transition], now: float) -> list[str]:
    """Returns the servers of one group of transitions, with the determining statement if it is not obvious."""
    cause, after = group[0].cause, group[0].after
    by_current_source = cause in (TransitionCause.STATED, TransitionCause.ABSENT_FROM_FULL_LIST)
    names_only = by_current_source and after is not ProcessState.QUARANTINED
    shown = [
        transition.server if names_only else f"{transition.server} ({describe_statement(transition, now)})"
        for transition in group[:MAX_NAMES_SHOWN]
    ]
    if len(group) > MAX_NAMES_SHOWN:
        shown.append(f"{len(group) - MAX_NAMES_SHOWN} more")
    return shown
