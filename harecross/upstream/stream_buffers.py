"""The memory that streamed responses share: the sizes of the kernel's receive buffers and of held responses."""

from __future__ import annotations

from harecross.http.body_buffer import held_response_bytes, stream_buffer_bytes
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection import ServerConnection

# The initial receive buffer of a connection assumes that one in this many descriptors carries a streamed response.
STREAM_START_DIVISOR = 4


class StreamBuffers:
    """The buffers of a `ConnectionPool`, which documents the attributes."""

    descriptors: DescriptorBudget
    initial_buffer_bytes: int
    stream_buffer_bytes: int
    streaming: set[ServerConnection]
    streaming_budget_bytes: int

    def set_streaming_budget(self, budget_bytes: int) -> None:
        """Sets the memory budget shared by all streamed responses.

        Buffers of responses in progress are adapted at the next sweep. The initial buffer of each connection is sized
        as if one in `STREAM_START_DIVISOR` descriptors carried a streamed response, because many may start at the
        same time.
        """
        if budget_bytes != self.streaming_budget_bytes:
            self.streaming_budget_bytes = budget_bytes
            self.initial_buffer_bytes = stream_buffer_bytes(
                budget_bytes, self.descriptors.total // STREAM_START_DIVISOR
            )

    def resize_stream_buffers(self) -> None:
        """Adapts the kernel's receive buffers to the number of streamed bodies if their size doubles or halves."""
        buffer_bytes = stream_buffer_bytes(self.streaming_budget_bytes, len(self.streaming))
        if self.stream_buffer_bytes // 2 < buffer_bytes < 2 * self.stream_buffer_bytes:
            return
        self.stream_buffer_bytes = buffer_bytes
        for connection in self.streaming:
            connection.set_receive_buffer(buffer_bytes)

    def held_response_bytes(self) -> int:
        """Returns up to which size a response is held until it is complete, if it may not be streamed.

        All open connections together stay within the memory budget of streamed responses.
        """
        return held_response_bytes(self.streaming_budget_bytes, self.descriptors.upstream_connections)
