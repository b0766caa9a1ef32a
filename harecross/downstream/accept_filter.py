"""A socket filter that refuses new connections on a listening socket before it is closed.

The kernel completes TCP handshakes on its own. A connection that it completes between a process's last accept(2) and
close(2) is reset, and any request that its client has already sent is lost. A socket filter (SO_ATTACH_FILTER, see
socket(7); classic BPF, see Documentation/networking/filter.rst in the Linux source) drops the packets that start a
handshake. Handshakes in progress can complete and be accepted; later clients retransmit their SYN and are refused once
the socket is closed.
"""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # from asm-generic/socket.h; the socket module does not define it
# The offset of the flags in a TCP header. The filter of a TCP socket sees packets from the TCP header on.
TCP_FLAGS_OFFSET = 13
SYN = 0x02
ACK = 0x10

# Classic BPF instructions (linux/bpf_common.h).
LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K; the operand is the number of bytes of the packet to keep
KEEP_ALL_BYTES = 0xFFFFFFFF
DROP = 0


def instruction(code: int, value: int, if_true: int = 0, if_false: int = 0) -> bytes:
    """Encodes a `struct sock_filter`; `if_true` and `if_false` are numbers of instructions to skip."""
    return struct.pack("HBBI", code, if_true, if_false, value)


DROP_SYN_WITHOUT_ACK = (
    instruction(LOAD_BYTE, TCP_FLAGS_OFFSET),
    instruction(AND, SYN | ACK),
    instruction(JUMP_IF_EQUAL, SYN, if_true=0, if_false=1),
    instruction(RETURN, DROP),
    instruction(RETURN, KEEP_ALL_BYTES),
)


def refuse_new_connections(listener: socket.socket) -> None:
    """Drops the packets that start new handshakes on a listening socket.

    The filter belongs to the socket, not to the descriptor, so it applies to every process that shares the socket.

    Raises:
        OSError: The kernel rejected the filter.
    """
    instructions = array("B", b"".join(DROP_SYN_WITHOUT_ACK))
    address, _ = instructions.buffer_info()
    program = struct.pack("@HP", len(DROP_SYN_WITHOUT_ACK), address)  # struct sock_fprog (linux/filter.h)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
