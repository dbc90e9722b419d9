"""msgpack streams of typed messages between hosts."""

from collections.abc import Iterator
from typing import Any

import msgpack
import msgspec

from jackdawsill.peers._errors import MessageInvalid, MessageTooLarge
from jackdawsill.peers._messages import MESSAGES, PeerMessage

MAX_MESSAGE_BYTES = 1024 * 1024

# The decoder checks the size of a message itself; the unpacker's buffer also has to
# hold the chunk that a read from a socket adds to an unfinished message.
_BUFFER_BYTES = 4 * MAX_MESSAGE_BYTES

# msgpack carries bytes itself, so they stay as they are instead of base64 text.
_NATIVE_TYPES = (bytes,)

_KINDS: dict[type, str] = {}


def kind_of(message_type: type) -> str:
    """Return the wire name of a registered message class."""
    kind = _KINDS.get(message_type)
    if kind is None:
        _KINDS.update({cls: name for name, cls in MESSAGES.items()})
        kind = _KINDS.get(message_type)
    if kind is None:
        raise MessageInvalid(f"{message_type.__name__} is not a registered message")
    return kind


def encode(message: PeerMessage) -> bytes:
    """Return a message as one msgpack map with its `kind`."""
    fields: dict[str, Any] = {"kind": kind_of(type(message))}
    try:
        fields.update(msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES))
        data = msgpack.packb(fields)
    except (TypeError, ValueError, OverflowError, RecursionError) as exc:
        raise MessageInvalid(f"cannot encode {type(message).__name__}: {exc}") from exc
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageTooLarge(
            f"{type(message).__name__} takes {len(data)} bytes, "
            f"the limit is {MAX_MESSAGE_BYTES}"
        )
    return data


def to_message(value: Any) -> PeerMessage | None:
    """Check a decoded value; return None if its kind is unknown."""
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
    """Cut one incoming stream into checked messages.

    After an error the stream has no known message boundary and must be closed.
    """

    __slots__ = ("_message_start", "_n_fed", "_unpacker", "n_ignored_")

    def __init__(self) -> None:
        self.n_ignored_ = 0  # messages of unknown kinds
        self._n_fed = 0
        # The unpacker parses unfinished messages in steps, so that its position is
        # not the start of the message.
        self._message_start = 0
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=False, max_buffer_size=_BUFFER_BYTES
        )

    def feed(self, data: bytes) -> Iterator[PeerMessage]:
        """Add bytes; yield the messages that are complete."""
        for start in range(0, len(data), MAX_MESSAGE_BYTES):
            yield from self._feed_chunk(data[start : start + MAX_MESSAGE_BYTES])

    def _feed_chunk(self, data: bytes) -> Iterator[PeerMessage]:
        """Add at most `MAX_MESSAGE_BYTES` bytes."""
        unpacker = self._unpacker
        try:
            unpacker.feed(data)
        except msgpack.BufferFull:
            raise MessageTooLarge("a message is over the limit") from None
        self._n_fed += len(data)
        while True:
            try:
                value = unpacker.unpack()
            except msgpack.OutOfData:
                break
            except Exception as exc:
                # Bad bytes give several unrelated exception classes: FormatError,
                # StackError, UnicodeDecodeError, TypeError for unhashable keys.
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
        """Refuse a message, whole or unfinished, over the limit."""
        if n_bytes > MAX_MESSAGE_BYTES:
            raise MessageTooLarge(
                f"a message takes over {n_bytes} bytes, the limit is "
                f"{MAX_MESSAGE_BYTES}"
            )
