"""Bodies of messages while they are received."""

# Smaller pieces are joined as they come, since each object takes about 50 bytes of
# memory. Joining larger ones as well would copy them twice.
JOINED_PIECE_BYTES = 4096


class BodyBuffer:
    """Collect the pieces of a body in little more memory than their size."""

    __slots__ = ("_pieces", "_tail", "n_bytes")

    def __init__(self) -> None:
        self.n_bytes = 0
        self._pieces: list[bytes] = []
        self._tail = bytearray()  # small pieces that follow the others

    def __len__(self) -> int:
        return self.n_bytes

    def __iadd__(self, data: bytes) -> "BodyBuffer":
        self.n_bytes += len(data)
        if len(data) < JOINED_PIECE_BYTES:
            self._tail += data
            return self
        if self._tail:
            self._pieces.append(bytes(self._tail))
            self._tail = bytearray()
        self._pieces.append(data)
        return self

    def __bytes__(self) -> bytes:
        if not self._tail:
            return b"".join(self._pieces)
        return b"".join((*self._pieces, self._tail))
