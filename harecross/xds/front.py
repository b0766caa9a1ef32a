"""Puts a Control together with the services beside it, the same in the one process as in a worker."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from harecross.platform.log import log_line
from harecross.xds import lrs, status
from harecross.xds.access import fits
from harecross.xds.link import Setup
from harecross.xds.resources import Encoder
from harecross.xds.server import Control
from harecross.xds.tls import credentials


def front(
    setup: Setup,
    see: Callable[[tuple[str, ...]], frozenset[str] | None],
    loads: Callable[[str], lrs.Account | None],
    rows: Callable[[], Awaitable[list[dict[str, Any]]]] | None = None,
) -> Control:
    """A Control with status and load reports; `rows` where its own streams are not all there are."""
    control = Control(setup.limits, see, log_line)
    control.more.append(
        status.handler(rows or status.rows_of(control), lambda names: fits(setup.status, names))
    )
    if setup.load_reports_s:
        control.more.append(lrs.handler(loads, see, setup.load_reports_s))
    return control


def encoder(setup: Setup) -> Encoder:
    return Encoder(setup.adaptive, setup.load_reports_s > 0)


async def listen(control: Control, setup: Setup, shared: bool = False) -> int:
    """The port. OSError or ValueError if it cannot."""
    secure = credentials(setup.tls, log_line) if setup.tls is not None else None
    return await control.start(setup.listen, secure, shared)
