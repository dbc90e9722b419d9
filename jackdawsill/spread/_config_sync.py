"""State of the configuration distribution on one host."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from jackdawsill.core import Count, Effect, EmitEvent, LogEvent, SetAccepted
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.spread import _log_events as log
from jackdawsill.spread._errors import InvalidManifest, SetNotAcceptable
from jackdawsill.spread._joining import JoinState
from jackdawsill.spread._manifest import parse_manifest
from jackdawsill.spread._messages import ManifestReply, ValueChunk
from jackdawsill.spread._pull import SERVICE, Offer, Pull, SourceBackoff
from jackdawsill.spread._service_reader import ServiceReader

if TYPE_CHECKING:
    from jackdawsill.objects import ObjectSet

# Checks a bundle, which is a manifest and its values by key, and returns its object
# set. Raises JackdawsillError or ValueError.
LoadBundle = Callable[[bytes, Mapping[str, bytes]], "ObjectSet"]

BACKOFF_MIN_S = 1.0
BACKOFF_MAX_S = 16.0
# A manifest is discarded after this many of its values were rejected.
MAX_REJECTED_VALUES = 3
# Consecutive timeouts of a pull, after which the source asked last is put in backoff.
N_TIMEOUTS_TO_BACK_OFF = 4
# Delay after a failed request, against a tight loop if many sources offer one bad set.
RETRY_DELAY_S = 0.2
# Hosts that were all paused at once have no confirmed peer. After this time a host
# confirms its generation if the peers that answered report no higher one.
ALL_UNCONFIRMED_S = 10.0


class ConfigSync:
    """Hold the accepted object set, and download and confirm generations.

    Idle without `load_bundle`. A source is a peer's link id or the service (`SERVICE`).
    """

    __slots__ = (
        "accepted_set_",
        "answered_peers_",
        "backoffs_",
        "confirmed_",
        "conflicts_",
        "digest_",
        "generation_",
        "join_state_",
        "load_bundle",
        "logged_stale_generation_",
        "manifest_bytes_",
        "offers_",
        "pull_",
        "service_",
        "service_manifest_",
        "unconfirmed_since_",
        "values_",
    )

    def __init__(self, load_bundle: LoadBundle | None = None) -> None:
        self.load_bundle = load_bundle
        self.generation_ = 0
        self.digest_ = ""
        self.confirmed_ = False  # since the last pause, a source reported no higher one
        self.accepted_set_: ObjectSet | None = None
        self.manifest_bytes_ = b""
        self.values_: dict[str, bytes] = {}
        self.offers_: dict[int, Offer] = {}
        self.backoffs_: dict[tuple[int, int, str], SourceBackoff] = {}
        self.conflicts_: set[tuple[int, str]] = set()
        self.pull_: Pull | None = None
        self.service_ = ServiceReader()
        self.service_manifest_ = b""
        self.logged_stale_generation_ = -1
        self.join_state_ = JoinState()
        self.unconfirmed_since_: float | None = None
        self.answered_peers_: set[int] = set()

    def ready_to_serve(self, now: float) -> bool:
        """Return whether the host has an object set and may serve it."""
        # A failing service is not waited for; the peers' answers must suffice.
        service_tried = self.service_.answered_ or self.service_.failing_
        return self.accepted_set_ is not None and self.join_state_.ready_to_serve(
            service_tried, self._higher_offered(), now
        )

    def _higher_offered(self) -> bool:
        return any(o.generation > self.generation_ for o in self.offers_.values())

    def on_offer(
        self, source: int, generation: int, digest: str, rng: random.Random, now: float
    ) -> list[Effect]:
        """Record the offer of a source and start a pull if it is newer."""
        self.offers_[source] = Offer(generation, digest)
        effects: list[Effect] = []
        if generation == self.generation_ and generation and digest != self.digest_:
            effects += self._report_conflict(digest)
        return effects + self.advance_pull(rng, now)

    def _report_conflict(self, new: str) -> list[Effect]:
        """Report a second digest of the accepted generation, once for each digest."""
        if (self.generation_, new) in self.conflicts_:
            return []
        self.conflicts_.add((self.generation_, new))
        fields = {"generation": self.generation_, "kept": self.digest_, "refused": new}
        return [LogEvent(log.SET_CONFLICT, fields), Count("spread_conflicts")]

    def remove_source(self, link: int, rng: random.Random, now: float) -> list[Effect]:
        """Remove the offer and backoffs of a peer whose link was closed."""
        self.offers_.pop(link, None)
        for key in [key for key in self.backoffs_ if key[0] == link]:
            del self.backoffs_[key]
        if self.pull_ is not None and self.pull_.source_ == link:
            self.pull_.abort_request()
        return self.advance_pull(rng, now)

    def on_service_manifest(
        self, value: bytes | None, version: str, rng: random.Random, now: float
    ) -> list[Effect]:
        """Process the manifest that the configuration service returned."""
        fresh, effects = self.service_.on_answer(version, now)
        if value is None:
            self.offers_.pop(SERVICE, None)
            return effects
        try:
            parsed = parse_manifest(value)
        except InvalidManifest as exc:
            effects.append(Count("spread_manifests_unreadable"))
            self.offers_.pop(SERVICE, None)
            if value != self.service_manifest_:
                self.service_manifest_ = value
                fields = {"error": str(exc)}
                effects.append(LogEvent(log.SERVICE_UNREADABLE, fields))
            return effects
        self.service_manifest_ = value
        if parsed.generation < self.generation_:
            effects.append(Count("spread_stale_manifests"))
            if self.logged_stale_generation_ != parsed.generation:
                self.logged_stale_generation_ = parsed.generation
                fields = {"generation": parsed.generation, "accepted": self.generation_}
                effects.append(LogEvent(log.SERVICE_STALE, fields))
        eq = (parsed.generation, parsed.digest) == (self.generation_, self.digest_)
        if eq and fresh and not self.join_state_.isolated_ and self.join_state_.joined_:
            effects += self._confirm()
        offer = (parsed.generation, parsed.digest)
        return effects + self.on_offer(SERVICE, *offer, rng, now)

    # Confirmation.

    def on_fresh_digest_reply(
        self, source: int, generation: int, confirmed: bool, n_links: int, now: float
    ) -> list[Effect]:
        """Confirm if the reply to a request made after the last pause allows it."""
        if generation > self.generation_ or not self.join_state_.joined_:
            return []
        self.answered_peers_.add(source)
        since = self.unconfirmed_since_
        all_unconfirmed = (
            since is not None
            and now - since >= ALL_UNCONFIRMED_S
            and len(self.answered_peers_) >= min(2, n_links)
            and not self._higher_offered()
        )
        if confirmed or all_unconfirmed:
            self.join_state_.isolated_ = False
            return self._confirm()
        return []

    def _confirm(self) -> list[Effect]:
        if self.confirmed_:
            return []
        self.confirmed_ = True
        self.unconfirmed_since_ = None
        self.answered_peers_.clear()
        return [LogEvent(log.CONFIRMED, {"generation": self.generation_})]

    def join_if_ready(self, now: float) -> list[Effect]:
        """Mark the host as joined if it is ready to serve."""
        if self.join_state_.started_at_ is None:
            self.join_state_.started_at_ = now
        if self.join_state_.joined_ or not self.ready_to_serve(now):
            return []
        join = self.join_state_
        join.joined_ = True
        join.isolated_ = not join.answered_domains_ and join.listed_domains_ != set()
        self.confirmed_ = not join.isolated_ and not self._higher_offered()
        if not self.confirmed_:
            self.unconfirmed_since_ = now
        fields = {"generation": self.generation_, "confirmed": self.confirmed_}
        return [LogEvent(log.JOINED, fields)]

    def on_pause(self, now: float) -> None:
        """Mark the generation unconfirmed and drop offers made before the pause."""
        self.confirmed_ = False
        self.unconfirmed_since_ = now
        self.answered_peers_.clear()
        self.offers_.clear()
        if self.pull_ is not None:
            self.pull_.abort_request()
        self.service_.on_pause(now)

    # Pull.

    def advance_pull(self, rng: random.Random, now: float) -> list[Effect]:
        """Start or continue the pull of the highest generation on offer."""
        effects: list[Effect] = []
        pull = self.pull_
        if pull is not None and pull.timed_out(now):
            effects += self._on_request_timeout(pull, now)
        # Leaving out sources in backoff lets offers of lower generations proceed.
        available = self._available_offers(now)
        highest = max((offer.generation for offer in available.values()), default=0)
        if highest <= self.generation_:
            return effects
        if pull is not None and pull.generation >= highest and pull.source_ is not None:
            return effects
        matches = pull is not None and any(map(pull.matches, available.values()))
        if pull is None or pull.generation < highest or not matches:
            newest = [s for s, o in available.items() if o.generation == highest]
            digest = self.offers_[rng.choice(newest)].digest
            known_values = self.values_ if pull is None else self.values_ | pull.values_
            pull = self.pull_ = Pull(highest, digest, known_values)
        if now < pull.next_request_at_:
            return effects
        matching = [s for s, offer in available.items() if pull.matches(offer)]
        # The service allows 2,000 reads/s for all hosts, so peers are preferred.
        peers = [source for source in matching if source != SERVICE]
        source = rng.choice(peers or matching)
        if source == SERVICE and pull.manifest_ is None:
            try:
                pull.set_manifest(self.service_manifest_, SERVICE)
            except InvalidManifest as exc:
                pull.source_ = SERVICE
                return effects + self._back_off(pull, str(exc), now)
        if pull.is_complete():
            return effects + self._accept(pull, now)
        return [*effects, pull.next_request(source, now)]

    def _on_request_timeout(self, pull: Pull, now: float) -> list[Effect]:
        """Abandon a request without an answer; the chunks so far are kept.

        The message may be lost and the source may be the only one, so a backoff takes
        `N_TIMEOUTS_TO_BACK_OFF` consecutive timeouts of the pull.
        """
        received = bytes(pull.buffer_)
        pull.n_timeouts_ += 1
        if pull.n_timeouts_ % N_TIMEOUTS_TO_BACK_OFF == 0:
            effects = self._back_off(pull, "no answer in time", now, is_transient=True)
        else:
            effects = [Count("spread_pulls_failed")]
            pull.abort_request()
        # The next source continues here; verifying the whole item finds wrong chunks.
        pull.buffer_ += received
        pull.next_request_at_ = now
        return effects

    def _available_offers(self, now: float) -> dict[int, Offer]:
        available = {}
        for source, offer in self.offers_.items():
            backoff = self.backoffs_.get((source, offer.generation, offer.digest))
            if backoff is None or now >= backoff.ends_at:
                available[source] = offer
        return available

    def on_manifest_chunk(
        self, source: int, chunk: ManifestReply, rng: random.Random, now: float
    ) -> list[Effect]:
        """Process a requested chunk of the manifest; others are ignored."""
        pull = self.pull_
        if pull is None or pull.source_ != source or pull.manifest_ is not None:
            return []
        if (chunk.generation, chunk.digest) != (pull.generation, pull.digest):
            return []
        if chunk.size and chunk.offset < len(pull.buffer_):
            return []  # duplicate of an earlier chunk
        try:
            pull.add_manifest_chunk(chunk.offset, chunk.size, chunk.data)
        except (InvalidManifest, SetNotAcceptable) as exc:
            return self._back_off(pull, str(exc), now)
        return self._continue(pull, rng, now)

    def on_value_chunk(
        self, source: int, chunk: ValueChunk, rng: random.Random, now: float
    ) -> list[Effect]:
        """Process a requested chunk of a value; others are ignored."""
        pull = self.pull_
        if pull is None or pull.source_ != source or not pull.missing_:
            return []
        if chunk.sha256 != pull.missing_[0].sha256:
            return []
        if chunk.size and chunk.offset < len(pull.buffer_):
            return []
        try:
            pull.add_value_chunk(chunk.offset, chunk.size, chunk.data)
        except SetNotAcceptable as exc:
            return self._reject_value(pull, str(exc), now)
        return self._continue(pull, rng, now)

    def on_service_value(
        self, key: str, value: bytes | None, rng: random.Random, now: float
    ) -> list[Effect]:
        """Process a requested value from the service; others are ignored."""
        pull = self.pull_
        if pull is None or pull.source_ != SERVICE or not pull.missing_:
            return []
        if key != pull.missing_[0].key:
            return []
        try:
            pull.set_value(value)
        except SetNotAcceptable as exc:
            return self._reject_value(pull, str(exc), now)
        return self._continue(pull, rng, now)

    def on_service_failed(self, key: str, detail: str, now: float) -> list[Effect]:
        """Process a failed value read of the configuration service."""
        pull = self.pull_
        if pull is None or pull.source_ != SERVICE or not pull.missing_:
            return []
        if key != pull.missing_[0].key:
            return []
        return self._back_off(pull, detail or "read failed", now, is_transient=True)

    def _continue(self, pull: Pull, rng: random.Random, now: float) -> list[Effect]:
        pull.n_timeouts_ = 0
        return (
            self._accept(pull, now)
            if pull.is_complete()
            else self.advance_pull(rng, now)
        )

    def _reject_value(self, pull: Pull, reason: str, now: float) -> list[Effect]:
        # If several sources fail to send valid values, the manifest is probably wrong.
        effects = self._back_off(pull, reason, now)
        pull.n_rejected_values_ += 1
        if pull.n_rejected_values_ < MAX_REJECTED_VALUES:
            return effects
        pull.source_ = pull.manifest_source_
        pull.discard_manifest()
        return effects + self._back_off(
            pull, "too many values of the manifest were rejected", now
        )

    def _back_off(
        self, pull: Pull, reason: str, now: float, is_transient: bool = False
    ) -> list[Effect]:
        source = pull.source_
        assert source is not None
        key = (source, pull.generation, pull.digest)
        backoff = self.backoffs_.get(key)
        # Only invalid content doubles the delay; a silent source may recover quickly.
        use_min = backoff is None or is_transient
        delay_s = BACKOFF_MIN_S if use_min else min(backoff.delay_s * 2, BACKOFF_MAX_S)
        self.backoffs_[key] = SourceBackoff(now + delay_s, delay_s)
        pull.abort_request()
        pull.next_request_at_ = now + RETRY_DELAY_S
        fields = {
            "generation": pull.generation,
            "source": "service" if source == SERVICE else f"link {source}",
            "error": reason,
        }
        return [LogEvent(log.SET_REFUSED, fields), Count("spread_pulls_failed")]

    def _accept(self, pull: Pull, now: float) -> list[Effect]:
        manifest = pull.manifest_
        assert manifest is not None
        values = {ref.key: pull.values_[ref.sha256] for ref in manifest.values}
        try:
            assert self.load_bundle is not None
            loaded = self.load_bundle(pull.manifest_bytes_, values)
            if (loaded.generation, loaded.digest) != (pull.generation, pull.digest):
                raise SetNotAcceptable("loaded object set differs from its manifest")
        except (JackdawsillError, ValueError, TypeError, LookupError) as exc:
            # All hashes match, so the manifest is wrong; another source's may be right.
            pull.source_ = pull.manifest_source_
            pull.discard_manifest()
            return self._back_off(pull, str(exc), now)
        self.pull_ = None
        self.accepted_set_ = loaded
        self.generation_, self.digest_ = pull.generation, pull.digest
        self.manifest_bytes_ = pull.manifest_bytes_
        self.values_ = {r.sha256: pull.values_[r.sha256] for r in manifest.values}
        self.backoffs_.clear()
        self.conflicts_.clear()
        fields = {"generation": self.generation_, "digest": self.digest_}
        return [
            LogEvent(log.SET_ACCEPTED, fields),
            Count("spread_sets_accepted"),
            EmitEvent(SetAccepted(self.generation_, self.digest_)),
            *self._report_offered_conflicts(),
        ]

    def _report_offered_conflicts(self) -> Iterable[Effect]:
        """Report offers that conflict with the set that was accepted just now."""
        for offer in self.offers_.values():
            if offer.generation == self.generation_ and offer.digest != self.digest_:
                yield from self._report_conflict(offer.digest)
