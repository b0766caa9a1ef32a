"""The program's log, written to standard error."""

from __future__ import annotations

import sys
import traceback


def log_line(text: str) -> None:
    """Writes one line to the log."""
    print(f"harecross: {text}", file=sys.stderr, flush=True)


def log_exception(event: str) -> None:
    """Logs the exception that is being handled, with a label for the event during which it was raised."""
    log_line(f"{event}: {traceback.format_exc()}")
