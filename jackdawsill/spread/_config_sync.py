"""Spread of the published object set among hosts."""

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
from jackdawsill.spread._pull import SERVICE, Blame, Offer, Pull
from jackdawsill.spread._service import ServiceReader

if TYPE_CHECKING:
    from jackdawsill.objects import ObjectSet

# (manifest, values by key) -> checked set; raises JackdawsillError or ValueError.
LoadBundle = Callable[[bytes, Mapping[str, bytes]], "ObjectSet"]

BLAME_MIN_S = 1.0
BLAME_MAX_S = 16.0
MANIFEST_DOUBTS = 3
N_LATE_TO_BLAME = 4
# Between two attempts, so that many sources of one bad set cause no tight loop.
ATTEMPT_GAP_S = 0.2
# Peers that were all paused at once cannot confirm one another; if none of them
# knows a higher generation, the fleet goes on after this time.
ALL_UNCONFIRMED_S = 10.0


class ConfigSync:
    """Own the accepted generation and how it is confirmed.

    `load_bundle` checks a whole set; without it the component is passive.
    """

    __slots__ = (
        "accepted_",
        "blamed_",
        "confirmed_",
        "conflicts_",
        "digest_",
        "generation_",
        "join_state_",
        "load_bundle",
        "manifest_bytes_",
        "offers_",
        "pull_",
        "service_",
        "service_manifest_",
        "stale_logged_",
        "unconfirmed_answers_",
        "unconfirmed_since_",
        "values_",
    )

    def __init__(self, load_bundle: LoadBundle | None = None) -> None:
        self.load_bundle = load_bundle
        self.generation_ = 0
        self.digest_ = ""
        self.confirmed_ = False  # a source knows no higher generation
        self.accepted_: ObjectSet | None = None
        self.manifest_bytes_ = b""
        self.values_: dict[str, bytes] = {}
        self.offers_: dict[int, Offer] = {}
        self.blamed_: dict[tuple[int, int, str], Blame] = {}
        self.conflicts_: set[tuple[int, str]] = set()
        self.pull_: Pull | None = None
        self.service_ = ServiceReader()
        self.service_manifest_ = b""
        self.stale_logged_ = -1
        self.join_state_ = JoinState()
        self.unconfirmed_since_: float | None = None
        self.unconfirmed_answers_: set[int] = set()

    def ready_to_serve(self, now: float) -> bool:
        """Tell whether the host has a set and knows enough to serve it."""
        # A service that is down cannot tell more than the peers that answered.
        asked = self.service_.answered_ or self.service_.failing_
        return self.accepted_ is not None and self.join_state_.enough(
            asked, self._higher_offered(), now
        )

    def _higher_offered(self) -> bool:
        return any(o.generation > self.generation_ for o in self.offers_.values())

    def on_offer(
        self, source: int, generation: int, digest: str, rng: random.Random, now: float
    ) -> list[Effect]:
        """Record what a source can give, and pull it if it is newer."""
        self.offers_[source] = Offer(generation, digest)
        effects: list[Effect] = []
        if generation == self.generation_ and generation and digest != self.digest_:
            effects += self._conflict(digest)
        return effects + self.step(rng, now)

    def _conflict(self, digest: str) -> list[Effect]:
        if (self.generation_, digest) in self.conflicts_:
            return []
        self.conflicts_.add((self.generation_, digest))
        fields = {
            "generation": self.generation_,
            "kept": self.digest_,
            "refused": digest,
        }
        return [LogEvent(log.SET_CONFLICT, fields), Count("spread_conflicts")]

    def drop_source(self, source: int, rng: random.Random, now: float) -> list[Effect]:
        """Forget a peer whose link was closed."""
        self.offers_.pop(source, None)
        for key in [key for key in self.blamed_ if key[0] == source]:
            del self.blamed_[key]
        if self.pull_ is not None and self.pull_.source_ == source:
            self.pull_.drop_source()
        return self.step(rng, now)

    def on_service_manifest(
        self, value: bytes | None, version: str, rng: random.Random, now: float
    ) -> list[Effect]:
        """Take in the manifest that the configuration service serves."""
        fresh, effects = self.service_.on_answer(version, now)
        if value is None:
            self.offers_.pop(SERVICE, None)
            return effects
        try:
            manifest = parse_manifest(value)
        except InvalidManifest as exc:
            effects.append(Count("spread_manifests_unreadable"))
            self.offers_.pop(SERVICE, None)
            if value != self.service_manifest_:
                self.service_manifest_ = value
                fields = {"error": str(exc)}
                effects.append(LogEvent(log.SERVICE_UNREADABLE, fields))
            return effects
        self.service_manifest_ = value
        if manifest.generation < self.generation_:
            effects.append(Count("spread_stale_manifests"))
            if self.stale_logged_ != manifest.generation:
                self.stale_logged_ = manifest.generation
                fields = {
                    "generation": manifest.generation,
                    "accepted": self.generation_,
                }
                effects.append(LogEvent(log.SERVICE_STALE, fields))
        same = (manifest.generation, manifest.digest) == (
            self.generation_,
            self.digest_,
        )
        if (
            same
            and fresh
            and not self.join_state_.isolated_
            and self.join_state_.joined_
        ):
            effects += self._confirm()
        offer = (manifest.generation, manifest.digest)
        return effects + self.on_offer(SERVICE, *offer, rng, now)

    # Confirmation.

    def on_fresh_answer(
        self, source: int, generation: int, confirmed: bool, n_links: int, now: float
    ) -> list[Effect]:
        """Take in what a peer says that was asked after the last pause."""
        if generation > self.generation_ or not self.join_state_.joined_:
            return []
        self.unconfirmed_answers_.add(source)
        since = self.unconfirmed_since_
        all_unconfirmed = (
            since is not None
            and now - since >= ALL_UNCONFIRMED_S
            and len(self.unconfirmed_answers_) >= min(2, n_links)
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
        self.unconfirmed_answers_.clear()
        return [LogEvent(log.CONFIRMED, {"generation": self.generation_})]

    def update_joined(self, now: float) -> list[Effect]:
        """Record that the host has joined once it knows enough."""
        if self.join_state_.started_at_ is None:
            self.join_state_.started_at_ = now
        if self.join_state_.joined_ or not self.ready_to_serve(now):
            return []
        joining = self.join_state_
        joining.joined_ = True
        joining.isolated_ = not joining.domains_ and joining.other_domains_ != set()
        self.confirmed_ = not joining.isolated_ and not self._higher_offered()
        if not self.confirmed_:
            self.unconfirmed_since_ = now
        fields = {"generation": self.generation_, "confirmed": self.confirmed_}
        return [LogEvent(log.JOINED, fields)]

    def on_pause(self, now: float) -> None:
        """Mark the generation unconfirmed; offers made before a pause are void."""
        self.confirmed_ = False
        self.unconfirmed_since_ = now
        self.unconfirmed_answers_.clear()
        self.offers_.clear()
        if self.pull_ is not None:
            self.pull_.drop_source()
        self.service_.on_pause(now)

    # Pull.

    def step(self, rng: random.Random, now: float) -> list[Effect]:
        """Start or go on with the pull of the highest generation on offer."""
        effects: list[Effect] = []
        pull = self.pull_
        if pull is not None and pull.late(now):
            effects += self._ask_again(pull, now)
        # A source that cannot give what it offers does not hold up lower offers.
        usable = self._usable_offers(now)
        best = max((offer.generation for offer in usable.values()), default=0)
        if best <= self.generation_:
            return effects
        if pull is not None and pull.generation >= best and pull.source_ is not None:
            return effects
        fits = pull is not None and any(map(pull.fits, usable.values()))
        if pull is None or pull.generation < best or not fits:
            newest = [s for s, offer in usable.items() if offer.generation == best]
            digest = self.offers_[rng.choice(newest)].digest
            held = self.values_ if pull is None else self.values_ | pull.held_
            pull = self.pull_ = Pull(best, digest, held)
        if now < pull.not_before_:
            return effects
        fitting = [s for s, offer in usable.items() if pull.fits(offer)]
        # The service has 2,000 reads/s for all hosts, so peers are asked first.
        peers = [source for source in fitting if source != SERVICE]
        source = rng.choice(peers or fitting)
        if source == SERVICE and pull.manifest_ is None:
            try:
                pull.take_manifest(self.service_manifest_, SERVICE)
            except InvalidManifest as exc:
                pull.source_ = SERVICE
                return effects + self._blame(pull, str(exc), now)
        if pull.complete():
            return effects + self._finish(pull, now)
        return [*effects, pull.ask(source, now)]

    def _ask_again(self, pull: Pull, now: float) -> list[Effect]:
        """Give up a request without an answer; the piece so far is kept.

        One lost message is no fault of the source, which may be the only one. It is
        left alone for a while only after several requests in a row.
        """
        piece = bytes(pull.buffer_)
        pull.n_late_ += 1
        if pull.n_late_ % N_LATE_TO_BLAME == 0:
            effects = self._blame(pull, "no answer in time", now, silent=True)
        else:
            effects = [Count("spread_pulls_failed")]
            pull.drop_source()
        # Another source goes on with the piece; its hash covers both.
        pull.buffer_ += piece
        pull.not_before_ = now
        return effects

    def _usable_offers(self, now: float) -> dict[int, Offer]:
        usable = {}
        for source, offer in self.offers_.items():
            blame = self.blamed_.get((source, offer.generation, offer.digest))
            if blame is None or now >= blame.until:
                usable[source] = offer
        return usable

    def on_manifest_part(
        self, source: int, part: ManifestReply, rng: random.Random, now: float
    ) -> list[Effect]:
        """Take in part of the manifest that was asked for."""
        pull = self.pull_
        if pull is None or pull.source_ != source or pull.manifest_ is not None:
            return []
        if (part.generation, part.digest) != (pull.generation, pull.digest):
            return []
        if part.size and part.offset < len(pull.buffer_):
            return []  # duplicate of an earlier part
        try:
            pull.take_manifest_part(part.offset, part.size, part.data)
        except (InvalidManifest, SetNotAcceptable) as exc:
            return self._blame(pull, str(exc), now)
        return self._next(pull, rng, now)

    def on_value_part(
        self, source: int, part: ValueChunk, rng: random.Random, now: float
    ) -> list[Effect]:
        """Take in part of the value that was asked for."""
        pull = self.pull_
        if pull is None or pull.source_ != source or not pull.missing_:
            return []
        if part.sha256 != pull.missing_[0].sha256:
            return []
        if part.size and part.offset < len(pull.buffer_):
            return []
        try:
            pull.take_value_part(part.offset, part.size, part.data)
        except SetNotAcceptable as exc:
            return self._doubt(pull, str(exc), now)
        return self._next(pull, rng, now)

    def on_service_value(
        self, key: str, value: bytes | None, rng: random.Random, now: float
    ) -> list[Effect]:
        """Take in a value that the configuration service was asked for."""
        pull = self.pull_
        if pull is None or pull.source_ != SERVICE or not pull.missing_:
            return []
        if key != pull.missing_[0].key:
            return []
        try:
            pull.take_whole_value(value)
        except SetNotAcceptable as exc:
            return self._doubt(pull, str(exc), now)
        return self._next(pull, rng, now)

    def on_service_failed(self, key: str, detail: str, now: float) -> list[Effect]:
        """Take in that a read of the configuration service failed."""
        pull = self.pull_
        if pull is None or pull.source_ != SERVICE or not pull.missing_:
            return []
        if key != pull.missing_[0].key:
            return []
        return self._blame(pull, detail or "read failed", now, silent=True)

    def _next(self, pull: Pull, rng: random.Random, now: float) -> list[Effect]:
        pull.n_late_ = 0
        return self._finish(pull, now) if pull.complete() else self.step(rng, now)

    def _doubt(self, pull: Pull, reason: str, now: float) -> list[Effect]:
        # Values that several sources cannot give were named by a wrong manifest.
        effects = self._blame(pull, reason, now)
        pull.n_doubts_ += 1
        if pull.n_doubts_ < MANIFEST_DOUBTS:
            return effects
        pull.source_ = pull.manifest_source_
        pull.drop_manifest()
        return effects + self._blame(pull, "its manifest names unknown values", now)

    def _blame(
        self, pull: Pull, reason: str, now: float, silent: bool = False
    ) -> list[Effect]:
        source = pull.source_
        assert source is not None
        key = (source, pull.generation, pull.digest)
        blame = self.blamed_.get(key)
        # A source without an answer may be back at once; damaged content stays.
        first = blame is None or silent
        wait_s = BLAME_MIN_S if first else min(blame.wait_s * 2, BLAME_MAX_S)
        self.blamed_[key] = Blame(now + wait_s, wait_s)
        pull.drop_source()
        pull.not_before_ = now + ATTEMPT_GAP_S
        fields = {
            "generation": pull.generation,
            "source": "service" if source == SERVICE else f"link {source}",
            "error": reason,
        }
        return [LogEvent(log.SET_REFUSED, fields), Count("spread_pulls_failed")]

    def _finish(self, pull: Pull, now: float) -> list[Effect]:
        manifest = pull.manifest_
        assert manifest is not None
        values = {ref.key: pull.held_[ref.sha256] for ref in manifest.values}
        try:
            assert self.load_bundle is not None
            loaded = self.load_bundle(pull.manifest_bytes_, values)
            if (loaded.generation, loaded.digest) != (pull.generation, pull.digest):
                raise SetNotAcceptable("the set is another one than its manifest says")
        except (JackdawsillError, ValueError, TypeError, LookupError) as exc:
            # The hashes fit, so the manifest itself is wrong; another source may
            # have the right one.
            pull.source_ = pull.manifest_source_
            pull.drop_manifest()
            return self._blame(pull, str(exc), now)
        self.pull_ = None
        self.accepted_ = loaded
        self.generation_, self.digest_ = pull.generation, pull.digest
        self.manifest_bytes_ = pull.manifest_bytes_
        self.values_ = {r.sha256: pull.held_[r.sha256] for r in manifest.values}
        self.blamed_.clear()
        self.conflicts_.clear()
        fields = {"generation": self.generation_, "digest": self.digest_}
        return [
            LogEvent(log.SET_ACCEPTED, fields),
            Count("spread_sets_accepted"),
            EmitEvent(SetAccepted(self.generation_, self.digest_)),
            *self._late_conflicts(),
        ]

    def _late_conflicts(self) -> Iterable[Effect]:
        for offer in self.offers_.values():
            if offer.generation == self.generation_ and offer.digest != self.digest_:
                yield from self._conflict(offer.digest)
