"""Pull of one set: the manifest and the values that this host lacks."""

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

SERVICE = 0  # source number of the configuration service; link ids start at 1
STEP_TIMEOUT_S = 0.3
SERVICE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class Offer:
    """What a source says that it can give."""

    generation: int
    digest: str


@dataclass(slots=True)
class Blame:
    """Until when a source is not asked for a set that it failed to give."""

    until: float
    wait_s: float


class Pull:
    """Fetch one set piece by piece, with one request outstanding."""

    __slots__ = (
        "asked_at_",
        "buffer_",
        "digest",
        "generation",
        "held_",
        "manifest_",
        "manifest_bytes_",
        "manifest_source_",
        "missing_",
        "n_doubts_",
        "n_late_",
        "not_before_",
        "source_",
    )

    def __init__(self, generation: int, digest: str, held: Mapping[str, bytes]) -> None:
        self.generation = generation
        self.digest = digest
        self.held_ = dict(held)  # values by SHA-256
        self.manifest_: Manifest | None = None
        self.manifest_bytes_ = b""
        self.manifest_source_ = SERVICE
        self.missing_: list[ValueRef] = []
        self.n_doubts_ = 0  # pieces that sources could not give
        self.n_late_ = 0  # requests in a row without an answer
        self.buffer_ = bytearray()
        self.source_: int | None = None  # source of the outstanding request
        self.asked_at_ = 0.0
        self.not_before_ = 0.0

    def fits(self, offer: Offer) -> bool:
        """Tell whether an offer is of this set."""
        return (offer.generation, offer.digest) == (self.generation, self.digest)

    def ask(self, source: int, now: float) -> Effect:
        """Return the request for the next piece."""
        self.source_, self.asked_at_ = source, now
        offset = len(self.buffer_)
        if self.manifest_ is None:
            request = ManifestRequest(self.generation, self.digest, offset)
            return SendPeer(source, request)
        ref = self.missing_[0]
        if source == SERVICE:
            self.buffer_.clear()
            return ReadConfig(ref.key)
        return SendPeer(source, ValueRequest(ref.sha256, offset))

    def late(self, now: float) -> bool:
        """Tell whether the outstanding request was not answered in time."""
        limit_s = SERVICE_TIMEOUT_S if self.source_ == SERVICE else STEP_TIMEOUT_S
        return self.source_ is not None and now - self.asked_at_ > limit_s

    def drop_source(self) -> None:
        """Forget the outstanding request and the piece that it was for."""
        self.source_ = None
        self.buffer_.clear()

    def drop_manifest(self) -> None:
        """Forget a manifest that cannot be right; checked values are kept."""
        self.manifest_ = None
        self.missing_ = []
        self.n_doubts_ = 0

    def complete(self) -> bool:
        """Tell whether the manifest and all its values were fetched."""
        return self.manifest_ is not None and not self.missing_

    def take_manifest(self, data: bytes, source: int) -> None:
        """Check a whole manifest and list the values that are missing."""
        manifest = parse_manifest(data)
        if (manifest.generation, manifest.digest) != (self.generation, self.digest):
            raise InvalidManifest("the manifest is of another set than was offered")
        self.manifest_, self.manifest_bytes_ = manifest, data
        self.manifest_source_ = source
        wanted = {ref.sha256: ref for ref in manifest.values}
        # Values of replaced pulls are dropped, or rapid changes would fill the memory.
        self.held_ = {sha: data for sha, data in self.held_.items() if sha in wanted}
        self.missing_ = [r for r in wanted.values() if r.sha256 not in self.held_]

    def take_manifest_part(self, offset: int, size: int, data: bytes) -> None:
        """Append part of a manifest."""
        assert self.source_ is not None
        if self._append(offset, size, data, MAX_VALUE_BYTES):
            self.take_manifest(bytes(self.buffer_), self.source_)
            self.buffer_.clear()
        self.source_ = None

    def take_value_part(self, offset: int, size: int, data: bytes) -> None:
        """Append part of the value that was asked for, and check a whole one."""
        ref = self.missing_[0]
        if size != ref.size:
            raise SetNotAcceptable(f"{ref.key} has {size} bytes, not {ref.size}")
        if self._append(offset, size, data, ref.size):
            self._take_value(ref, bytes(self.buffer_))
        self.source_ = None

    def take_whole_value(self, data: bytes | None) -> None:
        """Check a value that the configuration service returned."""
        if data is None:
            raise SetNotAcceptable(f"{self.missing_[0].key} is absent")
        self._take_value(self.missing_[0], data)
        self.source_ = None

    def _append(self, offset: int, size: int, data: bytes, limit: int) -> bool:
        # A duplicate of an earlier chunk is not an error, but starts the piece anew.
        expected = len(self.buffer_)
        if offset != expected or not data or not expected + len(data) <= size <= limit:
            raise SetNotAcceptable("a part is missing or has a wrong size")
        self.buffer_ += data
        return len(self.buffer_) == size

    def _take_value(self, ref: ValueRef, data: bytes) -> None:
        if hashlib.sha256(data).hexdigest() != ref.sha256:
            raise SetNotAcceptable(f"{ref.key} does not have the hash in the manifest")
        self.held_[ref.sha256] = data
        self.missing_.pop(0)
        self.buffer_.clear()
