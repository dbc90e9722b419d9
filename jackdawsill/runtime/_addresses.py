"""Parsing of host:port addresses, and listening sockets."""

import socket


def join_address(address: str, port: int) -> str:
    """Return address:port, with an IPv6 address in brackets."""
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


def split_address(text: str) -> tuple[str, int]:
    """Return address and port; raise `ValueError` if the port is no number."""
    address, _, port = text.rpartition(":")
    return address.removeprefix("[").removesuffix("]"), int(port)


def listening_socket(address: str, port: int) -> socket.socket:
    """Return a bound, non-blocking socket; with port 0 the kernel chooses the port.

    The caller starts to listen on it. Raise OSError if the port is in use.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
