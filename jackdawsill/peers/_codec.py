"""Encoding and decoding of typed messages as msgpack streams."""

from collections.abc import Iterator
from typing import Any

import msgpack
import msgspec

from jackdawsill.peers._errors import MessageInvalid, MessageTooLarge
from jackdawsill.peers._messages import MESSAGES, PeerMessage

# A message may carry a whole configuration, which the platform's store limits to 1 MiB,
# with the entries of thousands of replicas.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

# Buffer of the unpacker: an incomplete message and the bytes of one `_feed_slice`, with
# a margin. `Decoder` itself checks the size of messages.
_BUFFER_BYTES = 3 * MAX_MESSAGE_BYTES

# msgpack has a bytes type, so msgspec must not convert bytes to base64 text.
_NATIVE_TYPES = (bytes,)

_KINDS: dict[type, str] = {}  # inverse of `MESSAGES`, filled on demand


def kind_of(message_type: type) -> str:
    """Return the kind of a message class, the name that is sent with it.

    Raises `MessageInvalid` if the class is not registered.
    """
    kind = _KINDS.get(message_type)
    if kind is None:
        _KINDS.update({cls: name for name, cls in MESSAGES.items()})
        kind = _KINDS.get(message_type)
    if kind is None:
        raise MessageInvalid(f"{message_type.__name__} is not a registered message")
    return kind


def encode(message: PeerMessage) -> bytes:
    """Return a message as one msgpack map with its `kind` and its fields.

    Raises `MessageInvalid` if it cannot be encoded, and `MessageTooLarge` if the result
    exceeds `MAX_MESSAGE_BYTES`.
    """
    fields: dict[str, Any] = {"kind": kind_of(type(message))}
    try:
        fields.update(msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES))
        data = msgpack.packb(fields)
    except (TypeError, ValueError, OverflowError, RecursionError) as exc:
        raise MessageInvalid(f"cannot encode {type(message).__name__}: {exc}") from exc
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageTooLarge(
            f"{type(message).__name__} has {len(data)} bytes, "
            f"the limit is {MAX_MESSAGE_BYTES}"
        )
    return data


def to_message(value: Any) -> PeerMessage | None:
    """Convert a decoded value to its message class.

    Returns None if its kind is unknown, as in a message of a newer version. Raises
    `MessageInvalid` if the value does not match its class.
    """
    if not isinstance(value, dict):
        raise MessageInvalid(f"a message must be a map, not {type(value).__name__}")
    kind = value.pop("kind", None)
    if not isinstance(kind, str):
        raise MessageInvalid("a message must have a kind")
    message_type = MESSAGES.get(kind)
    if message_type is None:
        return None
    try:
        return msgspec.convert(value, message_type, builtin_types=_NATIVE_TYPES)
    except (msgspec.ValidationError, ValueError, TypeError, RecursionError) as exc:
        raise MessageInvalid(f"{kind}: {exc}") from exc


class Decoder:
    """Incremental decoder of one incoming stream.

    After an error the position of the next message is unknown, so the stream must be
    closed.
    """

    __slots__ = ("_message_start", "_n_fed", "_unpacker", "n_ignored_")

    def __init__(self) -> None:
        self.n_ignored_ = 0  # messages of unknown kinds
        self._n_fed = 0  # bytes of the stream added so far
        # Position in the stream at which the current message starts. The position of
        # the unpacker may be past it, since it parses incomplete messages.
        self._message_start = 0
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=False, max_buffer_size=_BUFFER_BYTES
        )

    def feed(self, data: bytes) -> Iterator[PeerMessage]:
        """Add bytes and yield the messages completed by them.

        Raises `MessageInvalid` or `MessageTooLarge`. Messages of unknown kinds are
        ignored and counted in `n_ignored_`.
        """
        for start in range(0, len(data), MAX_MESSAGE_BYTES):
            yield from self._feed_slice(data[start : start + MAX_MESSAGE_BYTES])

    def _feed_slice(self, data: bytes) -> Iterator[PeerMessage]:
        """Add at most `MAX_MESSAGE_BYTES` bytes, so that they fit into the buffer."""
        unpacker = self._unpacker
        try:
            unpacker.feed(data)
        except msgpack.BufferFull:
            raise MessageTooLarge("a message exceeds the size limit") from None
        self._n_fed += len(data)
        while True:
            try:
                value = unpacker.unpack()
            except msgpack.OutOfData:
                break
            except Exception as exc:
                # Malformed bytes raise several unrelated exception classes:
                # FormatError, StackError, UnicodeDecodeError, and TypeError for
                # unhashable keys.
                raise MessageInvalid(f"not msgpack: {exc!r}"[:200]) from None
            end = unpacker.tell()
            self._check_size(end - self._message_start)
            self._message_start = end
            message = to_message(value)
            if message is None:
                self.n_ignored_ += 1
            else:
                yield message
        self._check_size(self._n_fed - self._message_start)

    def _check_size(self, n_bytes: int) -> None:
        """Raise `MessageTooLarge` if a complete or partial message is too large."""
        if n_bytes > MAX_MESSAGE_BYTES:
            raise MessageTooLarge(
                f"a message has at least {n_bytes} bytes, the limit is "
                f"{MAX_MESSAGE_BYTES}"
            )
