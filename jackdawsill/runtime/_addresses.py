"""Addresses of the form ip:port, and sockets bound to them."""

import socket


def join_address(ip_address: str, port: int) -> str:
    """Return ip:port, with an IPv6 address in brackets."""
    return f"[{ip_address}]:{port}" if ":" in ip_address else f"{ip_address}:{port}"


def split_address(text: str) -> tuple[str, int]:
    """Return IP address and port; raise `ValueError` if the port is not a number."""
    ip_address, _, port = text.rpartition(":")
    return ip_address.removeprefix("[").removesuffix("]"), int(port)


def listening_socket(ip_address: str, port: int) -> socket.socket:
    """Return a bound, non-blocking socket; with port 0 the kernel chooses the port.

    The server that gets it starts to listen. Raise OSError if the port is in use.
    """
    family = socket.AF_INET6 if ":" in ip_address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip_address, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
