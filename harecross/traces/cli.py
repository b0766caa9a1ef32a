"""The command `harecross trace inspect`, which summarises a public cluster trace."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from harecross.exits import STANDARD_OUTPUT, exit_with_error, write_json

if TYPE_CHECKING:
    from harecross.traces.summary import Trace

trace_app = typer.Typer(no_args_is_help=True, help="Public cluster traces.")

Files = Annotated[list[Path], typer.Argument(help="Files of the trace in their order: plain, .gz or .zst.")]
FormatName = Annotated[
    str | None,
    typer.Option(
        "--format",
        help="Name of the trace's format, or a mapping file (.toml); recognised from the files if not given.",
    ),
]
MappingFile = Annotated[
    Path | None,
    typer.Option(
        "--mapping", help="TOML file with request classes and, for the format `generic`, its columns."
    ),
]
Window = Annotated[
    float,
    typer.Option(
        "--window", help="Time by which a row may be earlier than a row before it, in seconds of the trace."
    ),
]
Late = Annotated[
    str,
    typer.Option("--late", help="What to do with a row that is late by more than the window: drop or clamp."),
]
JsonFile = Annotated[
    str | None, typer.Option("--json", help="File for the JSON report, or - for standard output.")
]

Progress = Callable[[int], Any]  # called with the number of bytes of each read


def trace_opener(
    files: list[Path],
    format_name: str | None,
    mapping_path: Path | None,
    window_s: float,
    late_mode: str,
    seed: int,
) -> Callable[..., Trace]:
    """Returns a function that opens the trace from its start on each call.

    A `format_name` that ends in ".toml" is read as the path of a mapping file for the format `generic`. Raises
    TraceError for a path that is not a file and for an invalid mapping file.
    """
    from harecross.replay.plan import check_paths
    from harecross.traces.mapping import read_mapping
    from harecross.traces.summary import Trace

    check_paths(files)
    if format_name is not None and format_name.endswith(".toml"):
        mapping_path, format_name = Path(format_name), "generic"
    mapping = read_mapping(mapping_path) if mapping_path is not None else None

    def open_trace(progress: Progress | None = None) -> Trace:
        return Trace(files, format_name, mapping, window_s, late_mode, seed, progress=progress)

    return open_trace


@trace_app.command("inspect")
def inspect_command(
    files: Files,
    name: FormatName = None,
    mapping: MappingFile = None,
    window: Window = 60.0,
    late: Late = "drop",
    json_to: JsonFile = None,
) -> None:
    """Summarise a trace: rows kept and rows dropped by cause, requests, rates and request classes."""
    from harecross.traces.row_tally import TraceError

    try:
        summary = _inspect_with_progress(trace_opener(files, name, mapping, window, late, 1))
    except TraceError as error:
        exit_with_error(str(error))
    except KeyboardInterrupt:
        exit_with_error("interrupted", 130)
    write_json(summary, json_to)
    if json_to != STANDARD_OUTPUT:
        _print_summary(summary)


def _inspect_with_progress(open_trace: Callable[..., Trace]) -> dict[str, Any]:
    from rich.progress import Progress, TextColumn, TimeElapsedColumn, TransferSpeedColumn

    from harecross.console import err
    from harecross.traces.summary import inspect

    progress_columns = (
        TextColumn("reading"),
        TextColumn("{task.completed:,.0f} bytes"),
        TransferSpeedColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*progress_columns, console=err, transient=True, disable=not err.is_terminal) as progress:
        task = progress.add_task("reading", total=None)
        return inspect(open_trace(lambda read_bytes: progress.advance(task, read_bytes)))


def _print_summary(summary: dict[str, Any]) -> None:
    from harecross.console import out, table

    dropped = summary["rows_dropped"]
    out.print(
        f"{summary['format']} ({', '.join(summary['tables'])}): {summary['rows_read']:,} rows read, "
        f"{summary['rows_kept']:,} kept ({summary['rows_reordered']:,} put in order), "
        f"{sum(dropped.values()):,} dropped"
    )
    for cause, count in dropped.items():
        first = ", ".join(summary["first_dropped"][cause])
        out.print(f"  {cause}: {count:,} (first at {first})", highlight=False)
    machines = f"; {summary['machines']} machines" if summary["machines"] else ""
    out.print(
        f"{summary['requests']:,} requests over {summary['span_s']:,} s, {summary['mean_rps']:,} a second on "
        f"average and {summary['peak_rps']:,} at most{machines}"
    )
    classes = table("Classes", "class", "requests", "share", "effect", "worth", "aim ms", "deadline ms")
    for request_class, row in summary["classes"].items():
        classes.add_row(
            request_class,
            f"{row['requests']:,}",
            f"{row['share']:.1%}",
            row["effect"],
            f"{row['worth']:g}",
            f"{row['aim_ms']:g}",
            f"{row['deadline_ms']:g}",
        )
    out.print(classes)
