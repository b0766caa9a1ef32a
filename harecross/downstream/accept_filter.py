"""Keeps new connections off a listening socket before it is closed.

The kernel completes handshakes by itself. A connection that it completes between a process's last accept(2) and
close(2) is reset, and with it a request that its client may have written. A socket filter (socket(7), SO_ATTACH_FILTER;
classic BPF, Documentation/networking/filter.rst of Linux) drops packets that ask for a new connection: handshakes that
have begun can end and be accepted, and whoever comes later is refused when the client asks again after the close.
"""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # asm-generic/socket.h; the socket module does not name it
TCP_FLAGS = 13  # offset of the byte in a TCP header, where the filter of a TCP socket begins
SYN = 0x02
ACK = 0x10

# Instructions of classic BPF (linux/bpf_common.h).
LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K: so many bytes of the packet are kept
KEEP_ALL = 0xFFFFFFFF


def instruction(code: int, value: int, if_true: int = 0, if_false: int = 0) -> bytes:
    """One `struct sock_filter`; jumps count the instructions that are left out."""
    return struct.pack("HBBI", code, if_true, if_false, value)


PROGRAM = (
    instruction(LOAD_BYTE, TCP_FLAGS),
    instruction(AND, SYN | ACK),
    instruction(JUMP_IF_EQUAL, SYN, if_true=0, if_false=1),
    instruction(RETURN, 0),
    instruction(RETURN, KEEP_ALL),
)


def refuse_new_connections(listener: socket.socket) -> None:
    """Takes no handshake any more that has not begun. OSError where the kernel does not set the filter.

    The filter belongs to the socket, not to its descriptor: it holds for every process that shares the socket.
    """
    instructions = array("B", b"".join(PROGRAM))
    address, _ = instructions.buffer_info()
    program = struct.pack("@HP", len(PROGRAM), address)  # struct sock_fprog (linux/filter.h)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
