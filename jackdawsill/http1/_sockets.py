"""Options of sockets."""

import socket

# A peer without a sign of life is given up after these seconds of silence and probes;
# a connection can go silent for good without being reset.
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
N_PROBES = 2
USER_TIMEOUT_MS = 4000


def enable_tcp_keepalive(sock: socket.socket | None) -> None:
    """Let the kernel notice a peer that is gone; without delay for small writes."""
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
