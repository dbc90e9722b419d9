"""Table of the hosts that this host knows."""

from dataclasses import dataclass
from typing import Any

from jackdawsill.core import SendPeer


@dataclass(slots=True, frozen=True)
class Member:
    """One process incarnation of a host."""

    incarnation: str
    name: str
    address: str  # host:peer_port
    failure_domain: str


class MemberTable:
    """Own the known members, and the links to some of them."""

    __slots__ = ("links_", "members_", "self_member")

    def __init__(self, self_member: Member) -> None:
        self.self_member = self_member
        self.members_: dict[str, Member] = {self_member.incarnation: self_member}
        self.links_: dict[str, int] = {}

    def live_hosts(self) -> tuple[Member, ...]:
        """Return the members not held lost, this host included."""
        return tuple(self.members_.values())

    def link_to(self, incarnation: str) -> int | None:
        """Return the id of the open link to a member."""
        return self.links_.get(incarnation)

    def broadcast(self, message: Any) -> list[SendPeer]:
        """Return the effects that send a message on all links."""
        return [SendPeer(link_id, message) for link_id in self.links_.values()]

    def is_lost(self, incarnation: str) -> bool:
        """Tell whether an incarnation is held lost or was never known."""
        return incarnation not in self.members_

    def successor_of(self, incarnation: str) -> str | None:
        """Return the incarnation that took over the tickets of a stopped one."""
        return None
