"""Pull (download) of one object set: its manifest and the missing values."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawsill.core import Effect, ReadConfig, SendPeer
from jackdawsill.spread._errors import InvalidManifest, SetNotAcceptable
from jackdawsill.spread._manifest import (
    MAX_VALUE_BYTES,
    Manifest,
    ValueRef,
    parse_manifest,
)
from jackdawsill.spread._messages import ManifestRequest, ValueRequest

SERVICE = 0  # source id of the configuration service; peers have link ids from 1
PEER_TIMEOUT_S = 0.3
SERVICE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class Offer:
    """Object set that a source advertises."""

    generation: int
    digest: str


@dataclass(slots=True)
class SourceBackoff:
    """Backoff of a source for one object set, after it failed to send the set."""

    ends_at: float
    delay_s: float


class Pull:
    """Pull one object set, with one outstanding request at a time.

    An item is the manifest or a value; peers send items in chunks.
    """

    __slots__ = (
        "buffer_",
        "digest",
        "generation",
        "manifest_",
        "manifest_bytes_",
        "manifest_source_",
        "missing_",
        "n_rejected_values_",
        "n_timeouts_",
        "next_request_at_",
        "requested_at_",
        "source_",
        "values_",
    )

    def __init__(
        self, generation: int, digest: str, known_values: Mapping[str, bytes]
    ) -> None:
        self.generation = generation
        self.digest = digest
        self.values_ = dict(known_values)  # verified values by SHA-256
        self.manifest_: Manifest | None = None
        self.manifest_bytes_ = b""
        self.manifest_source_ = SERVICE
        self.missing_: list[ValueRef] = []
        self.n_rejected_values_ = 0  # missing at a source or not as in the manifest
        self.n_timeouts_ = 0  # consecutive requests without an answer
        self.buffer_ = bytearray()  # chunks of the current item
        self.source_: int | None = None  # source of the outstanding request
        self.requested_at_ = 0.0
        self.next_request_at_ = 0.0

    def matches(self, offer: Offer) -> bool:
        """Return whether an offer is for this object set."""
        return (offer.generation, offer.digest) == (self.generation, self.digest)

    def next_request(self, source: int, now: float) -> Effect:
        """Return the request for the next chunk, or a read of a whole value."""
        self.source_, self.requested_at_ = source, now
        offset = len(self.buffer_)
        if self.manifest_ is None:
            request = ManifestRequest(self.generation, self.digest, offset)
            return SendPeer(source, request)
        ref = self.missing_[0]
        if source == SERVICE:
            self.buffer_.clear()
            return ReadConfig(ref.key)
        return SendPeer(source, ValueRequest(ref.sha256, offset))

    def timed_out(self, now: float) -> bool:
        """Return whether the outstanding request is past its timeout."""
        limit_s = SERVICE_TIMEOUT_S if self.source_ == SERVICE else PEER_TIMEOUT_S
        return self.source_ is not None and now - self.requested_at_ > limit_s

    def abort_request(self) -> None:
        """Abort the outstanding request and discard the chunks of the current item."""
        self.source_ = None
        self.buffer_.clear()

    def discard_manifest(self) -> None:
        """Discard a wrong manifest; verified values are kept."""
        self.manifest_ = None
        self.missing_ = []
        self.n_rejected_values_ = 0

    def is_complete(self) -> bool:
        """Return whether the manifest and all its values are present."""
        return self.manifest_ is not None and not self.missing_

    def set_manifest(self, data: bytes, source: int) -> None:
        """Parse a whole manifest and list the missing values."""
        manifest = parse_manifest(data)
        if (manifest.generation, manifest.digest) != (self.generation, self.digest):
            raise InvalidManifest("manifest is not the one that was offered")
        self.manifest_, self.manifest_bytes_ = manifest, data
        self.manifest_source_ = source
        wanted = {ref.sha256: ref for ref in manifest.values}
        # Dropping values of superseded pulls bounds memory under rapid publications.
        self.values_ = {
            sha: data for sha, data in self.values_.items() if sha in wanted
        }
        self.missing_ = [r for r in wanted.values() if r.sha256 not in self.values_]

    def add_manifest_chunk(self, offset: int, size: int, data: bytes) -> None:
        """Append a chunk of the manifest and parse it when it is whole."""
        assert self.source_ is not None
        if self._append_chunk(offset, size, data, MAX_VALUE_BYTES):
            self.set_manifest(bytes(self.buffer_), self.source_)
            self.buffer_.clear()
        self.source_ = None

    def add_value_chunk(self, offset: int, size: int, data: bytes) -> None:
        """Append a chunk of the first missing value and verify it when it is whole.

        Raise `SetNotAcceptable` on a wrong size, offset or hash.
        """
        ref = self.missing_[0]
        if size != ref.size:
            raise SetNotAcceptable(
                f"value {ref.key} has {size} bytes, expected {ref.size}"
            )
        if self._append_chunk(offset, size, data, ref.size):
            self._store_value(ref, bytes(self.buffer_))
        self.source_ = None

    def set_value(self, data: bytes | None) -> None:
        """Verify a whole value that the configuration service returned."""
        if data is None:
            raise SetNotAcceptable(f"value {self.missing_[0].key} is absent")
        self._store_value(self.missing_[0], data)
        self.source_ = None

    def _append_chunk(self, offset: int, size: int, data: bytes, limit: int) -> bool:
        # `ConfigSync` has already dropped duplicates of earlier chunks. Any other
        # mismatch is an error, after which the item is requested again.
        expected = len(self.buffer_)
        if offset != expected or not data or not expected + len(data) <= size <= limit:
            raise SetNotAcceptable("chunk has a wrong offset or size")
        self.buffer_ += data
        return len(self.buffer_) == size

    def _store_value(self, ref: ValueRef, data: bytes) -> None:
        if hashlib.sha256(data).hexdigest() != ref.sha256:
            raise SetNotAcceptable(
                f"value {ref.key} does not match its hash in the manifest"
            )
        self.values_[ref.sha256] = data
        self.missing_.pop(0)
        self.buffer_.clear()
