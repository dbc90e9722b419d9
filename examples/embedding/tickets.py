"""Run a request at most once although its caller resends it.

python -m examples.embedding.tickets
"""

import random
from itertools import count

from examples.embedding._objects import TOKEN, make_objects
from jackdawsill.core import (
    Effect,
    HostState,
    QueryArrived,
    SendAnswer,
    SendRefusal,
    SendSub,
    SubAnswered,
    reduce,
)
from jackdawsill.membership import Member, MemberTable
from jackdawsill.quarantine import Quarantine
from jackdawsill.query import attach_query_components
from jackdawsill.spread import ConfigSync
from jackdawsill.tickets import TicketManager

BODY = b'{"proof":"label-2041","copies":12000}'


class TicketHost:
    """State of a host with a ticket manager, and the execution of its effects."""

    def __init__(self) -> None:
        self.now = 100.0
        self.query_ids = count(1)
        self.n_runs = 0
        self.replies: dict[int, SendAnswer | SendRefusal] = {}
        self.state = HostState("a", "d0", random.Random(1))
        member = Member("incarnation-a", "a", "a:7000", "d0")
        attach_query_components(self.state, member.incarnation)
        for component in (
            MemberTable(member),
            ConfigSync(),
            Quarantine(),
            TicketManager(),
        ):
            self.state.attach(component)
        self.state.objects_ = make_objects()

    def send_request(self, ticket: str | None) -> SendAnswer | SendRefusal:
        """Pass a caller's request to the ticket manager; return the reply."""
        query_id = next(self.query_ids)
        request = QueryArrived(
            query_id, f"r{query_id}", "order", TOKEN, BODY, 0.34, ticket=ticket
        )
        manager = self.state.component(TicketManager)
        self.execute(manager.on_request(self.state, request, self.now))
        return self.replies[query_id]

    def execute(self, effects: list[Effect]) -> None:
        """Execute effects: answer sub-requests immediately and record replies."""
        for effect in effects:
            if isinstance(effect, SendSub):
                self.n_runs += 1
                items = [{"class": "proof", "id": f"order-{self.n_runs}"}]
                answered = SubAnswered(
                    effect.sub_id,
                    effect.request_id,
                    effect.snapshot,
                    effect.shard,
                    items,
                )
                self.execute(reduce(self.state, answered, self.now))
            elif isinstance(effect, SendAnswer | SendRefusal):
                self.replies[effect.query_id] = effect


def main() -> dict[str, object]:
    """Return the number of runs, and the items of two replies to one ticket."""
    host = TicketHost()
    refusal = host.send_request(None)
    ticket = refusal.ticket
    first, resent = host.send_request(ticket), host.send_request(ticket)
    result = {
        "first_status": refusal.error.status,
        "n_run": host.n_runs,
        "items": [reply.answer.items for reply in (first, resent)],
    }
    print(result)
    return result


if __name__ == "__main__":
    main()
