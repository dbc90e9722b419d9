"""Periodic work of the member table: pings, evidence, dialling, anti-entropy."""

import random
from collections.abc import Callable, Iterator

from jackdawsill.core import Effect, OpenLink, ReadHostList, SendPeer
from jackdawsill.membership._links import (
    BRIEF_LINK_MAX_S,
    HANDSHAKE_TIMEOUT_S,
    LINK_TIMEOUT_S,
    OPENING,
    PING_INTERVAL_S,
    SUSPECT_AFTER_S,
    LinkState,
)
from jackdawsill.membership._message_handlers import (
    close_effects,
    member_change,
    unset_peer_link,
)
from jackdawsill.membership._messages import Evidence, Ping
from jackdawsill.membership._model import Member, MemberState
from jackdawsill.membership._rendezvous import choose_across_domains, rendezvous_score
from jackdawsill.membership._table import MemberTable

N_MONITORS = 6  # members that a host links to in a large fleet
# In a fleet of up to this size all hosts are linked; 17 links of a host cost less than
# 1 KB/s of pings.
FULL_MESH_MAX = 18
DIGEST_INTERVAL_S = 1.0
# Non-member addresses are those of lost members, the platform's list and the seeds.
NON_MEMBER_DIAL_INTERVAL_S = 1.0
NON_MEMBER_RETRY_S = 5.0
JOIN_FANOUT = 6  # addresses dialled at once while this host has no link
HOST_LIST_INTERVAL_S = 20.0
JOIN_HOST_LIST_INTERVAL_S = 1.0
RETENTION_CHECK_INTERVAL_S = 5.0
# Time without a message of any peer after which a host confirms its own member view,
# since no other host can.
ISOLATED_AFTER_S = 3.0


