"""`harecross door`: calls to the admin servers of running nodes.

The exit status is 0 on success, 1 if a call failed or was refused, 2 for invalid arguments or files, and
130 after an interrupt.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import exit_with_error

if TYPE_CHECKING:
    from harecross.admin_client.calls import CallResult, NodeStatus
    from harecross.admin_client.release import Release

DRAIN_POLL_INTERVAL_S = 0.25
REFUSED_STATUS = 1
INTERRUPTED_STATUS = 130

admin_app = typer.Typer(
    no_args_is_help=True,
    help="Put servers into and out of maintenance, put nodes into and out of standby, restart servers in turn.",
)

At = Annotated[
    list[str],
    typer.Option("--at", envvar="LB_ADMIN", help="HOST:PORT of a node's admin server; repeat for each node."),
]
Ids = Annotated[list[str], typer.Argument(metavar="ID...", help="Ids of servers in discovery.")]


def checked_nodes(addresses: list[str]) -> list[str]:
    """Returns the addresses without duplicates; exits if one is not valid."""
    from harecross.admin_client.calls import validated_address

    try:
        return list(dict.fromkeys(validated_address(address) for address in addresses))
    except ValueError as error:
        exit_with_error(f"--at: {error}")


def print_result(node: str, result: CallResult) -> None:
    """Prints the result of one call; failures go to standard error."""
    if result.ok:
        print(f"{node}: {result.text}")
    else:
        print(f"{node}: error: {result.text}", file=sys.stderr)


def call_all(nodes: list[str], path: str, bodies: list[str], method: str = "POST") -> bool:
    """Makes the same calls to every node and prints the results; returns whether all succeeded."""
    from harecross.admin_client.calls import call_node

    all_ok = True
    for node in nodes:
        for body in bodies:
            result = call_node(node, method, path, body)
            print_result(node, result)
            all_ok = all_ok and result.ok
    return all_ok


def exit_with(ok: bool) -> typer.Exit:
    """Returns the exception to raise at the end of a command."""
    return typer.Exit(0 if ok else REFUSED_STATUS)


@admin_app.command("status")
def status(at: At) -> None:
    """Show whether each node is active or in standby, and which servers are in maintenance."""
    raise exit_with(call_all(checked_nodes(at), "/status", [""], "GET"))


@admin_app.command("standby")
def standby(at: At) -> None:
    """Put nodes into standby, so that clients move to other nodes."""
    raise exit_with(call_all(checked_nodes(at), "/standby", [""]))


@admin_app.command("active")
def active(at: At) -> None:
    """End the standby of nodes, so that they serve clients again."""
    raise exit_with(call_all(checked_nodes(at), "/active", [""]))


@admin_app.command("back")
def back(ids: Ids, at: At) -> None:
    """End the maintenance of servers; they are used again, with slow start."""
    raise exit_with(call_all(checked_nodes(at), "/maintenance/exit", ids))


@admin_app.command("out")
def out(
    ids: Ids,
    at: At,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until no requests are in flight on the servers.")
    ] = False,
    within: Annotated[float, typer.Option(help="Maximum time to wait, in seconds.")] = 120.0,
) -> None:
    """Put servers into maintenance: no requests are sent to them until `back`."""
    nodes = checked_nodes(at)
    if within <= 0:
        exit_with_error(f"--within {within:g}: must be above 0")
    if not call_all(nodes, "/maintenance/enter", ids):
        raise typer.Exit(REFUSED_STATUS)
    if wait:
        try:
            wait_until_drained(nodes, tuple(ids), within)
        except KeyboardInterrupt:
            exit_with_error(f"interrupted; {', '.join(ids)} stay in maintenance", INTERRUPTED_STATUS)


def wait_until_drained(nodes: list[str], ids: tuple[str, ...], timeout_s: float) -> None:
    """Waits until no node has requests in flight on the servers; prints what remains whenever that changes."""
    end, printed = time.monotonic() + timeout_s, ""
    while True:
        left = [text for node in nodes for text in undrained(node, ids)]
        if not left:
            print(f"{', '.join(ids)}: no requests in flight")
            return
        if "; ".join(left) != printed:
            printed = "; ".join(left)
            print(printed, flush=True)
        if time.monotonic() >= end:
            exit_with_error(f"not drained after {timeout_s:g} s: {printed}", REFUSED_STATUS)
        time.sleep(DRAIN_POLL_INTERVAL_S)


def undrained(node: str, ids: tuple[str, ...]) -> list[str]:
    """Describes the requests that one node has in flight on the servers, or why they are not known."""
    from harecross.admin_client.calls import StatusFailure, fetch_status

    status = fetch_status(node, ids)
    if isinstance(status, StatusFailure):
        return [f"{node}: {status.reason}"]
    left = [f"{s.id} has {s.in_flight} in flight at {node}" for s in status.servers.values() if s.in_flight]
    if status.other_processes:
        left.append(f"another process serves as the node at {node}")
    return left


@admin_app.command("servers")
def servers(
    at: At,
    ids: Annotated[
        list[str] | None, typer.Argument(metavar="[ID...]", help="Show only these servers.")
    ] = None,
) -> None:
    """Show the servers of each node: state, requests in flight, progress of slow start."""
    from harecross.admin_client.calls import StatusFailure, fetch_status

    all_ok = True
    for node in checked_nodes(at):
        status = fetch_status(node, tuple(ids or ()))
        if isinstance(status, StatusFailure):
            print(f"{node}: error: {status.reason}", file=sys.stderr)
            all_ok = False
            continue
        missing = [name for name in ids or () if name not in status.servers]
        for name in missing:
            print(f"{node}: error: {name}: no such server", file=sys.stderr)
        all_ok = all_ok and not missing
        print_servers(node, status)
    raise exit_with(all_ok)


def print_servers(node: str, status: NodeStatus) -> None:
    """Prints the servers of one node as a table."""
    from harecross.console import out as console
    from harecross.console import table

    standby = ", in standby" if status.standby else ""
    others = f", {status.other_processes} more processes" if status.other_processes else ""
    rows = table(f"{status.name} at {node}{standby}{others}", "server", "state", "out on it", "warm")
    for server in status.servers.values():
        state = server.state + (", ejected" if server.ejected else "")
        rows.add_row(server.id, state, str(server.in_flight), f"{server.slow_start_factor:.0%}")
    console.print(rows)


@admin_app.command("release")
def release(
    at: At,
    named: Annotated[
        list[str] | None, typer.Argument(metavar="[ID...]", help="Ids of servers, in order.")
    ] = None,
    batch: Annotated[int, typer.Option(min=1, help="Maximum number of servers in maintenance at once.")] = 1,
    keep: Annotated[
        float, typer.Option(min=0, max=1, help="Minimum share of servers that stays in use.")
    ] = 0.5,
    restart: Annotated[
        str | None,
        typer.Option(help="Shell command that restarts $HARECROSS_SERVER and returns once it is up."),
    ] = None,
    empty_within: Annotated[float, typer.Option(help="Timeout for draining a server, in seconds.")] = 120.0,
    restart_within: Annotated[float, typer.Option(help="Timeout for a restart, in seconds.")] = 600.0,
    warm_within: Annotated[float, typer.Option(help="Timeout for slow start, in seconds.")] = 300.0,
    ids_from: Annotated[Path | None, typer.Option(help="File with further ids, one per line.")] = None,
) -> None:
    """Restart servers in turn: enter maintenance, drain, restart, exit maintenance, wait for slow start to end.

    Stops at the first failure. Ctrl-C stops it once the servers in progress are done, a second Ctrl-C immediately.
    Servers that stay in maintenance are listed.
    """
    from harecross.admin_client.release import Release
    from harecross.admin_client.release_state import ReleaseLimits

    nodes = checked_nodes(at)
    check_above_zero("--empty-within", empty_within)
    check_above_zero("--restart-within", restart_within)
    check_above_zero("--warm-within", warm_within)
    ids = release_ids(list(named or ()), ids_from)
    if restart is None and not sys.stdin.isatty():
        exit_with_error("release: --restart CMD is required if standard input is not a terminal")
    limits = ReleaseLimits(batch, keep, empty_within, restart_within, warm_within)
    raise typer.Exit(run_release(Release(ids, nodes, limits), restart))


def check_above_zero(option: str, value: float) -> None:
    """Exits if the value of an option is not above 0."""
    if value <= 0:
        exit_with_error(f"{option} {value:g}: must be above 0")


def release_ids(ids: list[str], file: Path | None) -> list[str]:
    """Returns the given ids followed by those in the file; exits if there are none or one is repeated."""
    if file is not None:
        try:
            ids += [line.strip() for line in file.read_text().splitlines() if line.strip()]
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(f"--ids-from {file}: {getattr(error, 'strerror', None) or 'not UTF-8'}")
    if not ids:
        exit_with_error("release: no server ids given")
    repeated = sorted({name for name in ids if ids.count(name) > 1})
    if repeated:
        exit_with_error(f"release: ids given more than once: {', '.join(repeated)}")
    return ids


def run_release(release: Release, restart_command: str | None) -> int:
    """Runs a release and prints its progress and result; returns the exit status."""
    from harecross.admin_client.release_runner import ReleaseRunner

    began = time.monotonic()

    def print_line(text: str) -> None:
        """Prints a line with the seconds since the start of the release."""
        print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)

    exit_status = ReleaseRunner(release, restart_command, print_line).run()
    restarted = sum(server.restarted for server in release.servers)
    ended = f"; stopped: {release.stop_reason}" if release.stop_reason else ""
    print_line(f"{restarted} of {len(release.servers)} restarted{ended}")
    for name in release.running_restarts():
        print_line(f"{name}: its restart is still running")
    for name, nodes in release.servers_in_maintenance().items():
        options = " ".join(f"--at {node}" for node in nodes)
        print_line(f"{name} is, or may be, in maintenance; to end it: harecross door back {name} {options}")
    return exit_status
