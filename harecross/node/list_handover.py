"""The endpoint list that a running process hands over to the one that replaces it.

A process that starts has the list of its configuration, which may be older than what the running process was told. If
discovery is up, its own watch tells it the rest; if it is down, only the running process knows which servers have left.
The running process writes its list to a file of the shared folder while another process of the node is starting.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import dataclass
from time import monotonic
from typing import Any

from harecross.node.handover_store import HandoverStore
from harecross.node.membership import Membership
from harecross.platform.log import log_line

FORMAT = b"harecross-list 1"
MAX_AGE_S = 5.0  # an older list is not used
OFFER_INTERVAL_S = 0.25  # while another process is starting
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class HandedOverList:
    """An endpoint list with its origin.

    Attributes:
        discovery: Host and port of the discovery that the list is from.
        written_at: When it was written, in monotonic seconds. Both processes run, so they share one clock.
        update: The list in discovery's form.
    """

    discovery: str
    written_at: float
    update: dict[str, Any]

    def to_bytes(self) -> bytes:
        """Returns the content of the file: the format with a checksum, and the list."""
        fields = {"discovery": self.discovery, "written_at": self.written_at, "list": self.update}
        text = json.dumps(fields, separators=(",", ":")).encode()
        return b"%s %08x\n%s" % (FORMAT, zlib.crc32(text), text)

    @classmethod
    def from_bytes(cls, data: bytes) -> HandedOverList:
        """Returns the list of a file. Raises ValueError if it is of another format or damaged."""
        header, _, text = data.partition(b"\n")
        if header != b"%s %08x" % (FORMAT, zlib.crc32(text)):
            raise ValueError("another format, or damaged")
        fields = json.loads(text)
        return cls(fields["discovery"], fields["written_at"], fields["list"])


class ListHandover:
    """Offers the list to a starting process, and takes it over from a running one."""

    def __init__(self, store: HandoverStore, membership: Membership) -> None:
        self.store = store
        self.membership = membership
        self.another_is_starting = False
        self.next_offer_at = 0.0
        self.takeover_task: asyncio.Task[None] | None = None
        self.error_logged = False

    def discovery_address(self) -> str:
        """Returns host and port of the discovery."""
        return "{}:{}".format(*self.membership.discovery.address)

    def offer_if_needed(self) -> None:
        """Writes the list if another process is starting and discovery has confirmed the list to this one."""
        now = monotonic()
        if now < self.next_offer_at or not (self.another_is_starting or self.store.folder_changed()):
            return
        self.another_is_starting = self.store.another_is_starting()
        if self.another_is_starting and self.membership.first_list_received.is_set():
            self.next_offer_at = now + OFFER_INTERVAL_S
            update = self.membership.discovery.current_list()
            self.store.write_list(HandedOverList(self.discovery_address(), now, update).to_bytes())

    def start_takeover(self) -> None:
        """Begins to look for the list of a running process."""
        self.takeover_task = asyncio.create_task(self.take_over())

    async def take_over(self) -> None:
        """Uses the list of a running process, unless discovery answers this process first."""
        membership = self.membership
        while not membership.first_list_received.is_set() and not membership.readiness.may_send(monotonic()):
            handed_over = self.read()
            if handed_over is not None:
                log_line(f"endpoint list of the running process used: {handed_over.discovery}")
                membership.use_configured_list(handed_over.update)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def read(self) -> HandedOverList | None:
        """Returns the list of a running process; None if there is none that can be used."""
        data = self.store.read_list()
        if data is None:
            return None
        try:
            handed_over = HandedOverList.from_bytes(data)
            is_fresh = 0 <= monotonic() - handed_over.written_at < MAX_AGE_S
        except (ValueError, KeyError, TypeError) as error:
            if not self.error_logged:
                log_line(f"{self.store.list_path}: endpoint list not used: {error!r}")
            self.error_logged = True
            return None
        return handed_over if is_fresh and handed_over.discovery == self.discovery_address() else None
