"""Lines of the log on what changed of server processes: from what to what, by whose word, how old, and why."""

from __future__ import annotations

from collections.abc import Iterable

from harecross.discovery.process_table import ProcessState, Transition, TransitionCause

NAMES_MOST = 6  # servers named in one line for each kind of change; the rest are counted


def word_of(transition: Transition, now: float) -> str:
    """The statement that decided, for a reader who asks who said it and when."""
    said = transition.statement
    version = "" if said.version is None else f" v{said.version}"
    return f"{said.source.address}{version} said {said.lifecycle.value}, {now - said.at:.1f} s ago"


def describe(transitions: Iterable[Transition], now: float) -> list[str]:
    """One line for each kind of change; `now` in monotonic seconds.

    A change that is the present discovery's own word of this moment names no more than the servers.
    """
    groups: dict[tuple[ProcessState, ProcessState, TransitionCause], list[Transition]] = {}
    for transition in transitions:
        groups.setdefault((transition.before, transition.after, transition.cause), []).append(transition)
    lines = []
    for (before, after, cause), group in groups.items():
        own = cause in (TransitionCause.SAID, TransitionCause.OMITTED) and after is not ProcessState.HELD
        shown = [t.name if own else f"{t.name} ({word_of(t, now)})" for t in group[:NAMES_MOST]]
        if len(group) > NAMES_MOST:
            shown.append(f"{len(group) - NAMES_MOST} more")
        lines.append(f"{before.value} -> {after.value}, {cause.value}: {', '.join(shown)}")
    return lines
