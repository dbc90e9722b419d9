"""Requests in progress, and the callers and hosts that wait for their outcome."""

from dataclasses import dataclass, field

from jackdawsill.objects import Snapshot
from jackdawsill.tickets._ledger import Ledger, Record
from jackdawsill.tickets._ticket import Ticket


@dataclass(slots=True)
class LocalCall:
    """Ticketed request of a caller connected to this host, until its reply."""

    query_id: int
    request_id: str
    route: str
    caller: str
    body: bytes
    ticket: str
    arrived_at: float
    deadline_at: float
    issuer: str  # incarnation that issued the ticket
    forward_id: int = 0
    link_id: int | None = None  # link that the call was forwarded on


@dataclass(slots=True, frozen=True)
class RemoteWaiter:
    """Forward of another host that waits for a reply."""

    link_id: int
    forward_id: int


@dataclass(slots=True)
class TicketedRequest:
    """Request to decide on, from a local caller or a forward."""

    request_id: str
    route: str
    caller: str
    body: bytes
    ticket: str
    deadline_at: float


@dataclass(slots=True)
class Run:
    """Execution of a request whose ticket is used and whose outcome is not known."""

    request: TicketedRequest
    ticket: Ticket
    ledger: Ledger
    record: Record
    fingerprint: str
    waiters: list[int | RemoteWaiter]  # query ids of local calls, or forwards
    sub_id: int | None = None
    server_request_id: str = ""  # sent to the backend server
    replica: str = ""
    service: str = ""
    shard: str = ""
    snapshot: Snapshot | None = None
    sent_at: float = 0.0
    is_canary: bool = False  # suspected, so it runs alone on its replica
    tried: set[str] = field(default_factory=set)  # names of replicas

    def key(self) -> tuple[str, int]:
        """Return the issuer's incarnation and the serial of the ticket."""
        return (self.ledger.issuer, self.ticket.serial)
