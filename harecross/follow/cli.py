"""`harecross follow`: shows one request across the logs of many nodes, or lists requests that ended badly."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import exit_with_error
from harecross.interface import Idempotency

if TYPE_CHECKING:
    from harecross.follow.late_sends import LateSend
    from harecross.follow.logs import AttemptLogs
    from harecross.follow.requests import LoggedRequest

MAX_TIERS = 8
IDEMPOTENCY_BY_WORD = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENCY_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}


def follow(
    words: Annotated[
        list[str], typer.Argument(help="A request id followed by attempt logs, or attempt logs only.")
    ],
    ended_badly: Annotated[
        bool,
        typer.Option(
            "--ended-badly", help="Without an id: list requests that broke a rule or missed their deadline."
        ),
    ] = False,
    leaving: Annotated[
        bool,
        typer.Option(
            "--leaving", help="Without an id: list requests sent to servers already announced as leaving."
        ),
    ] = False,
    effect: Annotated[
        list[str] | None,
        typer.Option(help="CLASS=safe, CLASS=keyed or CLASS=unsafe; other classes count as unsafe."),
    ] = None,
) -> None:
    """Show the events of a request at all nodes and tiers, in order.

    The exit status is 1 if a listing finds any requests, and 2 for bad input.
    """
    idempotency = dict(parse_class_idempotency(text) for text in effect or [])
    if ended_badly and leaving:
        exit_with_error("follow: only one of --ended-badly and --leaving is allowed")
    listing = ended_badly or leaving
    paths = [Path(word) for word in (words if listing else words[1:])]
    if not paths:
        exit_with_error(
            "follow: no log given" if listing else "follow: a request id and at least one log are required"
        )
    logs = read_logs_or_exit(paths)
    if leaving:
        list_late_sends(logs)
    elif ended_badly:
        list_ended_badly(logs, idempotency)
    else:
        show_request(logs, words[0], len(paths))


def parse_class_idempotency(text: str) -> tuple[str, Idempotency]:
    """Parses CLASS=WORD; exits if the text is not valid."""
    name, sign, word = text.partition("=")
    if not sign or word not in IDEMPOTENCY_BY_WORD:
        exit_with_error(f"--effect {text}: expected CLASS=WORD with one of {', '.join(IDEMPOTENCY_BY_WORD)}")
    return name, IDEMPOTENCY_BY_WORD[word]


def read_logs_or_exit(paths: list[Path]) -> AttemptLogs:
    """Reads the logs and reports truncated lines; exits if a log cannot be read."""
    from harecross.follow.events import BadLogError
    from harecross.follow.logs import read_logs

    try:
        logs = read_logs(paths)
    except BadLogError as error:
        exit_with_error(str(error))
    for line in logs.truncated_lines:
        typer.echo(f"{line}: truncated, skipped", err=True)
    return logs


def list_ended_badly(logs: AttemptLogs, idempotency: dict[str, Idempotency]) -> None:
    """Prints the requests that broke a rule or their deadline; exits with 1 if there are any."""
    bad = []
    for request in logs.requests.values():
        class_idempotency = idempotency.get(request.request_class, Idempotency.NON_IDEMPOTENT)
        if problems := request.problems(logs.end_ns, class_idempotency):
            bad.append((request, problems))
    for request, problems in sorted(bad, key=lambda pair: pair[0].admitted_ns):
        typer.echo(f"{request.id} node={request.node} class={request.request_class}: {'; '.join(problems)}")
    typer.echo(f"{len(bad)} of {len(logs.requests)} requests ended badly")
    if bad:
        raise typer.Exit(1)


def list_late_sends(logs: AttemptLogs) -> None:
    """Prints each late send with the times that make it late; exits with 1 if there are any."""
    from harecross.follow.late_sends import late_sends

    if not any(logs.node_events.values()):
        exit_with_error(
            "follow: no list was read in these logs: they are older than the list event, or begin after it"
        )
    begin_ns = min(event.time_ns for events in logs.node_events.values() for event in events)
    found = late_sends(logs)
    for send in found:
        show_late_send(send, begin_ns)
    typer.echo(f"{len(found)} sends to servers announced as leaving")
    if found:
        raise typer.Exit(1)


def show_late_send(send: LateSend, begin_ns: int) -> None:
    """Prints one send with its times, in seconds since `begin_ns`."""

    def seconds(time_ns: int | None) -> str:
        """Formats a time as seconds since `begin_ns`, with three decimals."""
        return "never" if time_ns is None else f"{(time_ns - begin_ns) / 1e9:.3f}"

    typer.echo(
        f"{send.request_id} node={send.node} server={send.server}: {send.delay_s:.3f} s after its notification; "
        f"listed={seconds(send.listed_ns)} started={seconds(send.process_started_ns or None)} "
        f"read={seconds(send.read_ns)} sent={seconds(send.sent_ns)} written={seconds(send.written_ns)} "
        f"(listed: first read by {send.listed_by})"
    )
    change = send.state_change
    if change is not None:
        fields = change.fields
        typer.echo(
            f"  at {seconds(change.time_ns)} "
            f"{fields['before']} -> {fields['server.state']}, {fields['cause']}: "
            f"{fields['said_by']} v{fields['generation']} said {fields['said']}, {fields['age']} s before"
        )


def show_request(logs: AttemptLogs, request_id: str, log_count: int) -> None:
    """Prints the events of a request; exits if no log has it."""
    try:
        request = logs.first_request(request_id)
    except KeyError:
        exit_with_error(f"follow: no request {request_id} in {log_count} logs")
    show_events(logs, request, request.events[0].time_ns, 0)


def show_events(logs: AttemptLogs, request: LoggedRequest, start_ns: int, tier: int) -> None:
    """Prints events with the seconds since the first one, and below each attempt the calls that it caused."""
    indent = "    " * tier
    for event in request.events:
        fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
        seconds = (event.time_ns - start_ns) / 1e9
        typer.echo(f"{seconds:9.4f} {indent}{request.node} {request.id} {event.name} {fields}".rstrip())
        if event.name == "written" and tier < MAX_TIERS:
            show_calls_below(logs, request, event.attempt_number, start_ns, tier)
    if not request.answer:
        typer.echo(f"          {indent}{request.node} {request.id} no final answer in these logs")


def show_calls_below(
    logs: AttemptLogs, request: LoggedRequest, attempt_number: int, start_ns: int, tier: int
) -> None:
    """Prints the calls to the tier below that an attempt caused."""
    attempt = request.attempt(attempt_number)
    if attempt is None:
        return
    below = logs.calls_below(request, attempt)
    for call in below.requests:
        if not below.certain:
            typer.echo(
                f"          {'    ' * tier}    (caused by this attempt or by another one at the server at the time:)"
            )
        show_events(logs, call, start_ns, tier + 1)
