"""The program's log: lines on standard error."""

from __future__ import annotations

import sys
import traceback


def log_line(text: str) -> None:
    """Writes one line of the log."""
    print(f"harecross: {text}", file=sys.stderr, flush=True)


def log_exception(event: str) -> None:
    """Logs the exception that is being handled, with the event during which it was raised."""
    log_line(f"{event}: {traceback.format_exc()}")
