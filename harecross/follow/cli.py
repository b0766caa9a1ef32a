"""`harecross follow`: one request's way through the logs of many nodes, or those that ended badly."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import stop

if TYPE_CHECKING:
    from harecross.follow.reader import Logs, Request

DEPTH = 8  # tiers
EFFECTS = ("safe", "keyed", "unsafe")


def follow(
    words: Annotated[list[str], typer.Argument(help="A request's id, then attempt logs; or logs alone.")],
    ended_badly: Annotated[
        bool, typer.Option("--ended-badly", help="No id: lists the requests that broke a rule or their time.")
    ] = False,
    leaving: Annotated[
        bool,
        typer.Option("--leaving", help="No id: lists what went to servers already announced as leaving."),
    ] = False,
    effect: Annotated[
        list[str] | None,
        typer.Option(help="CLASS=safe, keyed or unsafe; a class not named is taken as unsafe."),
    ] = None,
) -> None:
    """A request's way through all nodes and tiers, in order. 1 where some have ended badly, 2 for bad input."""
    from harecross.follow.reader import BadLog, read

    effects = dict(effect_of(text) for text in effect or [])
    if ended_badly and leaving:
        stop("follow: one of --ended-badly and --leaving")
    listing = ended_badly or leaving
    paths = [Path(w) for w in (words if listing else words[1:])]
    if not paths:
        stop("follow: no log is named" if listing else "follow: an id and at least one log")
    try:
        logs = read(paths)
    except BadLog as e:
        stop(str(e))
    for text in logs.torn:
        typer.echo(f"{text}: torn, passed over", err=True)
    if leaving:
        show_leaving(logs)
        return
    if ended_badly:
        bad = [(r, wrong) for r in logs.requests.values() if (wrong := r.wrong(logs.end, effects))]
        for r, wrong in sorted(bad, key=lambda pair: pair[0].taken):
            typer.echo(f"{r.id} node={r.node} class={r.klass}: {'; '.join(wrong)}")
        typer.echo(f"{len(bad)} of {len(logs.requests)} requests ended badly")
        if bad:
            raise typer.Exit(1)
        return
    try:
        first = logs.find(words[0])
    except KeyError:
        stop(f"follow: no request {words[0]} in {len(paths)} logs")
    show(logs, first, first.events[0].at, 0)


def show_leaving(logs: Logs) -> None:
    """Each send that came too late, with the times that made it so."""
    from harecross.follow.leaving import late_sends

    if not any(logs.told.values()):
        stop("follow: no list was read in these logs: they are older than that line, or begin after it")
    found, begin = late_sends(logs), min(e.at for events in logs.told.values() for e in events)
    for late in found:
        seconds = {
            "listed": late.listed, "started": late.started or None, "read": late.read, "sent": late.sent,
            "written": late.written,
        }  # fmt: skip
        times = " ".join(
            f"{name}={'never' if at is None else format((at - begin) / 1e9, '.3f')}"
            for name, at in seconds.items()
        )
        typer.echo(
            f"{late.request} node={late.node} server={late.server}: {late.after:.3f} s after it was told; {times} "
            f"(listed: first read by {late.by})"
        )
        if late.state is not None:
            told = late.state.fields
            typer.echo(
                f"  at {(late.state.at - begin) / 1e9:.3f} "
                f"{told['before']} -> {told['server.state']}, {told['cause']}: "
                f"{told['said_by']} v{told['generation']} said {told['said']}, {told['age']} s before"
            )
    typer.echo(f"{len(found)} sends to servers announced as leaving")
    if found:
        raise typer.Exit(1)


def effect_of(text: str) -> tuple[str, str]:
    name, sign, value = text.partition("=")
    if not sign or value not in EFFECTS:
        stop(f"--effect {text}: CLASS=one of {', '.join(EFFECTS)}")
    return name, value


def show(logs: Logs, r: Request, start: int, depth: int) -> None:
    """Its events with seconds since the first, and below each attempt what it caused."""
    pad = "    " * depth
    for e in r.events:
        more = " ".join(f"{k}={v}" for k, v in e.fields.items())
        typer.echo(f"{(e.at - start) / 1e9:9.4f} {pad}{r.node} {r.id} {e.what} {more}".rstrip())
        if e.what == "written" and depth < DEPTH:
            attempt = r.attempt(e.attempt)
            calls, sure = logs.below(r, attempt) if attempt is not None else ([], True)
            for call in calls:
                if not sure:
                    typer.echo(f"          {pad}    (of this attempt or of another one there at the time:)")
                show(logs, call, start, depth + 1)
    if not r.answer:
        typer.echo(f"          {pad}{r.node} {r.id} no final answer in these logs")
