"""A socket filter that refuses new connections on a listening socket before it is closed.

The kernel completes handshakes by itself. A connection that it completes between a process's last accept(2) and
close(2) is reset, with any request that its client has sent. A socket filter (socket(7), SO_ATTACH_FILTER; classic BPF,
Documentation/networking/filter.rst of Linux) drops the packets that begin a handshake: handshakes that have begun can
end and be accepted, and later clients are refused when they try again after the close.
"""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # asm-generic/socket.h; the socket module does not name it
TCP_FLAGS_OFFSET = 13  # in a TCP header, where the filter of a TCP socket begins
SYN = 0x02
ACK = 0x10

# Instructions of classic BPF (linux/bpf_common.h).
LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K: the value is how many bytes of the packet are kept
KEEP_ALL_BYTES = 0xFFFFFFFF
DROP = 0


def instruction(code: int, value: int, if_true: int = 0, if_false: int = 0) -> bytes:
    """One `struct sock_filter`; a jump counts the instructions that it skips."""
    return struct.pack("HBBI", code, if_true, if_false, value)


DROP_SYN_WITHOUT_ACK = (
    instruction(LOAD_BYTE, TCP_FLAGS_OFFSET),
    instruction(AND, SYN | ACK),
    instruction(JUMP_IF_EQUAL, SYN, if_true=0, if_false=1),
    instruction(RETURN, DROP),
    instruction(RETURN, KEEP_ALL_BYTES),
)


def refuse_new_connections(listener: socket.socket) -> None:
    """Accepts no handshake that has not begun yet. OSError if the kernel does not set the filter.

    The filter belongs to the socket, not to its descriptor: it holds for every process that shares the socket.
    """
    instructions = array("B", b"".join(DROP_SYN_WITHOUT_ACK))
    address, _ = instructions.buffer_info()
    program = struct.pack("@HP", len(DROP_SYN_WITHOUT_ACK), address)  # struct sock_fprog (linux/filter.h)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
