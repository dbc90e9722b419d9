"""Periodic work of the member table: pings, evidence, dialling, exchange."""

import random
from collections.abc import Callable, Iterator

from jackdawsill.core import Effect, OpenLink, ReadHostList, SendPeer
from jackdawsill.membership._exchange import close, member_change, unregister
from jackdawsill.membership._links import (
    BRIEF_S,
    HANDSHAKE_TIMEOUT_S,
    LINK_DEAD_S,
    OPENING,
    PING_S,
    SUSPECT_AFTER_S,
    LinkState,
)
from jackdawsill.membership._messages import Evidence, Ping
from jackdawsill.membership._model import Member, MemberState
from jackdawsill.membership._rendezvous import choose_across_domains, rendezvous_score
from jackdawsill.membership._table import MemberTable

N_MONITORS = 6
# Up to this size all hosts are linked: 17 links cost less than 1 KB/s of pings.
FULL_MESH_MAX = 18
DIGEST_S = 1.0
STRAY_S = 1.0
STRAY_RETRY_S = 5.0
JOIN_FANOUT = 6
HOST_LIST_S = 20.0
JOIN_HOST_LIST_S = 1.0
RETENTION_CHECK_S = 5.0
# Without a link for this time a host goes on alone after a pause.
UNREACHED_S = 3.0


class Upkeep:
    """Hold when the periodic work of a member table is due."""

    __slots__ = (
        "digest_at_",
        "host_list_at_",
        "reached_at_",
        "retention_at_",
        "stray_at_",
        "targets_",
        "targets_version_",
    )

    def __init__(self) -> None:
        self.digest_at_ = 0.0
        self.host_list_at_ = 0.0
        self.reached_at_: float | None = None
        self.retention_at_ = 0.0
        self.stray_at_ = 0.0
        self.targets_: tuple[Member, ...] = ()
        self.targets_version_ = -1

    def targets(self, table: MemberTable) -> tuple[Member, ...]:
        """Return the members that this host links to: its monitors, or all."""
        if self.targets_version_ != table.version_:
            own = table.self_member
            others = [m for m in table.live_members() if m is not own]
            if len(others) >= FULL_MESH_MAX:
                others = choose_across_domains(
                    others,
                    N_MONITORS,
                    lambda m: rendezvous_score(own.incarnation, m.incarnation),
                    lambda m: m.failure_domain,
                )
            self.targets_ = tuple(others)
            self.targets_version_ = table.version_
        return self.targets_

    def run(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        """Return the effects of all work that is due."""
        effects = list(self._check_links(table, now))
        heard = table.link_table_.heard(now)
        table.conclude(heard, now)
        self._confirm(table, heard, now)
        links = table.links_.values()
        effects += table.outbox_records_.flush(links, member_change)
        effects += table.outbox_evidence_.flush(links, Evidence)
        if not table.leaving_:
            effects += self._dial_targets(table, next_id, now)
            effects += self._exchange(table, rng, next_id, now)
            effects += self._dial_strays(table, rng, next_id, now)
        if now >= self.host_list_at_:
            period_s = HOST_LIST_S if heard else JOIN_HOST_LIST_S
            self.host_list_at_ = now + period_s * rng.uniform(0.8, 1.2)
            effects.append(ReadHostList())
        if now >= self.retention_at_:
            self.retention_at_ = now + RETENTION_CHECK_S
            table.forget_expired(now)
            known = {entry.member.address for entry in table.entries_.values()}
            table.link_table_.forget_addresses(
                known | table.link_table_.listed_.keys() | set(table.seeds)
            )
        return effects

    def _check_links(self, table: MemberTable, now: float) -> Iterator[Effect]:
        for link in list(table.link_table_.links_.values()):
            age_s = now - link.changed_at
            if link.state in OPENING:
                if age_s >= HANDSHAKE_TIMEOUT_S:
                    table.report(link.expected, now)
                    yield from close(link)
            elif link.state == LinkState.OPEN:
                silence_s = now - link.heard_at
                if silence_s >= SUSPECT_AFTER_S and not link.brief:
                    table.report(link.peer, now)
                too_old = link.brief and link.outgoing and age_s >= BRIEF_S
                if silence_s >= LINK_DEAD_S or too_old:
                    unregister(table, link)
                    yield from close(link)
                elif now >= link.ping_at and not link.brief:
                    link.ping_at = now + PING_S
                    yield SendPeer(link.link_id, Ping())

    def _confirm(self, table: MemberTable, heard: set[str], now: float) -> None:
        if heard or self.reached_at_ is None:
            self.reached_at_ = now
        elif now - self.reached_at_ >= UNREACHED_S:
            table.confirmed_ = True

    def _dial_targets(
        self, table: MemberTable, next_id: Callable[[], int], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        targets = self.targets(table)
        for member in targets:
            if member.incarnation not in table.links_ and table.link_table_.may_dial(
                member.address, now
            ):
                link = table.link_table_.dial(
                    next_id(), member.address, now, expected=member.incarnation
                )
                effects.append(OpenLink(link.link_id, link.address))
        if len(table.links_) > len(targets):
            kept = {member.incarnation for member in targets} | table.held_peers(now)
            for peer, link_id in list(table.links_.items()):
                link = table.link_table_.links_.get(link_id)
                if peer not in kept and link is not None and link.outgoing:
                    unregister(table, link)
                    effects += close(link)
        return effects

    def _exchange(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        # Each live host is met about once a second by some other host, so a host
        # that died before it had monitors is found as well.
        live = table.live_members()
        if now < self.digest_at_ or len(live) < 2:
            return []
        self.digest_at_ = now + DIGEST_S
        offer = table.digest_offer()
        member = rng.choice(live)
        if not table.confirmed_ and table.links_:
            return [SendPeer(rng.choice(list(table.links_.values())), offer)]
        if member is table.self_member:
            return []
        link_id = table.links_.get(member.incarnation)
        if link_id is not None:
            return [SendPeer(link_id, offer)]
        if not table.link_table_.may_dial(member.address, now):
            return []
        link = table.link_table_.dial(
            next_id(), member.address, now, expected=member.incarnation, brief=True
        )
        return [OpenLink(link.link_id, link.address)]

    def _dial_strays(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        # Lost members and addresses that are not members yet, at a low rate.
        if now < self.stray_at_:
            return []
        self.stray_at_ = now + STRAY_S
        net = table.link_table_
        known = {m.address for m in table.live_members()}
        lost = {
            entry.member.address
            for entry in table.entries_.values()
            if entry.state == MemberState.LOST
        }
        pool = (lost | net.listed_.keys() | set(table.seeds)) - known
        due = sorted(address for address in pool if net.may_dial(address, now))
        n_dialled = 1 if table.links_ else JOIN_FANOUT
        effects: list[Effect] = []
        for address in rng.sample(due, min(n_dialled, len(due))):
            link = net.dial(next_id(), address, now, brief=True, retry_s=STRAY_RETRY_S)
            effects.append(OpenLink(link.link_id, address))
        return effects