class MemberMaintenance:
    """Schedule of a member table's periodic work."""

    __slots__ = (
        "last_heard_at_",
        "link_targets_",
        "link_targets_version_",
        "next_digest_at_",
        "next_host_list_at_",
        "next_non_member_dial_at_",
        "next_retention_check_at_",
    )

    def __init__(self) -> None:
        self.next_digest_at_ = 0.0
        self.next_host_list_at_ = 0.0
        self.last_heard_at_: float | None = None
        self.next_retention_check_at_ = 0.0
        self.next_non_member_dial_at_ = 0.0
        self.link_targets_: tuple[Member, ...] = ()
        self.link_targets_version_ = -1

    def link_targets(self, table: MemberTable) -> tuple[Member, ...]:
        """Return the members that this host links to: its monitors or all.

        Monitors are chosen by rendezvous hashing across failure domains.
        """
        if self.link_targets_version_ != table.version_:
            own = table.self_member
            others = [m for m in table.live_members() if m is not own]
            if len(others) >= FULL_MESH_MAX:
                others = choose_across_domains(
                    others,
                    N_MONITORS,
                    lambda m: rendezvous_score(own.incarnation, m.incarnation),
                    lambda m: m.failure_domain,
                )
            self.link_targets_ = tuple(others)
            self.link_targets_version_ = table.version_
        return self.link_targets_

    def run(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        """Run the work that is due and return its effects."""
        effects = list(self._check_links(table, now))
        heard = table.link_table_.recently_heard(now)
        table.declare_lost_members(heard, now)
        self._confirm_if_isolated(table, heard, now)
        links = table.links_.values()
        effects += table.outbox_records_.flush(links, member_change)
        effects += table.outbox_evidence_.flush(links, Evidence)
        if not table.leaving_:
            effects += self._dial_link_targets(table, next_id, now)
            effects += self._start_exchange(table, rng, next_id, now)
            effects += self._dial_non_members(table, rng, next_id, now)
        if now >= self.next_host_list_at_:
            period_s = HOST_LIST_INTERVAL_S if heard else JOIN_HOST_LIST_INTERVAL_S
            self.next_host_list_at_ = now + period_s * rng.uniform(0.8, 1.2)
            effects.append(ReadHostList())
        if now >= self.next_retention_check_at_:
            self.next_retention_check_at_ = now + RETENTION_CHECK_INTERVAL_S
            table.drop_expired(now)
            known = {entry.member.address for entry in table.entries_.values()}
            table.link_table_.drop_addresses(
                known | table.link_table_.listed_.keys() | set(table.seeds)
            )
        return effects

    def _check_links(self, table: MemberTable, now: float) -> Iterator[Effect]:
        """Report and close silent links; ping the others."""
        for link in list(table.link_table_.links_.values()):
            age_s = now - link.changed_at
            if link.state in OPENING:
                if age_s >= HANDSHAKE_TIMEOUT_S:
                    table.report_suspect(link.expected_peer, now)
                    yield from close_effects(link)
            elif link.state == LinkState.OPEN:
                silence_s = now - link.heard_at
                if silence_s >= SUSPECT_AFTER_S and not link.brief:
                    table.report_suspect(link.peer, now)
                too_old = link.brief and link.outgoing and age_s >= BRIEF_LINK_MAX_S
                if silence_s >= LINK_TIMEOUT_S or too_old:
                    unset_peer_link(table, link)
                    yield from close_effects(link)
                elif now >= link.next_ping_at and not link.brief:
                    link.next_ping_at = now + PING_INTERVAL_S
                    yield SendPeer(link.link_id, Ping())

    def _confirm_if_isolated(
        self, table: MemberTable, heard: set[str], now: float
    ) -> None:
        """Confirm the member view if no peer was heard for `ISOLATED_AFTER_S`."""
        if heard or self.last_heard_at_ is None:
            self.last_heard_at_ = now
        elif now - self.last_heard_at_ >= ISOLATED_AFTER_S:
            table.confirmed_ = True

    def _dial_link_targets(
        self, table: MemberTable, next_id: Callable[[], int], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        link_targets = self.link_targets(table)
        for member in link_targets:
            if member.incarnation not in table.links_ and table.link_table_.may_dial(
                member.address, now
            ):
                link = table.link_table_.add_outgoing(
                    next_id(), member.address, now, expected=member.incarnation
                )
                effects.append(OpenLink(link.link_id, link.address))
        if len(table.links_) > len(link_targets):
            kept = {
                member.incarnation for member in link_targets
            } | table.retained_peers(now)
            for peer, link_id in list(table.links_.items()):
                link = table.link_table_.links_.get(link_id)
                if peer not in kept and link is not None and link.outgoing:
                    unset_peer_link(table, link)
                    effects += close_effects(link)
        return effects

    def _start_exchange(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        """Send a digest to a random live member, if due.

        The member is chosen among all live ones, not only the linked ones. So each host
        gets a digest about once a second, and one that died before others monitored it
        is detected as well.
        """
        live = table.live_members()
        if now < self.next_digest_at_ or len(live) < 2:
            return []
        self.next_digest_at_ = now + DIGEST_INTERVAL_S
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
        link = table.link_table_.add_outgoing(
            next_id(), member.address, now, expected=member.incarnation, brief=True
        )
        return [OpenLink(link.link_id, link.address)]

    def _dial_non_members(
        self,
        table: MemberTable,
        rng: random.Random,
        next_id: Callable[[], int],
        now: float,
    ) -> list[Effect]:
        """Dial lost members and addresses that are not members yet, at a low rate."""
        if now < self.next_non_member_dial_at_:
            return []
        self.next_non_member_dial_at_ = now + NON_MEMBER_DIAL_INTERVAL_S
        link_table = table.link_table_
        known = {m.address for m in table.live_members()}
        lost = {
            entry.member.address
            for entry in table.entries_.values()
            if entry.state == MemberState.LOST
        }
        candidates = (lost | link_table.listed_.keys() | set(table.seeds)) - known
        addresses = sorted(
            address for address in candidates if link_table.may_dial(address, now)
        )
        n_dialled = 1 if table.links_ else JOIN_FANOUT
        effects: list[Effect] = []
        for address in rng.sample(addresses, min(n_dialled, len(addresses))):
            link = link_table.add_outgoing(
                next_id(), address, now, brief=True, retry_s=NON_MEMBER_RETRY_S
            )
            effects.append(OpenLink(link.link_id, address))
        return effects
