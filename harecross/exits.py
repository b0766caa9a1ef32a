"""How a command ends early, and where its JSON goes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import typer

STANDARD_OUTPUT = "-"


def exit_with_error(text: str, status: int = 2) -> NoReturn:
    """Ends the command with one line on standard error and that status."""
    print(f"harecross: {text}", file=sys.stderr)
    raise typer.Exit(status)


def write_json(value: dict[str, Any], destination: str | None) -> None:
    """Writes a value as JSON to a file, or to standard output for "-"; None for nowhere."""
    if destination == STANDARD_OUTPUT:
        print(json.dumps(value, indent=1))
    elif destination is not None:
        try:
            Path(destination).write_text(json.dumps(value, indent=1) + "\n")
        except OSError as error:
            exit_with_error(f"--json {destination}: {error.strerror}")
