"""Socket options."""

import socket

# TCP keep-alive closes a connection after 2 s without traffic and two unanswered
# probes, and the user timeout after 4 s with unacknowledged data. Without them a
# connection whose peer has vanished without a reset would stay open.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 4000


def enable_tcp_keepalive(sock: socket.socket | None) -> None:
    """Enable TCP keep-alive and the user timeout; do nothing without a socket."""
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
