"""Model of the replicas of one service, which a poison request ends."""

from jackdawsill.core import Tick
from jackdawsill.forwarding import CrashEvidence, ReplicasChanged
from jackdawsill.forwarding._crashes import fingerprint
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    entry,
    position_at,
    request,
    single_route,
)

N_REPLICAS = 12
STEP_S = 0.1
WORK_S = 0.05
# Times of the platform: a silent replica's entry is removed, it is back, it no longer
# counts as an accident that a request reaches replicas.
ENTRY_REMOVED_S = 3.6
REPLACED_S = 5.0
STABLE_WINDOW_S = 4.0
N_LATE_ALLOWED = 3
POISON = b"/fetch/poison"


class Replicas:
    """Replicas of one service; those that run the poison request become silent."""

    def __init__(self, **route) -> None:
        self.host = GatewayModel(single_route(**route), domains=())
        self.revision = 50
        self.n_started = 0
        self.n_calls = 0
        self.n_sent = 0
        self.is_harmful = True  # the poison request
        self.due: list[tuple[float, object]] = []
        # (time, call id) of each poison request that reached a replica.
        self.reached: list[tuple[float, bytes]] = []
        self.poisoned: dict[str, float] = {}  # replica -> since when it is silent
        self.change(*(self.new_entry() for _ in range(N_REPLICAS)))

    def new_entry(self):
        """Return the entry of another replica."""
        self.n_started += 1
        return entry(f"r{self.n_started}", "docs")

    def change(self, *written, removed=()) -> None:
        """Feed a change of entries in the store."""
        base, self.revision = position_at(self.revision), self.revision + 1
        position = position_at(self.revision)
        changed = ReplicasChanged(written, tuple(removed), position, "store", base)
        self.host.feed(changed)

    def call(self, target: bytes, *, is_harmful: bool = True) -> int:
        """Send a request with an id of its own; return the id of the call."""
        self.is_harmful = is_harmful
        self.n_calls += 1
        self.host.call(
            target, self.n_calls, request_id=b"p%d" % self.n_calls, deadline_s=60.0
        )
        self.run_sent()
        return self.n_calls

    def run_sent(self) -> None:
        """Let the replicas begin to run what was sent to them."""
        host = self.host
        for send in host.sent[self.n_sent :]:
            if send.req.target != POISON or not self.is_harmful:
                self.due.append((host.now + WORK_S, lambda s=send: host.answer(s)))
                continue
            self.reached.append((host.now, send.req.request_id))
            if send.replica not in self.poisoned:
                self.poisoned[send.replica] = host.now
                # Connections to it do not open any more.
                host.refusing.add(send.replica)
                removed_at = host.now + ENTRY_REMOVED_S
                self.due.append((removed_at, lambda s=send: self.remove(s.replica)))
                started_at = host.now + REPLACED_S
                self.due.append((started_at, lambda: self.change(self.new_entry())))
        self.n_sent = len(host.sent)

    def remove(self, name: str) -> None:
        """Let the entry of a replica expire."""
        self.change(removed=[name])

    def run(self, seconds: float) -> None:
        """Let time pass, with an ordinary request in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.call(b"/fetch/%d" % self.n_calls)
            self.host.advance(STEP_S)
            is_due = [item for item in self.due if item[0] <= self.host.now]
            self.due = [item for item in self.due if item[0] > self.host.now]
            for _, act in is_due:
                act()
            self.host.feed(Tick())
            self.run_sent()

    def late_requests(self) -> set[bytes]:
        """Return the requests that reached replicas later than the rule allows for."""
        third = sorted(self.poisoned.values())[2]
        return {id_ for at, id_ in self.reached if at > third + STABLE_WINDOW_S}

    @property
    def n_crashes(self) -> int:
        """Return the number of crashes recorded against the poison request."""
        evidence = self.host.state.component(CrashEvidence)
        return evidence.count(fingerprint(request(POISON)))[0]
