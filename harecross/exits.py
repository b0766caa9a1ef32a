"""Helpers of the command line: exits with an error message, and JSON output."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import typer

STANDARD_OUTPUT = "-"


def exit_with_error(text: str, status: int = 2) -> NoReturn:
    """Prints one line to standard error and ends the command with the given exit status."""
    print(f"harecross: {text}", file=sys.stderr)
    raise typer.Exit(status)


def write_json(value: dict[str, Any], destination: str | None) -> None:
    """Writes a value as JSON to the file `destination`, or to standard output for "-". None writes nothing."""
    if destination == STANDARD_OUTPUT:
        print(json.dumps(value, indent=1))
    elif destination is not None:
        try:
            Path(destination).write_text(json.dumps(value, indent=1) + "\n")
        except OSError as error:
            exit_with_error(f"--json {destination}: {error.strerror}")
