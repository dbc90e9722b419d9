"""Requests in hand, and the callers and hosts that wait for their outcome."""

from dataclasses import dataclass, field

from jackdawsill.objects import Snapshot
from jackdawsill.tickets._ledger import Ledger, Record
from jackdawsill.tickets._ticket import Ticket


@dataclass(slots=True)
class LocalCall:
    """Caller of this host that waits for a reply."""

    query_id: int
    request_id: str
    route: str
    caller: str
    body: bytes
    ticket: str
    arrived_at: float
    deadline_at: float
    incarnation: str  # issuer of the ticket
    forward_id: int = 0
    link_id: int | None = None  # link of the forward that is under way


@dataclass(slots=True, frozen=True)
class RemoteWaiter:
    """Forward of another host that waits for a reply."""

    link_id: int
    forward_id: int


@dataclass(slots=True)
class Demand:
    """Request as its issuer sees it, from a local caller or a forward."""

    request_id: str
    route: str
    caller: str
    body: bytes
    ticket: str
    deadline_at: float


@dataclass(slots=True)
class Run:
    """Request whose ticket is spent and whose outcome is open."""

    demand: Demand
    ticket: Ticket
    ledger: Ledger
    record: Record
    fingerprint: str
    waiters: list[int | RemoteWaiter]  # query ids of local callers, or forwards
    sub_id: int | None = None
    wire_id: str = ""
    replica: str = ""
    service: str = ""
    shard: str = ""
    snapshot: Snapshot | None = None
    sent_at: float = 0.0
    is_canary: bool = False  # alone on its replica, after a crash
    tried: set[str] = field(default_factory=set)

    def key(self) -> tuple[str, int]:
        """Return the issuer and the serial."""
        return (self.ledger.incarnation, self.ticket.serial)
