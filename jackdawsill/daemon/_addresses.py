"""Texts of addresses with a port."""


def join_address(address: str, port: int) -> str:
    """Return address:port, with an IPv6 address in brackets."""
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


def split_address(text: str) -> tuple[str, int]:
    """Return address and port; raise `ValueError` for other text."""
    address, _, port = text.rpartition(":")
    return address.removeprefix("[").removesuffix("]"), int(port)
